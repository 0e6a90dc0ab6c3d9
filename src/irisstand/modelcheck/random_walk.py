"""Random walks by seed, for scenarios too large to explore: some links have a fault of their own."""

import random
import typing

from irisstand.modelcheck import cluster, events, reports, runs, scenarios, scheduler

# What a link's fault may do to its messages.
LINK_ACTIONS = (
    scheduler.Action.DROP,
    scheduler.Action.DELAY,
    scheduler.Action.TIME_OUT,
    scheduler.Action.DUPLICATE,
    scheduler.Action.REORDER,
)
# Likelihoods: of a fault on a link; of that fault for one message; of any deviation; of a crash.
FAULTY_LINK_PROBABILITY = 0.25
FAULT_PROBABILITIES = (0.3, 0.9)
DEVIATION_PROBABILITIES = (0.0, 0.05, 0.15)
CRASH_PROBABILITIES = (0.0, 0.02)


class Link(typing.NamedTuple):
    """Messages of one kind from one node to another; `message` is a request's kind, or its label's word."""

    kind: events.EventKind
    source: str
    target: str
    message: str


class LinkFault(typing.NamedTuple):
    """What happens to a link's messages, and how often."""

    action: scheduler.Action
    probability: float


class RandomWalk:
    """Chooses the actions of one run."""

    def __init__(self, seed: str) -> None:
        self.randomness = random.Random(seed)
        self.deviation_probability = self.randomness.choice(DEVIATION_PROBABILITIES)
        self.crash_probability = self.randomness.choice(CRASH_PROBABILITIES)
        self.link_faults: dict[Link, LinkFault] = {}
        self.choices: list[int] = []

    def choose(self, model: cluster.ModelCluster, actions: list[scheduler.Action]) -> int:
        """Choose an action, and keep the choice for a replay."""
        if not actions:
            return 0
        self.choices.append(self.pick_action(model.scheduler.pending[0], actions))
        return self.choices[-1]

    def pick_action(self, event: events.Event, actions: list[scheduler.Action]) -> int:
        """Return the index of the action for this event."""
        fault = self.fault_of(link_of(event))
        if fault.action in actions and self.randomness.random() < fault.probability:
            return actions.index(fault.action)
        if scheduler.Action.CRASH in actions and self.randomness.random() < self.crash_probability:
            crashes = (scheduler.Action.CRASH, scheduler.Action.WIPE)
            return self.randomness.choice([n for n, action in enumerate(actions) if action in crashes])
        is_deviation = self.randomness.random() < self.deviation_probability
        return self.randomness.randrange(len(actions)) if is_deviation else 0

    def fault_of(self, link: Link) -> LinkFault:
        """Return the link's fault, drawn when the link is first used."""
        if link not in self.link_faults:
            is_faulty = self.randomness.random() < FAULTY_LINK_PROBABILITY
            probability = self.randomness.choice(FAULT_PROBABILITIES) if is_faulty else 0.0
            self.link_faults[link] = LinkFault(self.randomness.choice(LINK_ACTIONS), probability)
        return self.link_faults[link]


def link_of(event: events.Event) -> Link:
    """Return the link that an event came over; the second word of its label is the message's kind."""
    return Link(event.kind, event.source, event.target, event.label.split(" ")[1])


def walk(scenario: scenarios.Scenario, seeds: range) -> reports.Report:
    """Walk once for each seed, or until an invariant is broken."""
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
