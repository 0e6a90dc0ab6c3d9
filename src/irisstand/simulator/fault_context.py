"""What the fault functions share: the cluster, the random source, and the record of what was injected."""

import asyncio
import collections
import collections.abc
import random
import typing

from irisstand.simulator import simulated_cluster, simulated_node

SendChange = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class LogEntry(typing.NamedTuple):
    """One injected or repaired fault; `at` in virtual seconds, to the hundredth."""

    at: float
    description: str


class FaultContext:
    """State of the fault injection of one simulated day.

    Attributes:
        counts: How often each kind of fault was injected.
        log: What was injected and repaired, in order.
        affected: Names of nodes under a fault; they are left alone until it is over.
        tasks: Running fault functions.
        is_exclusive: Whether a fault of the whole cluster runs, during which no other begins.
        change: Sends a change of the configuration to a node; set by the day.
    """

    def __init__(self, cluster: simulated_cluster.SimulatedCluster, randomness: random.Random) -> None:
        self.cluster = cluster
        self.randomness = randomness
        self.counts: collections.Counter[str] = collections.Counter()
        self.log: list[LogEntry] = []
        self.affected: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_exclusive = False
        self.send_change: SendChange | None = None

    def record(self, kind: str, target: str) -> None:
        """Count a fault and write it to the log."""
        self.counts[kind] += 1
        now = asyncio.get_running_loop().time()
        self.log.append(LogEntry(round(now, 2), f"{kind} {target}"))

    async def pause(self, low: float, high: float) -> None:
        """Sleep for a random time between two numbers of virtual seconds."""
        await asyncio.sleep(self.randomness.uniform(low, high))

    def healthy_nodes(self) -> list[simulated_node.SimulatedNode]:
        """Return the nodes that are up and under no fault."""
        return [
            node
            for node in self.cluster.nodes.values()
            if node.is_up and node.placement.name not in self.affected
        ]

    def pick_node(self, role: str = "") -> simulated_node.SimulatedNode | None:
        """Return a random healthy node of a role, or of any; None if there is none."""
        nodes = [node for node in self.healthy_nodes() if role in ("", node.placement.role)]
        return self.randomness.choice(nodes) if nodes else None

    def pick_control_node(self) -> str:
        """Return the name of a random control plane node, one that is up if there is one."""
        control_nodes = self.cluster.with_role("agency")
        names = [node.placement.name for node in control_nodes if node.is_up]
        return self.randomness.choice(names or [control_nodes[0].placement.name])

    def may_lose_disk(self) -> bool:
        """Return whether one more disk may be lost: all control plane nodes are voters and unaffected.

        The design survives the loss of one disk at a time, not of a majority. A disk whose successor has no
        vote yet still counts as lost.
        """
        control_nodes = self.cluster.with_role("agency")
        if any(node.placement.name in self.affected for node in control_nodes):
            return False
        return all(self.is_voter(node) for node in control_nodes)

    def is_voter(self, node: simulated_node.SimulatedNode) -> bool:
        """Return whether a control plane node votes on every table."""
        return all(node.program.participant.is_voter(table) for table in node.program.context.replicas)

    def begin(self, kind: str, node: simulated_node.SimulatedNode, detail: str = "") -> None:
        """Mark a node as affected and record the fault."""
        self.affected.add(node.placement.name)
        self.record(kind, f"{node.placement.name}{detail}")

    def release(self, node: simulated_node.SimulatedNode) -> None:
        """Let other faults have the node again."""
        self.affected.discard(node.placement.name)

    async def end(self, kind: str, node: simulated_node.SimulatedNode) -> None:
        """Record that a node's fault is over, bring the node back, and release it."""
        self.record("mend", f"{kind} {node.placement.name}")
        await self.revive(node)
        self.release(node)

    async def revive(self, node: simulated_node.SimulatedNode) -> None:
        """Let a frozen node go on, or start one that is dead."""
        if node.actor.frozen:
            node.thaw()
        if node.actor.dead:
            await node.restart()

    async def repair_all(self) -> None:
        """Heal the network and all disks, and bring every node back."""
        self.cluster.network.heal()
        self.cluster.network.loss = 0.0
        for node in self.cluster.nodes.values():
            node.disk.stalled = False
            node.disk.full = False
            await self.revive(node)


Fault = collections.abc.Callable[[FaultContext], collections.abc.Coroutine[typing.Any, typing.Any, None]]


def now() -> float:
    """Return the virtual time in seconds."""
    return asyncio.get_running_loop().time()
