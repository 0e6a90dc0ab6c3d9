"""The command `simulate`: many simulated days on several processors, and their counts added up."""

import collections
import collections.abc
import concurrent.futures
import itertools
import time
import traceback
import typing

from irisstand.simulator import fault_context, simulated_day

Print = collections.abc.Callable[[str], None]
TRACEBACK_LINES = -3


class Outcome(typing.NamedTuple):
    """What one day checked and found.

    Attributes:
        seed: The day's seed.
        checked: Number of checks by invariant.
        broken: Number of violations by invariant.
        examples: The first violation of each invariant.
        results: Counts of what clients and operators were told.
        faults: Number of injected faults by kind.
        log: Faults in their order.
        error: Traceback of a day that did not end in order.
    """

    seed: int
    checked: collections.Counter[str] = collections.Counter()
    violations: collections.Counter[str] = collections.Counter()
    examples: collections.abc.Mapping[str, str] = {}
    results: collections.Counter[str] = collections.Counter()
    faults: collections.Counter[str] = collections.Counter()
    log: collections.abc.Sequence[fault_context.LogEntry] = ()
    error: str = ""

    def has_failed(self) -> bool:
        """Return whether an invariant was broken or the day did not end in order."""
        return bool(self.error) or any(self.violations.values())


def run_day(seed: int, seconds: float, kind: str) -> Outcome:
    """Run one day and return its outcome."""
    try:
        day = simulated_day.simulate(seed, seconds, kind)
    except Exception:
        # Whatever a day raises is reported with its seed; the other days go on.
        return Outcome(seed, error=traceback.format_exc(limit=TRACEBACK_LINES))
    return Outcome(
        seed,
        checked=day.checker.checked,
        violations=day.checker.broken,
        examples=dict(day.checker.examples),
        results=day.checker.results,
        faults=day.fault_injector.counts,
        log=day.fault_injector.log,
    )


def simulate(  # noqa: PLR0913 - each is an option of the command
    seeds: range, seconds: float, workers: int, *, log: bool, print_line: Print, kind: str = "busy"
) -> int:
    """Run a day for each seed and print the sums.

    Args:
        seeds: The seeds.
        seconds: Length of a day, in virtual seconds.
        workers: Number of processes.
        log: Whether to print each day's faults.
        print_line: Prints one line.
        kind: The kind of day.

    Returns:
        The exit status: 1 if a day failed.
    """
    started = time.monotonic()
    outcomes = []
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for outcome in pool.map(run_day, seeds, itertools.repeat(seconds), itertools.repeat(kind)):
            outcomes.append(outcome)
            print_day(outcome, print_line, with_log=log)
    print_sums(outcomes, print_line)
    failed = sum(outcome.has_failed() for outcome in outcomes)
    elapsed = time.monotonic() - started
    print_line(f"{failed} of {len(seeds)} days failed; {elapsed:.0f} s of real time")
    return 1 if failed else 0


def print_day(outcome: Outcome, print_line: Print, *, with_log: bool) -> None:
    """Print a day's faults, if wanted, and why it failed."""
    if with_log:
        for entry in outcome.log:
            print_line(f"seed {outcome.seed} {entry.at:8.2f} {entry.description}")
    if outcome.has_failed():
        print_line(f"seed {outcome.seed} FAILED {dict(outcome.examples)} {outcome.error}")


def print_sums(outcomes: list[Outcome], print_line: Print) -> None:
    """Print the checks of each invariant, and counts of results and faults, over all days."""
    checked = total([outcome.checked for outcome in outcomes])
    violations = total([outcome.violations for outcome in outcomes])
    for invariant in sorted(checked):
        print_line(f"{checked[invariant]:9d} checked {violations[invariant]:5d} broken  {invariant}")
    for title, counts in (
        ("results", total([outcome.results for outcome in outcomes])),
        ("troubles", total([outcome.faults for outcome in outcomes])),
    ):
        print_line(f"{title}: " + ", ".join(f"{name} {count}" for name, count in sorted(counts.items())))


def total(counts: list[collections.Counter[str]]) -> collections.Counter[str]:
    """Return the sum of counters; entries of zero are kept."""
    sums: collections.Counter[str] = collections.Counter()
    for count in counts:
        sums.update(count)
    return sums
