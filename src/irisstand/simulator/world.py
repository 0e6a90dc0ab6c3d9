"""The simulated world: many nodes running their real tasks on one virtual loop."""

import asyncio
import collections.abc
import random
import typing

from irisstand import clocks, errors, node_settings
from irisstand.controlplane import assembly as control_nodes
from irisstand.dataplane import assembly as data_nodes
from irisstand.fleet import processes as fleet
from irisstand.simulator import memory_disk as shelf
from irisstand.simulator import memory_network as wires
from irisstand.simulator import simulated_actors as acting
from irisstand.simulator import simulated_origins as simulated
from irisstand.simulator import virtual_time as virtual


class Plan(typing.NamedTuple):
    name: str
    role: str
    machine: str
    site: str
    region: str
    host: str


class Node:
    """A process that can be killed, frozen and started again; its disk outlives it."""

    def __init__(self, world: "World", plan: Plan) -> None:
        self.world, self.plan = world, plan
        self.disk = shelf.MemoryDisk(world.randomness)
        self.actor = virtual.Actor(plan.name)
        self.actor.dead = True
        self.body: typing.Any = None
        self.was_wiped = False

    def settings(self) -> node_settings.Settings:
        plan = self.plan
        return node_settings.Settings(
            plan.name,
            plan.machine,
            plan.site,
            plan.region,
            plan.host,
            7000,
            8000,
            self.world.seeds,
            role=plan.role,
            data="memory",
            founding=self.world.founding,
            replace_after=self.world.replace_after,
            found_by_seeds=self.world.by_seeds,
            may_found=not (self.world.by_seeds and self.was_wiped),
            outage_bound=self.world.outage_bound,
        )

    async def start(self) -> None:
        world = self.world
        # A dead process's tasks are kept to the end: collected as garbage, they would clean up after all.
        world.graveyard.append(self.actor)
        self.actor = virtual.Actor(self.plan.name)
        # Every process draws from a stream of its own, so that one more draw here changes nothing there.
        randomness = random.Random(world.randomness.getrandbits(64))
        network = wires.MemoryNetwork(world.wires, self.plan.host)
        if self.plan.role == "agency":
            self.body = control_nodes.ControlNode(
                self.settings(), clocks.LoopClock(), randomness, network, self.disk, world.ask_platform
            )
        else:
            opener = simulated.line_opener(world, self.plan.host)
            self.body = data_nodes.DataNode(self.settings(), clocks.LoopClock(), randomness, network, opener)
        await self.actor.start(self.body.open())

    async def restart(self) -> None:
        """As a supervisor would: a process that cannot start is started again."""
        while True:
            try:
                await self.start()
                return
            except errors.IrisError:
                self.kill()
                await asyncio.sleep(1.0)

    def kill(self, reset: bool = True) -> None:
        self.actor.dead = True
        self.world.wires.drop(self.actor, reset)

    async def stop(self) -> None:
        """As SIGTERM does it."""
        context = self.body.context
        context.is_lame_duck = True
        await self.actor.start(asyncio.sleep(context.settings.farewell))
        await self.actor.start(context.drain())
        # Whoever still waits for an answer now will never get it.
        rule = "a planned restart drops no answer under way"
        if self.is_up:
            asks = self.actor.asks
            self.world.stage.judge.check(rule, asks == 0, f"{self.plan.name}: {asks} dropped")
        await self.actor.start(self.body.close())
        self.actor.dead = True
        self.world.wires.drop(self.actor, True)

    def freeze(self) -> None:
        self.actor.frozen = True

    def thaw(self) -> None:
        asyncio.get_running_loop().thaw(self.actor)

    def wipe(self) -> None:
        self.disk.files.clear()
        self.was_wiped = True

    @property
    def is_up(self) -> bool:
        return not self.actor.dead and not self.actor.frozen

    async def do(self, coroutine: collections.abc.Coroutine, patience: float) -> typing.Any:
        """Run something as this process and wait for it from outside; TimeoutError if it never ends."""
        task = self.actor.start(coroutine)
        done, _ = await asyncio.wait([task], timeout=patience)
        if not done:
            raise TimeoutError(f"{self.plan.name} did not answer")
        return task.result()


