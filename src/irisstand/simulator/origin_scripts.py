"""Runs scripts of a direct edge and misbehaving origins in virtual time, by seed."""

import collections.abc
import concurrent.futures
import itertools
import typing

from irisstand.simulator import hostile_scripts, stuttering_scripts, virtual_time

SCRIPTS_PER_BATCH = 500


class Script(typing.Protocol):
    """One edge, its origins and some requests.

    Attributes:
        answered: The number of requests that were answered by origins or from the cache.
        violations: What failed.
    """

    answered: int
    violations: list[str]

    @property
    def run_count(self) -> int:
        """The number of executions at origins."""
        ...

    async def run(self) -> None:
        """Send all requests and check their responses."""
        ...


SCRIPTS: dict[str, collections.abc.Callable[[int], Script]] = {
    "hostile": hostile_scripts.Script,
    "stuttering": stuttering_scripts.Script,
}


class FuzzResult(typing.NamedTuple):
    """Numbers of scripts, answered requests and executions at origins, and the violations with seeds."""

    scripts: int
    answered: int
    runs: int
    violations: tuple[str, ...]


def run_scripts(seeds: range, kind: str = "hostile") -> FuzzResult:
    """Run the scripts of these seeds, each on an event loop of its own, and return their sums."""
    answered = 0
    runs = 0
    violations: list[str] = []

    async def run_script(seed: int) -> Script:
        script = SCRIPTS[kind](seed)
        await script.run()
        return script

    for seed in seeds:
        script = virtual_time.run(run_script(seed))
        answered += script.answered
        runs += script.run_count
        violations += [f"seed {seed}: {violation}" for violation in script.violations]
    return FuzzResult(len(seeds), answered, runs, tuple(violations))


def run_all(
    scripts: int, workers: int, first: int = 1, size: int = SCRIPTS_PER_BATCH, kind: str = "hostile"
) -> FuzzResult:
    """Run scripts in several worker processes, in batches of `size`, and return their sums."""
    batches = [range(n, min(n + size, first + scripts)) for n in range(first, first + scripts, size)]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_scripts, batches, itertools.repeat(kind)))
    return FuzzResult(
        scripts=sum(result.scripts for result in results),
        answered=sum(result.answered for result in results),
        runs=sum(result.runs for result in results),
        violations=tuple(violation for result in results for violation in result.violations),
    )
