"""A day in the simulator: clients, operators and random trouble, and every rule checked all along."""

import asyncio
import collections.abc
import random
import typing

from irisstand import errors
from irisstand.fleet import processes as fleet
from irisstand.simulator import faults as trouble
from irisstand.simulator import fleet_faults as trouble_fleet
from irisstand.simulator import invariants as watching
from irisstand.simulator import origin_judge as doorstep
from irisstand.simulator import simulated_actors as acting
from irisstand.simulator import virtual_time as virtual
from irisstand.simulator import world as worlds

SHAPE = fleet.Shape(
    3, 5, 2, (("north", "one"), ("south", "one"), ("east", "two"), ("west", "two")), 4, 4, 40, 3.0
)
SERVICES = ("content", "application")
# Rate and in flight for each service. Low enough to be reached: one that nobody touches shows nothing.
Ceilings = dict[str, tuple[int, int]]
LOW: Ceilings = {"content": (30, 15), "application": (20, 12)}
HIGH: Ceilings = {"content": (200, 100), "application": (200, 100)}
SWITCHES = 3


def rows(ceilings: Ceilings, shape: fleet.Shape, limit: int) -> list[dict[str, typing.Any]]:
    """The first configuration of a simulated day."""
    made = []
    for name, (rate, inflight) in ceilings.items():
        value = {"deadline": shape.deadline, "ceiling": {"rate": rate, "inflight": inflight}}
        made.append({"kind": "service", "name": name, "value": value})
    paths = {
        "/vacancies/": {"grants": [{"service": "content", "methods": ["GET"]}], "life": 5},
        "/shortlists/": {"grants": [{"service": "application", "methods": ["GET"]}]},
        "/applications": {"grants": [{"service": "application", "methods": ["POST"]}]},
    }
    made += [{"kind": "path", "name": name, "value": value} for name, value in paths.items()]
    made += [
        {"kind": "shield", "name": f"shield-machine-{number + 1}", "value": {"limit": limit}}
        for number in range(shape.shields)
    ]
    return made + [switch(number, "content") for number in range(SWITCHES)]


def switch(number: int, service: str) -> dict[str, typing.Any]:
    """A path that operators point now at one service, now at the other."""
    value = {"grants": [{"service": service, "methods": ["GET"]}], "life": 2}
    return {"kind": "path", "name": f"/switch-{number}", "value": value}


class Kind(typing.NamedTuple):
    """How a day goes. No troubles named: all but total loss. `limit` is the shields'."""

    shape: fleet.Shape = SHAPE
    troubles: tuple[str, ...] = ()
    pauses: tuple[float, float] = (0.5, 3.0)
    limit: int = 100
    ceilings: Ceilings = LOW
    replace_after: float = 5.0


# Plug-in point: a kind of day is an entry here.
KINDS = {
    "busy": Kind(),
    # One region, and no more than a second for any request.
    "kildespor": Kind(
        SHAPE._replace(
            sites=tuple((site, "one") for site in ("alpha", "beta", "gamma", "delta")), deadline=1.0
        )
    ),
    # Long enough between losses for machines to go to rest, with limits that make each loss count.
    "quiet": Kind(
        SHAPE._replace(edges=4, rate=25),
        ("kill", "power", "freeze", "isolate", "drain", "wipe", "origin-down", "evacuate"),
        (8.0, 25.0),
        10,
    ),
    # Everything is lost now and again, in the midst of changes, purges and smaller losses.
    "dark": Kind(
        troubles=("total-loss", "gone-after-yes", "kill", "wipe", "split", "stall"), pauses=(1.0, 5.0)
    ),
    # Operators at work all day: restarts in order, evacuations, machines replaced.
    "planned": Kind(
        troubles=("roll", "drain", "evacuate", "core-replaced", "origin-leaves", "origins-replaced", "split"),
        pauses=(2.0, 6.0),
    ),
}


