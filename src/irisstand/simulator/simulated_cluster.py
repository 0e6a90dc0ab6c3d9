"""The simulated world: many nodes running their real tasks on one virtual loop."""

import asyncio
import collections.abc
import random
import typing

from irisstand import clocks, errors, node_settings
from irisstand.controlplane import assembly as control_nodes
from irisstand.dataplane import assembly as data_nodes
from irisstand.localcluster import processes
from irisstand.simulator import memory_disk, memory_network, simulated_actors, simulated_origins, virtual_time


class NodePlacement(typing.NamedTuple):
    name: str
    role: str
    machine: str
    site: str
    region: str
    host: str


class SimulatedNode:
    """A process that can be killed, frozen and started again; its disk outlives it."""

    def __init__(self, world: "SimulatedCluster", plan: NodePlacement) -> None:
        self.cluster, self.placement = world, plan
        self.disk = memory_disk.MemoryDisk(world.randomness)
        self.actor = virtual_time.Actor(plan.name)
        self.actor.dead = True
        self.program: typing.Any = None
        self.was_wiped = False

    def settings(self) -> node_settings.Settings:
        plan = self.placement
        return node_settings.Settings(
            plan.name,
            plan.machine,
            plan.site,
            plan.region,
            plan.host,
            7000,
            8000,
            self.cluster.seeds,
            role=plan.role,
            data="memory",
            founding=self.cluster.founding,
            replace_after=self.cluster.replace_after,
            found_by_seeds=self.cluster.by_seeds,
            may_found=not (self.cluster.by_seeds and self.was_wiped),
            outage_bound=self.cluster.outage_bound,
        )

    async def start(self) -> None:
        world = self.cluster
        # A dead process's tasks are kept to the end: collected as garbage, they would clean up after all.
        world.crashed_actors.append(self.actor)
        self.actor = virtual_time.Actor(self.placement.name)
        # Every process draws from a stream of its own, so that one more draw here changes nothing there.
        randomness = random.Random(world.randomness.getrandbits(64))
        network = memory_network.HostNetwork(world.network, self.placement.host)
        if self.placement.role == "agency":
            self.program = control_nodes.ControlNode(
                self.settings(), clocks.LoopClock(), randomness, network, self.disk, world.ask_platform
            )
        else:
            opener = simulated_origins.connection_opener(world, self.placement.host)
            self.program = data_nodes.DataNode(
                self.settings(), clocks.LoopClock(), randomness, network, opener
            )
        await self.actor.start(self.program.open())

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
        self.cluster.network.drop(self.actor, reset)

    async def stop(self) -> None:
        """As SIGTERM does it."""
        context = self.program.context
        context.is_lame_duck = True
        await self.actor.start(asyncio.sleep(context.settings.farewell))
        await self.actor.start(context.drain())
        # Whoever still waits for an answer now will never get it.
        rule = "a planned restart drops no answer under way"
        if self.is_up:
            asks = self.actor.asks
            self.cluster.actors.checker.check(rule, asks == 0, f"{self.placement.name}: {asks} dropped")
        await self.actor.start(self.program.close())
        self.actor.dead = True
        self.cluster.network.drop(self.actor, True)

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
            raise TimeoutError(f"{self.placement.name} did not answer")
        return task.result()


class SimulatedCluster:
    def __init__(self, seed: int, shape: processes.ClusterShape, founding: int = 0) -> None:
        self.randomness = random.Random(seed)
        self.network = memory_network.SimulatedNetwork(self.randomness)
        self.shape = shape
        self.nodes: dict[str, SimulatedNode] = {}
        self.crashed_actors: list[virtual_time.Actor] = []
        self.retired: list[SimulatedNode] = []
        self.replace_after = 60.0
        # Founded by the seeds instead of by a number, and how long nodes go on while the core is out.
        self.by_seeds, self.outage_bound = False, 0.0
        self.founding = founding or shape.shields
        self.seeds: list[tuple[str, int]] = []
        self.actors = simulated_actors.SimulatedActors(self)
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
                plan = NodePlacement(f"{role}-{index}", role, machine, site, region, f"10.0.0.{number}")
                self.add(plan)
        self.seeds = [(node.placement.host, 7000) for node in self.with_role("agency")[:3]]

    def add(self, plan: NodePlacement) -> SimulatedNode:
        node = SimulatedNode(self, plan)
        self.nodes[plan.name] = node
        self.network.regions[plan.host] = plan.region
        return node

    def retire(self, node: SimulatedNode) -> None:
        """Gone for good, disk and all."""
        self.retired.append(self.nodes.pop(node.placement.name))

    async def ask_platform(self) -> typing.Any:
        return await self.actors.ask_platform()

    def with_role(self, role: str) -> list[SimulatedNode]:
        return [node for node in self.nodes.values() if node.placement.role == role]

    async def start_all(self) -> None:
        for node in self.nodes.values():
            await node.start()

    def hosts(self, names: collections.abc.Iterable[str]) -> list[str]:
        return [self.nodes[name].placement.host for name in names]

    def partition_off(self, names: collections.abc.Collection[str]) -> None:
        """These nodes reach one another, but nobody else."""
        others = [name for name in self.nodes if name not in names]
        self.network.cut(self.hosts(names), self.hosts(others))

    def describe(self) -> str:
        """One line for each node that is not fit to serve, for whoever has to find out why."""
        found = []
        for name, node in self.nodes.items():
            if node.is_up and not self.is_ready(node):
                now = asyncio.get_running_loop().time()
                copies = {
                    table: (str(copy.applied), copy.age(now))
                    for table, copy in node.program.context.replicas.items()
                }
                records = getattr(getattr(node.program, "participant", None), "store", None)
                found.append(f"{name} {copies} {records.records if records else ''}")
        return "\n".join(found)

    async def wait_until(self, condition: collections.abc.Callable[[], bool], patience: float) -> float:
        """Virtual seconds until the condition holds; AssertionError if it does not in time."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            if loop.time() - start > patience:
                raise AssertionError(f"not so after {patience} virtual seconds\n{self.describe()}")
            await asyncio.sleep(0.02)
        return loop.time() - start

    def is_ready(self, node: SimulatedNode) -> bool:
        context = node.program.context
        return node.is_up and all(context.is_current(copy) for copy in context.replicas.values())

    async def wait_until_ready(self, patience: float = 20.0) -> float:
        """Until every node that is up is fit to serve."""
        return await self.wait_until(
            lambda: all(self.is_ready(node) for node in self.nodes.values() if node.is_up), patience
        )
