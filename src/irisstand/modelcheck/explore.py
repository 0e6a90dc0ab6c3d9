"""Exploring: a run is a list of choices; all lists within a bound on deviations, or walks by seed."""

import concurrent.futures
import dataclasses
import random
import typing

from irisstand.modelcheck import oracle, scenarios, worlds_end
from irisstand.modelcheck import world as worlds
from irisstand.simulator import virtual_time as virtual

Chooser = typing.Callable[[int, int], int]
Choices = tuple[int, ...]
STEPS_LIMIT = 3000


class Pruned(Exception):
    """This state has been gone on from before, with at least as many deviations left."""


@dataclasses.dataclass
class Report:
    """What was explored; `broken` holds the first choices that broke a rule, and which."""

    scenario: str
    runs: int = 0
    steps: int = 0
    states: int = 0
    pruned: int = 0
    broken: list[tuple[Choices, str]] = dataclasses.field(default_factory=list)
    results: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, other: "Report") -> None:
        for name in ("runs", "steps", "states", "pruned"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.broken += other.broken
        for told, count in other.results.items():
            self.results[told] = self.results.get(told, 0) + count


async def play(world: worlds.World, choose: Chooser) -> None:
    """One run: the scheduler's choices until all is over, and then the end's own checks."""
    world.open()
    await world.settle()
    for number in range(STEPS_LIMIT):
        if world.is_finished():
            break
        if not world.pending:
            await world.wait()
            world.oracle.raise_faults()
            continue
        options = world.options()
        name, act = options[choose(len(options), world.key())]
        world.trace.append(f"{number} {name}: {world.pending[0].label}")
        act()
        await world.settle()
    else:
        raise oracle.Violation(f"it does not end: {world.results}")
    # One option only, so that nothing is chosen: a search may have seen this very rest.
    choose(1, world.rest_key())
    await worlds_end.check(world)


def run(scenario: scenarios.Scenario, choose: Chooser) -> tuple[worlds.World, str, bool]:
    """The world after a run, the rule that it broke or "", and whether it was cut short."""
    made = worlds.World(scenario)
    try:
        virtual.run(play(made, choose))
    except oracle.Violation as violation:
        return made, str(violation), False
    except Pruned:
        return made, "", True
    return made, "", False


def replay(scenario: scenarios.Scenario, choices: Choices) -> tuple[worlds.World, str]:
    """The same choices give the same run; past their end everything is delivered in order."""
    given = iter(choices)

    def choose(count: int, _: int) -> int:
        return min(next(given, 0), count - 1)

    made, broken, _ = run(scenario, choose)
    return made, broken


class Search:
    """Depth first by replay; a state is gone on from once for each number of deviations left."""

    def __init__(self, scenario: scenarios.Scenario, deviations: int) -> None:
        self.scenario, self.deviations = scenario, deviations
        self.seen: dict[int, int] = {}
        self.report = Report(scenario.name)

    def one(self, prefix: Choices) -> list[int]:
        """Run with this prefix; returns how many options each step had."""
        left = self.deviations - sum(choice > 0 for choice in prefix)
        counts: list[int] = []

        def choose(count: int, key: int) -> int:
            place = len(counts)
            if place >= len(prefix):
                if self.seen.get(key, -1) >= left:
                    raise Pruned
                self.seen[key] = left
            counts.append(count)
            return prefix[place] if place < len(prefix) else 0

        made, broken, was_pruned = run(self.scenario, choose)
        self.report.runs += 1
        self.report.pruned += was_pruned
        self.report.steps += len(counts)
        if broken:
            self.report.broken.append((prefix, broken))
        elif not was_pruned:
            told = " ".join(made.results[number] for number in sorted(made.results))
            self.report.results[told] = self.report.results.get(told, 0) + 1
        return counts

    def explore(self, start: Choices = (), only_root: bool = False) -> list[Choices]:
        """Everything below a prefix; or the prefix alone, with what comes next returned."""
        stack = [start]
        while stack and not self.report.broken:
            prefix = stack.pop()
            counts = self.one(prefix)
            if sum(choice > 0 for choice in prefix) < self.deviations:
                for place in range(len(counts) - 1, len(prefix) - 1, -1):
                    filled = prefix + (0,) * (place - len(prefix))
                    stack += [(*filled, choice) for choice in range(1, counts[place])]
            if only_root:
                break
        self.report.states = len(self.seen)
        return stack


def explore_part(scenario: scenarios.Scenario, deviations: int, starts: list[Choices]) -> Report:
    search = Search(scenario, deviations)
    for start in starts:
        search.explore(start)
    return search.report


def explore(scenario: scenarios.Scenario, deviations: int, workers: int = 1) -> Report:
    """All runs within the bound. Workers share no states, so their sum counts some of them twice."""
    if workers == 1:
        return explore_part(scenario, deviations, [()])
    root = Search(scenario, deviations)
    starts = root.explore(only_root=True)
    parts = [starts[place :: 4 * workers] for place in range(4 * workers)]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        tasks = [pool.submit(explore_part, scenario, deviations, part) for part in parts if part]
        for task in tasks:
            root.report.add(task.result())
    return root.report


def walk(scenario: scenarios.Scenario, seeds: range, rate: float = 0.15) -> Report:
    """Random walks: at each step a deviation with this likelihood, whichever of them."""
    report = Report(scenario.name)
    for seed in seeds:
        randomness = random.Random(f"{scenario.name} {seed}")
        chosen: list[int] = []

        def choose(count: int, _: int, randomness: random.Random = randomness, chosen: list = chosen) -> int:
            choice = randomness.randrange(count) if randomness.random() < rate else 0
            chosen.append(choice)
            return choice

        made, broken, _ = run(scenario, choose)
        report.runs += 1
        report.steps += len(chosen)
        if broken:
            report.broken.append((tuple(chosen), broken))
            break
        told = " ".join(made.results[number] for number in sorted(made.results))
        report.results[told] = report.results.get(told, 0) + 1
    return report
