"""Implementation of the command `check-model`, which runs a scenario and prints coverage and violations."""

import collections.abc
import time

from irisstand.modelcheck import exploration, random_walk, reports, runs, scenarios

PrintLine = collections.abc.Callable[[str], None]
PRINTED_RESULTS_LIMIT = 5


def check(name: str, deviations: int, workers: int, seeds: range, print_line: PrintLine) -> int:
    """Explore a scenario exhaustively, or by random walks if seeds are given, and print a report.

    Args:
        name: The name of the scenario.
        deviations: The maximum number of deviations from delivery in order in one explored run.
        workers: The number of processes that explore.
        seeds: The seeds of the random walks; an empty range selects the exploration.
        print_line: A callback that prints one line.

    Returns:
        The exit status of the command: 1 if a run violated an invariant, otherwise 0.
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
        f"{name}, {extent}: {report.states} states, {report.runs} runs ({report.pruned} pruned at a state"
        f" explored before), {report.steps} steps, {seconds:.0f} s with {workers} worker(s),"
        f" {violation_count} run(s) with a violation"
    )
    print_results(report, print_line)
    return 1 if report.violating_runs else 0


def print_results(report: reports.Report, print_line: PrintLine) -> None:
    """Print the most frequent client results, and the command that replays each run with a violation."""
    by_count = sorted(report.results.items(), key=lambda entry: -entry[1])
    for results, count in by_count[:PRINTED_RESULTS_LIMIT]:
        print_line(f"  {count:7d} runs ended with the client results: {results}")
    for run in report.violating_runs:
        choices = ",".join(map(str, run.choices)) or "0"
        print_line(f"  VIOLATION: {run.violation}")
        print_line(f"  check-model --scenarios {report.scenario} --replay {choices}")


def replay(name: str, choices: runs.Choices, print_line: PrintLine) -> int:
    """Replay one run of a scenario from its choices, print each step, and return the exit status.

    Args:
        name: The name of the scenario.
        choices: The index of the action that is taken at each step.
        print_line: A callback that prints one line.

    Returns:
        The exit status of the command: 1 if the run violated an invariant, otherwise 0.
    """
    result = runs.replay(scenarios.REGISTRY[name], choices)
    for line in result.cluster.trace:
        print_line(line)
    if result.violation:
        print_line(f"violation: {result.violation}")
        return 1
    print_line(f"no violation; client results by step number: {result.cluster.clients.results_text()}")
    return 0
