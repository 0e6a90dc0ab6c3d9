"""A day in the simulator: clients, operators and random trouble, and every rule checked all along."""

import asyncio
import collections.abc
import random
import typing

from irisstand import errors
from irisstand.localcluster import processes
from irisstand.simulator import (
    cluster_faults,
    fault_injector,
    invariant_watcher,
    origin_invariants,
    simulated_actors,
    simulated_cluster,
    virtual_time,
)

SHAPE = processes.ClusterShape(
    3, 5, 2, (("north", "one"), ("south", "one"), ("east", "two"), ("west", "two")), 4, 4, 40, 3.0
)
SERVICES = ("content", "application")
# Rate and in flight for each service. Low enough to be reached: one that nobody touches shows nothing.
ServiceLimits = dict[str, tuple[int, int]]
LOW_LIMITS: ServiceLimits = {"content": (30, 15), "application": (20, 12)}
HIGH_LIMITS: ServiceLimits = {"content": (200, 100), "application": (200, 100)}
SWITCHES = 3


def first_configuration(
    ceilings: ServiceLimits, shape: processes.ClusterShape, limit: int
) -> list[dict[str, typing.Any]]:
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
    return made + [switch_row(number, "content") for number in range(SWITCHES)]


def switch_row(number: int, service: str) -> dict[str, typing.Any]:
    """A path that operators point now at one service, now at the other."""
    value = {"grants": [{"service": service, "methods": ["GET"]}], "life": 2}
    return {"kind": "path", "name": f"/switch-{number}", "value": value}


class DayKind(typing.NamedTuple):
    """How a day goes. No troubles named: all but total loss. `limit` is the shields'."""

    shape: processes.ClusterShape = SHAPE
    troubles: tuple[str, ...] = ()
    pauses: tuple[float, float] = (0.5, 3.0)
    limit: int = 100
    ceilings: ServiceLimits = LOW_LIMITS
    replace_after: float = 5.0


# Plug-in point: a kind of day is an entry here.
KINDS = {
    "busy": DayKind(),
    # One region, and no more than a second for any request.
    "kildespor": DayKind(
        SHAPE._replace(
            sites=tuple((site, "one") for site in ("alpha", "beta", "gamma", "delta")), deadline=1.0
        )
    ),
    # Long enough between losses for machines to go to rest, with limits that make each loss count.
    "quiet": DayKind(
        SHAPE._replace(edges=4, rate=25),
        ("kill", "power", "freeze", "isolate", "drain", "wipe", "origin-down", "evacuate"),
        (8.0, 25.0),
        10,
    ),
    # Everything is lost now and again, in the midst of changes, purges and smaller losses.
    "dark": DayKind(
        troubles=("total-loss", "gone-after-yes", "kill", "wipe", "split", "stall"), pauses=(1.0, 5.0)
    ),
    # Operators at work all day: restarts in order, evacuations, machines replaced.
    "planned": DayKind(
        troubles=("roll", "drain", "evacuate", "core-replaced", "origin-leaves", "origins-replaced", "split"),
        pauses=(2.0, 6.0),
    ),
}


