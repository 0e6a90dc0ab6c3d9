"""The command `check-model`: explore or walk one scenario and print what was covered and what broke."""

import collections.abc
import time

from irisstand.modelcheck import exploration, random_walk, reports, runs, scenarios

PrintLine = collections.abc.Callable[[str], None]
PRINTED_RESULTS_LIMIT = 5


def check(name: str, deviations: int, workers: int, seeds: range, print_line: PrintLine) -> int:
    """Explore a scenario, or walk it where there are seeds.

    Args:
        name: The scenario's name.
        deviations: The most deviations in one explored run.
        workers: Number of processes that explore.
        seeds: Seeds of random walks; empty to explore.
        print_line: Prints one line.

    Returns:
        The exit status: 1 if an invariant is broken.
    """
    scenario = scenarios.REGISTRY[name]
    started = time.monotonic()
    if seeds:
        report = random_walk.walk(scenario, seeds)
        extent = f"{len(seeds)} walks"
    else:
        report = exploration.explore(scenario, deviations, workers)
        extent = f"{deviations} deviations"
    seconds = time.monotonic() - started
    violation_count = len(report.violating_runs)
    print_line(
        f"{name}, {extent}: {report.states} states, {report.runs} runs ({report.pruned} cut short at a known"
        f" state), {report.steps} steps, {seconds:.0f} s with {workers} worker(s), {violation_count} broken"
    )
    print_results(report, print_line)
    return 1 if report.violating_runs else 0


def print_results(report: reports.Report, print_line: PrintLine) -> None:
    """Print the most frequent results, and how to replay the runs that broke an invariant."""
    by_count = sorted(report.results.items(), key=lambda entry: -entry[1])
    for results, count in by_count[:PRINTED_RESULTS_LIMIT]:
        print_line(f"  {count:7d} ended: {results}")
    for run in report.violating_runs:
        choices = ",".join(map(str, run.choices)) or "0"
        print_line(f"  BROKEN: {run.violation}")
        print_line(f"  check-model --scenarios {report.scenario} --replay {choices}")


def replay(name: str, choices: runs.Choices, print_line: PrintLine) -> int:
    """Run one list of choices and print each step; return the exit status."""
    result = runs.replay(scenarios.REGISTRY[name], choices)
    for line in result.cluster.trace:
        print_line(line)
    if result.violation:
        print_line(f"broken: {result.violation}")
        return 1
    print_line(f"nothing broken: {result.cluster.clients.results_text()}")
    return 0
