"""Exploring: a run is a list of choices; all lists within a bound on deviations are run, depth first."""

import concurrent.futures
import dataclasses
import typing

from irisstand.modelcheck import oracle, scenarios, worlds_end
from irisstand.modelcheck import world as worlds
from irisstand.simulator import virtual_time as virtual

# The number of an option, out of these, in this world.
Chooser = typing.Callable[[worlds.World, list[str]], int]
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

    def count(self, world: worlds.World) -> None:
        told = " ".join(world.results[number] for number in sorted(world.results))
        self.results[told] = self.results.get(told, 0) + 1

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
        name, act = options[choose(world, [name for name, _ in options])]
        world.trace.append(f"{number} {name}: {world.pending[0].label}")
        act()
        await world.settle()
    else:
        raise oracle.Violation(f"it does not end: {world.results}")
    # No options, so nothing is chosen: a search may have seen this very rest.
    choose(world, [])
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

    def choose(_: worlds.World, names: list[str]) -> int:
        return min(next(given, 0), len(names) - 1) if names else 0

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

        def choose(world: worlds.World, names: list[str]) -> int:
            place = len(counts)
            if place >= len(prefix):
                key = world.key() if names else world.rest_key()
                if self.seen.get(key, -1) >= left:
                    raise Pruned
                self.seen[key] = left
            counts.append(len(names))
            return prefix[place] if place < len(prefix) else 0

        made, broken, was_pruned = run(self.scenario, choose)
        self.report.runs += 1
        self.report.pruned += was_pruned
        self.report.steps += len(counts)
        if broken:
            self.report.broken.append((prefix, broken))
        elif not was_pruned:
            self.report.count(made)
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