class SimulatedDay:
    def __init__(self, seed: int, seconds: float, kind: DayKind = KINDS["busy"]) -> None:
        shape = kind.shape
        self.kind = kind
        self.randomness = random.Random(seed * 7919 + 1)
        self.seconds = seconds
        self.cluster = simulated_cluster.SimulatedCluster(seed, shape)
        self.cluster.replace_after = kind.replace_after
        self.actors: simulated_actors.SimulatedActors = self.cluster.actors
        self.checker = self.actors.checker
        self.checker.lives = {"vacancies": 5.0}
        self.watcher = invariant_watcher.InvariantWatcher(self.cluster)
        self.fault_injector = fault_injector.FaultInjector(
            self.cluster, self.randomness, kind.troubles, kind.pauses
        )
        self.fault_injector.change = self.change_at
        self.origin_invariants = origin_invariants.OriginInvariants(self.cluster, kind.ceilings)
        self.tasks: set[asyncio.Task] = set()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    async def open(self) -> None:
        await self.cluster.start_all()
        await self.cluster.wait_until(
            lambda: all(map(self.cluster.is_ready, self.cluster.with_role("agency"))), 20
        )
        first = first_configuration(self.kind.ceilings, self.kind.shape, self.kind.limit)
        result = await self.actors.order("agency-1", "change", first)
        values = {f"{row['kind']}/{row['name']}": row["value"] for row in first}
        self.watcher.confirmed_rows(values, result["serial"])
        await self.cluster.wait_until_ready()
        ledger = self.cluster.nodes["agency-1"].program.context.ledger
        await self.cluster.wait_until(
            lambda: len(list(ledger.items_with_prefix("origin/"))) == len(self.actors.origins), 10
        )
        await asyncio.sleep(2)

    async def run(self) -> None:
        await self.open()
        jobs = [self.consume(), self.purge(), self.change(), self.fault_injector.run(self.seconds)]
        watch = asyncio.create_task(self.watcher.run())
        await asyncio.gather(*jobs)
        if self.tasks:
            await asyncio.wait(self.tasks)
        await self.fault_injector.mend()
        await self.cluster.wait_until_ready(40)
        await asyncio.sleep(2)
        watch.cancel()
        self.watcher.close()
        self.origin_invariants.close()
        self.checker.close()

    def start(self, coroutine: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def consume(self) -> None:
        end = self.now() + self.seconds
        edges = [node.placement.name for node in self.cluster.with_role("edge")]
        while self.now() < end:
            edge, draw = self.randomness.choice(edges), self.randomness.random()
            if draw < 0.5:
                self.start(self.actors.read(edge, "content", f"/vacancies/{self.randomness.randrange(12)}"))
            elif draw < 0.6:
                path = f"/shortlists/{self.randomness.randrange(9)}"
                self.start(self.actors.read(edge, "application", path))
            elif draw < 0.70:
                self.start(self.actors.write(edge))
            elif draw < 0.75:
                self.start(self.actors.write_until_known([edge, *edges]))
            elif draw < 0.97:
                self.start(self.watcher.read_switch(edge, self.randomness.randrange(SWITCHES)))
            else:
                self.start(self.watcher.read_ungranted(edge))
            await asyncio.sleep(self.randomness.expovariate(self.cluster.shape.rate))

    def some_control_node(self) -> str:
        return cluster_faults.some_control_node(self.fault_injector)

    async def purge(self) -> None:
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.randomness.uniform(0.2, 1.0))
            self.start(self.one_purge(f"/vacancies/{self.randomness.randrange(12)}"))

    async def one_purge(self, path: str) -> None:
        self.actors.records.versions[path] += 1
        version = self.actors.records.versions[path]
        try:
            await self.actors.order(self.some_control_node(), "purge", [("path", path)])
            self.checker.purged(path, self.now(), version)
            self.checker.results["purge confirmed"] += 1
        except (errors.IrisError, TimeoutError):
            self.checker.results["purge not confirmed"] += 1

    async def change_at(self, control_node: str) -> None:
        number = self.randomness.randrange(SWITCHES)
        await self.watcher.change(control_node, number, switch_row(number, self.randomness.choice(SERVICES)))

    async def change(self) -> None:
        """Changes now and then from two places at once, and now and then an invalid one."""
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.randomness.uniform(0.3, 1.5))
            number = self.randomness.randrange(SWITCHES)
            for _ in range(self.randomness.choice((1, 1, 2))):
                service = self.randomness.choice(SERVICES)
                self.start(self.watcher.change(self.some_control_node(), number, switch_row(number, service)))
            if self.randomness.random() < 0.2:
                self.start(
                    self.watcher.invalid_change(self.some_control_node(), switch_row(number, "nobody"))
                )


def simulate(seed: int, seconds: float, kind: str = "busy") -> SimulatedDay:
    """One day, from start to end in virtual time."""
    made: list[SimulatedDay] = []

    async def whole() -> None:
        day = SimulatedDay(seed, seconds, KINDS[kind])
        made.append(day)
        await day.run()

    virtual_time.run(whole())
    return made[0]