class Day:
    def __init__(self, seed: int, seconds: float, kind: Kind = KINDS["busy"]) -> None:
        shape = kind.shape
        self.kind = kind
        self.randomness = random.Random(seed * 7919 + 1)
        self.seconds = seconds
        self.world = worlds.World(seed, shape)
        self.world.replace_after = kind.replace_after
        self.stage: acting.Stage = self.world.stage
        self.judge = self.stage.judge
        self.judge.lives = {"vacancies": 5.0}
        self.watching = watching.Watching(self.world)
        self.trouble = trouble.Trouble(self.world, self.randomness, kind.troubles, kind.pauses)
        self.trouble.change = self.change_at
        self.doorstep = doorstep.Doorstep(self.world, kind.ceilings)
        self.tasks: set[asyncio.Task] = set()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def open(self) -> None:
        await self.world.start_all()
        await self.world.until(lambda: all(map(self.world.is_ready, self.world.role("agency"))), 20)
        first = rows(self.kind.ceilings, self.kind.shape, self.kind.limit)
        result = await self.stage.order("agency-1", "change", first)
        values = {f"{row['kind']}/{row['name']}": row["value"] for row in first}
        self.watching.confirmed_rows(values, result["serial"])
        await self.world.until_ready()
        ledger = self.world.nodes["agency-1"].body.context.ledger
        await self.world.until(
            lambda: len(list(ledger.items_with_prefix("origin/"))) == len(self.stage.origins), 10
        )
        await asyncio.sleep(2)

    async def run(self) -> None:
        await self.open()
        jobs = [self.consume(), self.purge(), self.change(), self.trouble.run(self.seconds)]
        watch = asyncio.create_task(self.watching.run())
        await asyncio.gather(*jobs)
        if self.tasks:
            await asyncio.wait(self.tasks)
        await self.trouble.mend()
        await self.world.until_ready(40)
        await asyncio.sleep(2)
        watch.cancel()
        self.watching.close()
        self.doorstep.close()
        self.judge.close()

    def start(self, coroutine: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def consume(self) -> None:
        end = self.now() + self.seconds
        edges = [node.plan.name for node in self.world.role("edge")]
        while self.now() < end:
            edge, draw = self.randomness.choice(edges), self.randomness.random()
            if draw < 0.5:
                self.start(self.stage.read(edge, "content", f"/vacancies/{self.randomness.randrange(12)}"))
            elif draw < 0.6:
                path = f"/shortlists/{self.randomness.randrange(9)}"
                self.start(self.stage.read(edge, "application", path))
            elif draw < 0.70:
                self.start(self.stage.write(edge))
            elif draw < 0.75:
                self.start(self.stage.write_until_known([edge, *edges]))
            elif draw < 0.97:
                self.start(self.watching.read_switch(edge, self.randomness.randrange(SWITCHES)))
            else:
                self.start(self.watching.read_ungranted(edge))
            await asyncio.sleep(self.randomness.expovariate(self.world.shape.rate))

    def some_control_node(self) -> str:
        return trouble_fleet.some_control_node(self.trouble)

    async def purge(self) -> None:
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.randomness.uniform(0.2, 1.0))
            self.start(self.one_purge(f"/vacancies/{self.randomness.randrange(12)}"))

    async def one_purge(self, path: str) -> None:
        self.stage.records.versions[path] += 1
        version = self.stage.records.versions[path]
        try:
            await self.stage.order(self.some_control_node(), "purge", [("path", path)])
            self.judge.purged(path, self.now(), version)
            self.judge.results["purge confirmed"] += 1
        except (errors.IrisError, TimeoutError):
            self.judge.results["purge not confirmed"] += 1

    async def change_at(self, control_node: str) -> None:
        number = self.randomness.randrange(SWITCHES)
        await self.watching.change(control_node, number, switch(number, self.randomness.choice(SERVICES)))

    async def change(self) -> None:
        """Changes now and then from two places at once, and now and then an invalid one."""
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.randomness.uniform(0.3, 1.5))
            number = self.randomness.randrange(SWITCHES)
            for _ in range(self.randomness.choice((1, 1, 2))):
                service = self.randomness.choice(SERVICES)
                self.start(self.watching.change(self.some_control_node(), number, switch(number, service)))
            if self.randomness.random() < 0.2:
                self.start(self.watching.invalid_change(self.some_control_node(), switch(number, "nobody")))


def simulate(seed: int, seconds: float, kind: str = "busy") -> Day:
    """One day, from start to end in virtual time."""
    made: list[Day] = []

    async def whole() -> None:
        day = Day(seed, seconds, KINDS[kind])
        made.append(day)
        await day.run()

    virtual.run(whole())
    return made[0]
