"""Exhaustive depth-first exploration of all runs with a bounded number of deviations.

A run cannot be rewound, so each one starts from the beginning and replays a prefix of choices.
"""

import concurrent.futures

from irisstand.modelcheck import cluster, reports, runs, scenarios, scheduler

# Each worker process gets several chunks of prefixes, so that a worker that finishes early takes another one.
CHUNKS_PER_WORKER = 4


def explore(scenario: scenarios.Scenario, deviations: int, workers: int = 1) -> reports.Report:
    """Run a scenario with all lists of choices that have at most a given number of deviations.

    Args:
        scenario: The scenario to run.
        deviations: The maximum number of deviations from delivery in order in one run.
        workers: The number of processes. They do not share the states they have seen, so the total number
            of states counts some states more than once.

    Returns:
        The coverage, and the first run that violated an invariant; with several workers, the first such run
        of each chunk of prefixes.
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
    """Explore all runs that start with any of the prefixes, in one process."""
    exploration = Exploration(scenario, deviations)
    for prefix in prefixes:
        exploration.explore(prefix)
    return exploration.report


class Exploration:
    """A depth-first search that prunes runs at states from which it has continued before.

    A state is continued again only if more deviations remain than before.

    Args:
        scenario: The scenario to run.
        deviations: The maximum number of deviations from delivery in order in one run.
    """

    def __init__(self, scenario: scenarios.Scenario, deviations: int) -> None:
        self.scenario = scenario
        self.deviations = deviations
        # For each state hash, the most deviations that remained when the search continued from that state.
        self.seen: dict[int, int] = {}
        self.report = reports.Report(scenario.name)

    def explore(self, prefix: runs.Choices) -> None:
        """Explore all runs that start with a prefix, and stop at the first violation."""
        stack = [prefix]
        while stack and not self.report.violating_runs:
            stack += self.expand(stack.pop())
        self.report.states = len(self.seen)

    def expand(self, prefix: runs.Choices) -> list[runs.Choices]:
        """Run a prefix, and return its extensions that end with one more deviation, the longest first."""
        option_counts = self.run(prefix)
        if count_deviations(prefix) >= self.deviations:
            return []
        child_prefixes = []
        for position in range(len(option_counts) - 1, len(prefix) - 1, -1):
            defaults = (0,) * (position - len(prefix))
            child_prefixes += [(*prefix, *defaults, choice) for choice in range(1, option_counts[position])]
        return child_prefixes

    def run(self, prefix: runs.Choices) -> list[int]:
        """Run a prefix of choices, then deliver events in order; return the number of options per step."""
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
        """Record that the search continues from a state.

        Args:
            state: The hash of the state.
            deviations_left: The number of deviations that the current run may still make.

        Raises:
            runs.RunPrunedError: The search continued from this state before, with at least as many
                deviations left.
        """
        if self.seen.get(state, -1) >= deviations_left:
            raise runs.RunPrunedError
        self.seen[state] = deviations_left


def count_deviations(choices: runs.Choices) -> int:
    """Return the number of choices that deviate from the default action, which has index 0."""
    return sum(choice > 0 for choice in choices)
