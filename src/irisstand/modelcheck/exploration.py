"""Exploration: every list of choices with a bounded number of deviations is run, depth first, by replay."""

import concurrent.futures

from irisstand.modelcheck import cluster, reports, runs, scenarios, scheduler

# Parts of the work for each worker process, so that a worker that is done early takes another.
CHUNKS_PER_WORKER = 4


def explore(scenario: scenarios.Scenario, deviations: int, workers: int = 1) -> reports.Report:
    """Run all choices within a bound.

    Args:
        scenario: What is run.
        deviations: The most deviations from delivery in order in one run.
        workers: Number of processes. They share no states, so their sum counts some states twice.

    Returns:
        What was covered, and the first run of each worker that broke an invariant.
    """
    if workers == 1:
        return explore_prefixes(scenario, deviations, [()])
    root = Exploration(scenario, deviations)
    prefixes = root.expand(())
    root.report.states = len(root.seen)
    chunk_count = CHUNKS_PER_WORKER * workers
    chunks = [prefixes[offset::chunk_count] for offset in range(chunk_count)]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        tasks = [pool.submit(explore_prefixes, scenario, deviations, chunk) for chunk in chunks if chunk]
        for task in tasks:
            root.report.add(task.result())
    return root.report


def explore_prefixes(
    scenario: scenarios.Scenario, deviations: int, prefixes: list[runs.Choices]
) -> reports.Report:
    """Explore everything below some prefixes, in one process."""
    exploration = Exploration(scenario, deviations)
    for prefix in prefixes:
        exploration.explore(prefix)
    return exploration.report


class Exploration:
    """Depth-first search; a state is continued from once for each number of deviations left."""

    def __init__(self, scenario: scenarios.Scenario, deviations: int) -> None:
        self.scenario = scenario
        self.deviations = deviations
        # The most deviations that were left when a state was continued from, by its hash.
        self.seen: dict[int, int] = {}
        self.report = reports.Report(scenario.name)

    def explore(self, prefix: runs.Choices) -> None:
        """Run everything below a prefix, or until an invariant is broken."""
        stack = [prefix]
        while stack and not self.report.violating_runs:
            stack += self.expand(stack.pop())
        self.report.states = len(self.seen)

    def expand(self, prefix: runs.Choices) -> list[runs.Choices]:
        """Run a prefix and return the prefixes with one more deviation, those of the last step first."""
        option_counts = self.run(prefix)
        if count_deviations(prefix) >= self.deviations:
            return []
        child_prefixes = []
        for position in range(len(option_counts) - 1, len(prefix) - 1, -1):
            defaults = (0,) * (position - len(prefix))
            child_prefixes += [(*prefix, *defaults, choice) for choice in range(1, option_counts[position])]
        return child_prefixes

    def run(self, prefix: runs.Choices) -> list[int]:
        """Run a prefix and then everything in order; return how many options each step had."""
        deviations_left = self.deviations - count_deviations(prefix)
        option_counts: list[int] = []

        def choose(model: cluster.ModelCluster, actions: list[scheduler.Action]) -> int:
            position = len(option_counts)
            if position >= len(prefix):
                self.mark_seen(model.state_hash() if actions else model.final_state_hash(), deviations_left)
            option_counts.append(len(actions))
            return prefix[position] if position < len(prefix) else 0

        result = runs.run(self.scenario, choose)
        self.report.runs += 1
        self.report.pruned += result.was_pruned
        self.report.steps += len(option_counts)
        if result.violation:
            self.report.violating_runs.append(reports.ViolatingRun(prefix, result.violation))
        elif not result.was_pruned:
            self.report.count_results(result.cluster.clients.ordered_results())
        return option_counts

    def mark_seen(self, state: int, deviations_left: int) -> None:
        """Note that a state is continued from.

        Raises:
            runs.RunPrunedError: It was before, with at least as many deviations left.
        """
        if self.seen.get(state, -1) >= deviations_left:
            raise runs.RunPrunedError
        self.seen[state] = deviations_left


def count_deviations(choices: runs.Choices) -> int:
    """Return how many choices are not the default."""
    return sum(choice > 0 for choice in choices)
