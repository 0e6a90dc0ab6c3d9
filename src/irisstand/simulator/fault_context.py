"""State that all fault functions share: the cluster, the random generator and a log of the faults."""

import asyncio
import collections
import collections.abc
import random
import typing

from irisstand.simulator import simulated_cluster, simulated_node

SendChange = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class LogEntry(typing.NamedTuple):
    """One injected or repaired fault; `at` is the virtual time in seconds, rounded to hundredths."""

    at: float
    description: str


class FaultContext:
    """State of the fault injection of one simulated day.

    Attributes:
        counts: Number of injected faults of each kind.
        log: Injected and repaired faults, in order of time.
        affected: Names of nodes under a fault; no other fault of a node picks them until it is over.
        tasks: Tasks of the fault functions that run now.
        is_exclusive: Whether a fault of the whole cluster runs, during which no other fault begins.
        send_change: Submits a random change of the configuration to the named node; the day sets it.
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
        """Count a fault, or its repair, and add it to the log."""
        self.counts[kind] += 1
        now = asyncio.get_running_loop().time()
        self.log.append(LogEntry(round(now, 2), f"{kind} {target}"))

    async def pause(self, low: float, high: float) -> None:
        """Sleep for a random time between `low` and `high` virtual seconds."""
        await asyncio.sleep(self.randomness.uniform(low, high))

    def healthy_nodes(self) -> list[simulated_node.SimulatedNode]:
        """Return the nodes that are up and not affected by a fault."""
        return [
            node
            for node in self.cluster.nodes.values()
            if node.is_up and node.placement.name not in self.affected
        ]

    def pick_node(self, role: str = "") -> simulated_node.SimulatedNode | None:
        """Return a random healthy node of a role, or of any role if it is empty; None if there is none."""
        nodes = [node for node in self.healthy_nodes() if role in ("", node.placement.role)]
        return self.randomness.choice(nodes) if nodes else None

    def pick_control_node(self) -> str:
        """Return the name of a random control plane node that is up, or of the first one if all are down."""
        control_nodes = self.cluster.with_role("agency")
        names = [node.placement.name for node in control_nodes if node.is_up]
        return self.randomness.choice(names or [control_nodes[0].placement.name])

    def may_lose_disk(self) -> bool:
        """Return whether a disk may be lost now: all control plane nodes are voters and under no fault.

        The cluster survives the loss of one disk at a time, not of a majority. A lost disk counts until the
        node that replaces it is a voter.
        """
        control_nodes = self.cluster.with_role("agency")
        if any(node.placement.name in self.affected for node in control_nodes):
            return False
        return all(self.is_voter(node) for node in control_nodes)

    def is_voter(self, node: simulated_node.SimulatedNode) -> bool:
        """Return whether a control plane node is a voter of every replicated table."""
        return all(node.program.participant.is_voter(table) for table in node.program.context.replicas)

    def begin(self, kind: str, node: simulated_node.SimulatedNode, detail: str = "") -> None:
        """Mark a node as affected by a fault and record the fault."""
        self.affected.add(node.placement.name)
        self.record(kind, f"{node.placement.name}{detail}")

    def release(self, node: simulated_node.SimulatedNode) -> None:
        """Mark a node as no longer affected, so that other faults may pick it."""
        self.affected.discard(node.placement.name)

    async def end(self, kind: str, node: simulated_node.SimulatedNode) -> None:
        """Record that a node's fault is over, bring the node back up, and release it for other faults."""
        self.record("mend", f"{kind} {node.placement.name}")
        await self.revive(node)
        self.release(node)

    async def revive(self, node: simulated_node.SimulatedNode) -> None:
        """Bring a node back up: thaw it if it is frozen, restart it if it is dead."""
        if node.actor.frozen:
            node.thaw()
        if node.actor.dead:
            await node.restart()

    async def repair_all(self) -> None:
        """End all partitions, datagram loss and disk faults, and bring every node back up."""
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
