"""Seeded random walks, for scenarios that are too large to explore exhaustively.

In each walk, some links between nodes are faulty and repeat the same kind of fault.
"""

import random
import typing

from irisstand.modelcheck import cluster, events, reports, runs, scenarios, scheduler

# The actions that a faulty link may apply to its messages.
LINK_ACTIONS = (
    scheduler.Action.DROP,
    scheduler.Action.DELAY,
    scheduler.Action.TIME_OUT,
    scheduler.Action.DUPLICATE,
    scheduler.Action.REORDER,
)
# The probability that a link is faulty.
FAULTY_LINK_PROBABILITY = 0.25
# The probabilities, one of which is chosen per faulty link, that the link's fault affects a message.
FAULT_PROBABILITIES = (0.3, 0.9)
# The probabilities, one of which is chosen per walk, of a random action for an event.
DEVIATION_PROBABILITIES = (0.0, 0.05, 0.15)
# The probabilities, one of which is chosen per walk, of a crash or wipe at an event.
CRASH_PROBABILITIES = (0.0, 0.02)


class Link(typing.NamedTuple):
    """Identifies the events of one kind from one node to another.

    Attributes:
        kind: The kind of the events.
        source: The name of the node that causes the events.
        target: The name of the node that the events are delivered to.
        message: The second word of the events' labels; for messages, this is the kind of the request.
    """

    kind: events.EventKind
    source: str
    target: str
    message: str


class LinkFault(typing.NamedTuple):
    """A fault of a link.

    Attributes:
        action: The action that the fault applies to a message of the link.
        probability: The probability that a message is affected, from 0 to 1.
    """

    action: scheduler.Action
    probability: float


class RandomWalk:
    """Chooses the actions of one run at random and records them.

    Args:
        seed: The seed of all random choices.
    """

    def __init__(self, seed: str) -> None:
        self.randomness = random.Random(seed)
        self.deviation_probability = self.randomness.choice(DEVIATION_PROBABILITIES)
        self.crash_probability = self.randomness.choice(CRASH_PROBABILITIES)
        self.link_faults: dict[Link, LinkFault] = {}
        self.choices: list[int] = []

    def choose(self, model: cluster.ModelCluster, actions: list[scheduler.Action]) -> int:
        """Choose one of the possible actions, and record its index so that the run can be replayed.

        Args:
            model: The cluster that runs.
            actions: The possible actions for the oldest event; empty at the end of the run.

        Returns:
            The index of the chosen action, or 0 if there are none.
        """
        if not actions:
            return 0
        self.choices.append(self.pick_action(model.scheduler.pending[0], actions))
        return self.choices[-1]

    def pick_action(self, event: events.Event, actions: list[scheduler.Action]) -> int:
        """Return the index of a randomly chosen action for an event."""
        fault = self.fault_of(link_of(event))
        if fault.action in actions and self.randomness.random() < fault.probability:
            return actions.index(fault.action)
        if scheduler.Action.CRASH in actions and self.randomness.random() < self.crash_probability:
            crashes = (scheduler.Action.CRASH, scheduler.Action.WIPE)
            return self.randomness.choice([n for n, action in enumerate(actions) if action in crashes])
        is_deviation = self.randomness.random() < self.deviation_probability
        return self.randomness.randrange(len(actions)) if is_deviation else 0

    def fault_of(self, link: Link) -> LinkFault:
        """Return the fault of a link, which is chosen at random when the link is first used."""
        if link not in self.link_faults:
            is_faulty = self.randomness.random() < FAULTY_LINK_PROBABILITY
            probability = self.randomness.choice(FAULT_PROBABILITIES) if is_faulty else 0.0
            self.link_faults[link] = LinkFault(self.randomness.choice(LINK_ACTIONS), probability)
        return self.link_faults[link]


def link_of(event: events.Event) -> Link:
    """Return the link of an event; for messages, the label's second word is the kind of the request."""
    return Link(event.kind, event.source, event.target, event.label.split(" ")[1])


def walk(scenario: scenarios.Scenario, seeds: range) -> reports.Report:
    """Run a scenario once for each seed, and stop at the first run that violates an invariant.

    Args:
        scenario: The scenario to run.
        seeds: The seeds of the walks.

    Returns:
        The coverage, and the run that violated an invariant, if any.
    """
    report = reports.Report(scenario.name)
    for seed in seeds:
        random_walk = RandomWalk(f"{scenario.name} {seed}")
        result = runs.run(scenario, random_walk.choose)
        report.runs += 1
        report.steps += len(random_walk.choices)
        if result.violation:
            report.violating_runs.append(reports.ViolatingRun(tuple(random_walk.choices), result.violation))
            break
        report.count_results(result.cluster.clients.ordered_results())
    return report
