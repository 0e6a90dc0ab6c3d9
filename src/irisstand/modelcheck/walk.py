"""Random walks by seed, for what cannot be explored whole: each has links in trouble of its own."""

import random

from irisstand.modelcheck import explore, scenarios
from irisstand.modelcheck import world as worlds

# What may be wrong with a link in a walk, from one node to another and for one kind of message.
TROUBLES = ("drop", "hold", "give up", "double", "overtake")
TROUBLED, STRIKES, CRASHES = 0.25, (0.3, 0.9), 0.02


class Mood:
    """The choices of one walk: a few links in trouble, and now and then something else anywhere."""

    def __init__(self, seed: str) -> None:
        self.randomness = random.Random(seed)
        self.rate = self.randomness.choice((0.0, 0.05, 0.15))
        self.crashes = self.randomness.choice((0.0, CRASHES))
        self.troubles: dict[tuple, tuple[str, float]] = {}
        self.chosen: list[int] = []

    def trouble(self, link: tuple) -> tuple[str, float]:
        if link not in self.troubles:
            likelihood = self.randomness.choice(STRIKES) if self.randomness.random() < TROUBLED else 0.0
            self.troubles[link] = (self.randomness.choice(TROUBLES), likelihood)
        return self.troubles[link]

    def choose(self, world: worlds.World, names: list[str]) -> int:
        if not names:
            return 0
        self.chosen.append(self.pick(world, names))
        return self.chosen[-1]

    def pick(self, world: worlds.World, names: list[str]) -> int:
        head, draw = world.pending[0], self.randomness.random
        # The word of an ask or a reply, as its label has it behind the two nodes.
        word = head.label.split(" ")[1]
        name, likelihood = self.trouble((head.kind, head.source, head.target, word))
        if name in names and draw() < likelihood:
            return names.index(name)
        if "crash" in names and draw() < self.crashes:
            return self.randomness.choice([n for n, name in enumerate(names) if name in ("crash", "wipe")])
        return self.randomness.randrange(len(names)) if draw() < self.rate else 0


def walk(scenario: scenarios.Scenario, seeds: range) -> explore.Report:
    report = explore.Report(scenario.name)
    for seed in seeds:
        mood = Mood(f"{scenario.name} {seed}")
        made, broken, _ = explore.run(scenario, mood.choose)
        report.runs += 1
        report.steps += len(mood.chosen)
        if broken:
            report.broken.append((tuple(mood.chosen), broken))
            break
        report.count(made)
    return report
