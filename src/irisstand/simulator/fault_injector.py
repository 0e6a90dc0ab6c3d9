"""Random trouble for a simulated day: what the brief says fails, drawn by seed. A kind is an entry."""

import asyncio
import collections
import collections.abc
import functools
import random
import typing

from irisstand.simulator import cluster_faults, origin_faults


class FaultInjector:
    def __init__(
        self,
        world: typing.Any,
        randomness: random.Random,
        kinds: tuple[str, ...] = (),
        pauses: tuple[float, float] = (0.5, 3.0),
    ) -> None:
        self.cluster, self.randomness = world, randomness
        self.happened: collections.Counter[str] = collections.Counter()
        self.log: list[tuple[float, str]] = []
        self.busy: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        # While something holds the whole fleet, no other trouble begins.
        self.held = False
        self.change: collections.abc.Callable | None = None
        self.registry: dict[str, collections.abc.Callable[[], collections.abc.Awaitable[None]]] = {
            "kill": self.kill,
            "power": self.power,
            "wipe": self.wipe,
            "freeze": self.freeze,
            "isolate": self.isolate,
            "split": self.split,
            "stall": self.stall,
            "fill": self.fill,
            "corrupt": self.corrupt,
            "drain": self.drain,
            "loss": self.loss,
            "platform-down": self.platform_down,
        }
        for registry in (origin_faults.REGISTRY, cluster_faults.REGISTRY):
            self.registry.update({kind: functools.partial(work, self) for kind, work in registry.items()})
        self.kinds = kinds or tuple(kind for kind in self.registry if kind != "total-loss")
        self.pauses = pauses

    async def run(self, seconds: float) -> None:
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end - 1:
            if self.held:
                await asyncio.sleep(0.5)
                continue
            kind = self.randomness.choice(self.kinds)
            task = asyncio.create_task(self.registry[kind]())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.randomness.uniform(*self.pauses))
        if self.tasks:
            await asyncio.wait(self.tasks)

    def note(self, kind: str, whom: str) -> None:
        self.happened[kind] += 1
        self.log.append((round(asyncio.get_running_loop().time(), 2), f"{kind} {whom}"))

    def pause(self, low: float, high: float) -> collections.abc.Awaitable[None]:
        return asyncio.sleep(self.randomness.uniform(low, high))

    def pick(self, role: str = "") -> typing.Any:
        """A node that is well, and whose trouble leaves the core able to decide again afterwards."""
        nodes = [
            node
            for node in self.cluster.nodes.values()
            if node.is_up and node.placement.name not in self.busy and role in ("", node.placement.role)
        ]
        return self.randomness.choice(nodes) if nodes else None

    async def with_node(
        self,
        kind: str,
        node: typing.Any,
        trouble: collections.abc.Callable,
        low: float,
        high: float,
        mend: collections.abc.Callable[[], typing.Any],
    ) -> None:
        if node is None:
            return
        name = node.placement.name
        self.busy.add(name)
        self.note(kind, name)
        trouble()
        await self.pause(low, high)
        self.note("mend", f"{kind} {name}")
        result = mend()
        if result is not None:
            await result
        self.busy.discard(name)

    async def kill(self) -> None:
        node = self.pick()
        await self.with_node("kill", node, lambda: node.kill(), 0.2, 6, lambda: self.revive(node))

    async def power(self) -> None:
        """A whole site at once, with no goodbye."""
        site = self.randomness.choice(self.cluster.shape.sites)[0]
        nodes = [n for n in self.cluster.nodes.values() if n.placement.site == site and n.is_up]
        nodes = [node for node in nodes if node.placement.name not in self.busy]
        self.busy |= {node.placement.name for node in nodes}
        self.note("power", site)
        for node in nodes:
            node.kill(reset=False)
        await self.pause(0.5, 8)
        self.note("mend", f"power {site}")
        for node in nodes:
            await self.revive(node)
            self.busy.discard(node.placement.name)

    async def wipe(self) -> None:
        """One disk at a time: the brief promises to outlive one disk machine, not a majority of them."""
        control_nodes = self.cluster.with_role("agency")
        if any(node.placement.name in self.busy for node in control_nodes):
            return
        node = self.randomness.choice(control_nodes)
        # A disk whose successor has no vote yet still counts as lost.
        if not all(self.is_voter(other) for other in control_nodes):
            return

        def trouble() -> None:
            node.kill()
            node.wipe()

        await self.with_node("wipe", node, trouble, 0.2, 4, lambda: self.revive(node))

    def is_voter(self, node: typing.Any) -> bool:
        return all(node.program.participant.is_voter(table) for table in node.program.context.replicas)

    async def freeze(self) -> None:
        node = self.pick()
        await self.with_node("freeze", node, lambda: node.freeze(), 0.2, 9, lambda: self.revive(node))

    async def isolate(self) -> None:
        node = self.pick()
        if node is None or self.cluster.network.cuts:
            return
        name = node.placement.name
        await self.with_node(
            "isolate",
            node,
            lambda: self.cluster.partition_off([name]),
            0.5,
            7,
            lambda: self.cluster.network.heal(),
        )

    async def split(self) -> None:
        if self.cluster.network.cuts:
            return
        sites = {site for site, _ in self.randomness.sample(self.cluster.shape.sites, 2)}
        self.note("split", str(sorted(sites)))
        self.cluster.partition_off(
            [n.placement.name for n in self.cluster.nodes.values() if n.placement.site in sites]
        )
        await self.pause(0.5, 7)
        self.cluster.network.heal()

    async def stall(self) -> None:
        node = self.pick("agency")
        if node is not None:
            disk = node.disk
            self.note("stall", node.placement.name)
            disk.stalled = True
            await self.pause(0.2, 4)
            disk.stalled = False

    async def fill(self) -> None:
        node = self.pick("agency")
        if node is not None:
            disk = node.disk
            self.note("fill", node.placement.name)
            disk.full = True
            await self.pause(0.5, 5)
            disk.full = False

    async def corrupt(self) -> None:
        """Damage found at a restart; like a wipe, of one disk at a time."""
        control_nodes = self.cluster.with_role("agency")
        if any(node.placement.name in self.busy or not self.is_voter(node) for node in control_nodes):
            return
        node = self.randomness.choice(control_nodes)
        part = self.randomness.choice((".voter.", ".item.", "vault"))

        def trouble() -> None:
            node.kill()
            node.disk.corrupt(part)

        await self.with_node("corrupt", node, trouble, 0.2, 2, lambda: self.revive(node))

    async def drain(self) -> None:
        node = self.pick()
        if node is not None:
            self.busy.add(node.placement.name)
            self.note("drain", node.placement.name)
            await node.stop()
            await self.pause(0.1, 2)
            await self.revive(node)
            self.busy.discard(node.placement.name)

    async def loss(self) -> None:
        self.note("loss", "10 %")
        self.cluster.network.loss = 0.1
        await self.pause(1, 5)
        self.cluster.network.loss = 0.0

    async def platform_down(self) -> None:
        self.note("platform-down", "")
        stage = self.cluster.actors
        stage.platform_up = False
        began = asyncio.get_running_loop().time()
        await self.pause(1, 5)
        stage.platform_up = True
        stage.platform_outages.append((began, asyncio.get_running_loop().time()))

    async def mend(self) -> None:
        """The end of the day: everything is put right."""
        self.cluster.network.heal()
        self.cluster.network.loss = 0.0
        for node in self.cluster.nodes.values():
            node.disk.stalled = node.disk.full = False
            await self.revive(node)

    async def revive(self, node: typing.Any) -> None:
        if node.actor.frozen:
            node.thaw()
        if node.actor.dead:
            await node.restart()
