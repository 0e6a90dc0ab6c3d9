"""Runs many simulated days in several processes and adds up their counts, for the command `simulate`."""

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
    """Checks, violations and counts of one simulated day.

    Attributes:
        seed: Seed of the day.
        checked: Number of checks of each invariant.
        violations: Number of violations of each invariant.
        examples: Description of the first violation of each violated invariant.
        results: Counts of the outcomes of requests and orders, by outcome.
        faults: Number of injected faults of each kind.
        log: Injected and repaired faults in order of time.
        error: Traceback of the exception that ended the day early; empty if there was none.
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
        """Return whether an invariant was violated or the day ended with an exception."""
        return bool(self.error) or any(self.violations.values())


def run_day(seed: int, seconds: float, kind: str) -> Outcome:
    """Run one simulated day and return its outcome, also if it raises an exception."""
    try:
        day = simulated_day.simulate(seed, seconds, kind)
    except Exception:
        # An exception of one day is reported with its seed and must not stop the other days.
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
    """Run one day for each seed and print the sums of their counts.

    Args:
        seeds: Seeds of the days.
        seconds: Length of each day, in virtual seconds.
        workers: Number of worker processes.
        log: Whether to print the faults of each day.
        print_line: Function that prints one line.
        kind: Name of the kind of day, a key of `day_kinds.KINDS`.

    Returns:
        Exit status of the command: 1 if any day failed, otherwise 0.
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
    """Print the faults of a day if `with_log` is set, and its violations and error if it failed."""
    if with_log:
        for entry in outcome.log:
            print_line(f"seed {outcome.seed} {entry.at:8.2f} {entry.description}")
    if outcome.has_failed():
        print_line(f"seed {outcome.seed} FAILED {dict(outcome.examples)} {outcome.error}")


def print_sums(outcomes: list[Outcome], print_line: Print) -> None:
    """Print the checks and violations of each invariant and the counts of results and faults of all days."""
    checked = total([outcome.checked for outcome in outcomes])
    violations = total([outcome.violations for outcome in outcomes])
    for invariant in sorted(checked):
        print_line(f"{checked[invariant]:9d} checks {violations[invariant]:5d} violations  {invariant}")
    for title, counts in (
        ("results", total([outcome.results for outcome in outcomes])),
        ("troubles", total([outcome.faults for outcome in outcomes])),
    ):
        print_line(f"{title}: " + ", ".join(f"{name} {count}" for name, count in sorted(counts.items())))


def total(counts: list[collections.Counter[str]]) -> collections.Counter[str]:
    """Return the sum of the counters; unlike `Counter.__add__` this keeps entries of zero."""
    sums: collections.Counter[str] = collections.Counter()
    for count in counts:
        sums.update(count)
    return sums
