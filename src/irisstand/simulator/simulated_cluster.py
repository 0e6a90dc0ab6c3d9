"""The simulated cluster: many nodes that run their real tasks on one virtual loop."""

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
    """All nodes of a network, with the actors around it.

    Attributes:
        crashed_actors: Earlier processes, kept so that their tasks are not collected.
        retired: Nodes that are gone for good.
        by_seeds: Whether the seeds bootstrap the cluster, instead of a number of nodes.
        outage_bound: Seconds that nodes go on without a quorum.
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
        """Make the nodes of the shape, spread over its sites; an agency shares a machine with a shield."""
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
        """Add a node, which is not started."""
        node = simulated_node.SimulatedNode(self, placement)
        self.nodes[placement.name] = node
        self.network.regions[placement.host] = placement.region
        return node

    def retire(self, node: simulated_node.SimulatedNode) -> None:
        """Take a node out for good, with its disk."""
        self.retired.append(self.nodes.pop(node.placement.name))

    async def ask_platform(self) -> origin_source.PlatformAnswer:
        """Return the platform's list of origins."""
        return await self.actors.ask_platform()

    def with_role(self, role: str) -> list[simulated_node.SimulatedNode]:
        """Return the nodes of a role."""
        return [node for node in self.nodes.values() if node.placement.role == role]

    async def start_all(self) -> None:
        """Start all nodes, one after another."""
        for node in self.nodes.values():
            await node.start()

    def hosts(self, names: collections.abc.Iterable[str]) -> list[str]:
        """Return the hosts of nodes."""
        return [self.nodes[name].placement.host for name in names]

    def partition_off(self, names: collections.abc.Collection[str]) -> None:
        """Cut the links between these nodes and all others."""
        others = [name for name in self.nodes if name not in names]
        self.network.partition(self.hosts(names), self.hosts(others))

    def describe(self) -> str:
        """Return one line for each node that is up and not ready, for a failure message."""
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
        """Wait until a condition holds, and return how many virtual seconds that took.

        Raises:
            AssertionError: It does not hold in time.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            if loop.time() - start > timeout_seconds:
                raise AssertionError(f"not so after {timeout_seconds} virtual seconds\n{self.describe()}")
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - start

    def is_ready(self, node: simulated_node.SimulatedNode) -> bool:
        """Return whether a node is up and its replicas are current."""
        context = node.program.context
        return node.is_up and all(context.is_current(replica) for replica in context.replicas.values())

    async def wait_until_ready(self, timeout_seconds: float = READY_TIMEOUT_SECONDS) -> float:
        """Wait until every node that is up is ready."""
        return await self.wait_until(
            lambda: all(self.is_ready(node) for node in self.nodes.values() if node.is_up), timeout_seconds
        )
