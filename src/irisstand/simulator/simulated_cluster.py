"""A simulated cluster: nodes that run the real code of all roles on one event loop of virtual time."""

import asyncio
import collections.abc
import random

from irisstand.controlplane.singletons import origin_source
from irisstand.localcluster import processes
from irisstand.simulator import simulated_actors, simulated_network, simulated_node, virtual_time

SEEDS_LIMIT = 3
POLL_SECONDS = 0.02
READY_TIMEOUT_SECONDS = 20.0
DEFAULT_REPLACE_AFTER_SECONDS = 60.0


class SimulatedCluster:
    """All nodes of a cluster, their network, and the clients, operators, origins and platform around them.

    Attributes:
        crashed_actors: Ended processes, kept so that their tasks are not garbage collected.
        retired: Nodes that were removed for good.
        replace_after: Seconds after which an unreachable voter is replaced.
        seeds_bootstrap: Whether the seeds bootstrap the cluster, instead of any `founding` nodes.
        outage_bound: Seconds for which nodes go on serving without a quorum.
        founding: Number of control plane nodes that bootstrap the cluster.
        seeds: Host and port of each seed.
    """

    def __init__(self, seed: int, shape: processes.ClusterShape, founding: int = 0) -> None:
        self.randomness = random.Random(seed)
        self.network = simulated_network.SimulatedNetwork(self.randomness)
        self.shape = shape
        self.nodes: dict[str, simulated_node.SimulatedNode] = {}
        self.crashed_actors: list[virtual_time.Actor] = []
        self.retired: list[simulated_node.SimulatedNode] = []
        self.replace_after = DEFAULT_REPLACE_AFTER_SECONDS
        self.seeds_bootstrap = False
        self.outage_bound = 0.0
        self.founding = founding or shape.shields
        self.seeds: list[tuple[str, int]] = []
        self.actors = simulated_actors.SimulatedActors(self)
        self.place_nodes()

    def place_nodes(self) -> None:
        """Add the nodes of the shape, spread over its sites; control plane nodes run on shield machines."""
        counts = {
            "agency": self.shape.shields,
            "shield": self.shape.shields,
            "edge": self.shape.edges,
            "store": self.shape.stores,
        }
        for role, count in counts.items():
            machine_kind = "shield" if role == "agency" else role
            for index in range(1, count + 1):
                site, region = self.shape.sites[(index - 1) % len(self.shape.sites)]
                host = f"10.0.0.{len(self.nodes) + 1}"
                machine = f"{machine_kind}-machine-{index}"
                self.add(simulated_node.NodePlacement(f"{role}-{index}", role, machine, site, region, host))
        self.seeds = [
            (node.placement.host, simulated_node.PORT) for node in self.with_role("agency")[:SEEDS_LIMIT]
        ]

    def add(self, placement: simulated_node.NodePlacement) -> simulated_node.SimulatedNode:
        """Add a node without starting it, and return it."""
        node = simulated_node.SimulatedNode(self, placement)
        self.nodes[placement.name] = node
        self.network.regions[placement.host] = placement.region
        return node

    def retire(self, node: simulated_node.SimulatedNode) -> None:
        """Remove a node and its disk for good."""
        self.retired.append(self.nodes.pop(node.placement.name))

    async def ask_platform(self) -> origin_source.PlatformAnswer:
        """Return the platform's list of origins."""
        return await self.actors.ask_platform()

    def with_role(self, role: str) -> list[simulated_node.SimulatedNode]:
        """Return the nodes that have this role."""
        return [node for node in self.nodes.values() if node.placement.role == role]

    async def start_all(self) -> None:
        """Start all nodes, each after the one before has opened."""
        for node in self.nodes.values():
            await node.start()

    def hosts(self, names: collections.abc.Iterable[str]) -> list[str]:
        """Return the host addresses of the named nodes."""
        return [self.nodes[name].placement.host for name in names]

    def partition_off(self, names: collections.abc.Collection[str]) -> None:
        """Partition the named nodes off from all others."""
        others = [name for name in self.nodes if name not in names]
        self.network.partition(self.hosts(names), self.hosts(others))

    def describe(self) -> str:
        """Describe the replicas of each node that is up but not ready, for an error message."""
        now = asyncio.get_running_loop().time()
        lines = []
        for name, node in self.nodes.items():
            if node.is_up and not self.is_ready(node):
                replicas = {
                    table: (str(replica.applied), replica.age(now))
                    for table, replica in node.program.context.replicas.items()
                }
                is_control_node = node.placement.role == "agency"
                records = node.program.participant.store.records if is_control_node else ""
                lines.append(f"{name} {replicas} {records}")
        return "\n".join(lines)

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool], timeout_seconds: float
    ) -> float:
        """Wait until a condition holds, and return how many virtual seconds the wait took.

        Raises:
            AssertionError: The condition does not hold within the timeout.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            if loop.time() - start > timeout_seconds:
                raise AssertionError(
                    f"the condition does not hold after {timeout_seconds} virtual seconds\n{self.describe()}"
                )
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - start

    def is_ready(self, node: simulated_node.SimulatedNode) -> bool:
        """Return whether a node is up and its replicas are current."""
        context = node.program.context
        return node.is_up and all(context.is_current(replica) for replica in context.replicas.values())

    async def wait_until_ready(self, timeout_seconds: float = READY_TIMEOUT_SECONDS) -> float:
        """Wait until every node that is up is ready, and return how many virtual seconds the wait took."""
        return await self.wait_until(
            lambda: all(self.is_ready(node) for node in self.nodes.values() if node.is_up), timeout_seconds
        )