class World:
    def __init__(self, seed: int, shape: fleet.Shape, founding: int = 0) -> None:
        self.randomness = random.Random(seed)
        self.wires = wires.Wires(self.randomness)
        self.shape = shape
        self.nodes: dict[str, Node] = {}
        self.graveyard: list[virtual.Actor] = []
        self.retired: list[Node] = []
        self.replace_after = 60.0
        # Founded by the seeds instead of by a number, and how long nodes go on while the core is out.
        self.by_seeds, self.outage_bound = False, 0.0
        self.founding = founding or shape.shields
        self.seeds: list[tuple[str, int]] = []
        self.stage = acting.Stage(self)
        self.lay_out()

    def lay_out(self) -> None:
        number = 0
        for role, count in (
            ("agency", self.shape.shields),
            ("shield", self.shape.shields),
            ("edge", self.shape.edges),
            ("store", self.shape.stores),
        ):
            for index in range(1, count + 1):
                site, region = self.shape.sites[(index - 1) % len(self.shape.sites)]
                machine = f"{'shield' if role == 'agency' else role}-machine-{index}"
                number += 1
                plan = Plan(f"{role}-{index}", role, machine, site, region, f"10.0.0.{number}")
                self.add(plan)
        self.seeds = [(node.plan.host, 7000) for node in self.role("agency")[:3]]

    def add(self, plan: Plan) -> Node:
        node = Node(self, plan)
        self.nodes[plan.name] = node
        self.wires.regions[plan.host] = plan.region
        return node

    def retire(self, node: Node) -> None:
        """Gone for good, disk and all."""
        self.retired.append(self.nodes.pop(node.plan.name))

    async def ask_platform(self) -> typing.Any:
        return await self.stage.ask_platform()

    def role(self, role: str) -> list[Node]:
        return [node for node in self.nodes.values() if node.plan.role == role]

    async def start_all(self) -> None:
        for node in self.nodes.values():
            await node.start()

    def hosts(self, names: collections.abc.Iterable[str]) -> list[str]:
        return [self.nodes[name].plan.host for name in names]

    def cut_off(self, names: collections.abc.Collection[str]) -> None:
        """These nodes reach one another, but nobody else."""
        others = [name for name in self.nodes if name not in names]
        self.wires.cut(self.hosts(names), self.hosts(others))

    def describe(self) -> str:
        """One line for each node that is not fit to serve, for whoever has to find out why."""
        found = []
        for name, node in self.nodes.items():
            if node.is_up and not self.is_ready(node):
                now = asyncio.get_running_loop().time()
                copies = {
                    table: (str(copy.applied), copy.age(now))
                    for table, copy in node.body.context.replicas.items()
                }
                records = getattr(getattr(node.body, "core", None), "vault", None)
                found.append(f"{name} {copies} {records.records if records else ''}")
        return "\n".join(found)

    async def until(self, condition: collections.abc.Callable[[], bool], patience: float) -> float:
        """Virtual seconds until the condition holds; AssertionError if it does not in time."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            if loop.time() - start > patience:
                raise AssertionError(f"not so after {patience} virtual seconds\n{self.describe()}")
            await asyncio.sleep(0.02)
        return loop.time() - start

    def is_ready(self, node: Node) -> bool:
        context = node.body.context
        return node.is_up and all(context.is_current(copy) for copy in context.replicas.values())

    async def until_ready(self, patience: float = 20.0) -> float:
        """Until every node that is up is fit to serve."""
        return await self.until(
            lambda: all(self.is_ready(node) for node in self.nodes.values() if node.is_up), patience
        )
