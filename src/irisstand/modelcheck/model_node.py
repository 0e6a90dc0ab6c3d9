"""A control plane node of the model: the real participant, proposer and heartbeat on a simulated disk."""

import collections.abc
import random
import typing

from irisstand import clocks, node_context, node_settings
from irisstand.controlplane.consensus import heartbeat, participant, proposer
from irisstand.membership import updates
from irisstand.modelcheck import invariants, model_disk, model_network, scheduler
from irisstand.simulator import virtual_time
from irisstand.state import items
from irisstand.transport import network

TABLE = items.CONFIGURATION
PORT = 7000
VOTERS_AT_BOOTSTRAP = 3


class UnusedNetwork:
    """A network for the node context that has no connections, as the model's transport never uses it."""

    async def connect(self, address: network.Address) -> network.Stream:
        """Raise NotImplementedError, as the model never opens connections."""
        raise NotImplementedError

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> typing.Any:
        """Raise NotImplementedError, as the model never listens for connections."""
        raise NotImplementedError

    async def open_datagram_socket(
        self, address: network.Address, on_datagram: network.OnDatagram
    ) -> network.DatagramSocket:
        """Raise NotImplementedError, as the model never opens datagram sockets."""
        raise NotImplementedError


class ClusterContext(typing.NamedTuple):
    """The objects that all nodes of a model cluster share.

    Attributes:
        scheduler: The scheduler of all events.
        checker: The checker of the invariants.
        randomness: The source of randomness that all disks share.
        nodes: All nodes of the cluster by name.
        crashed_actors: The simulated processes that have crashed.
    """

    scheduler: scheduler.Scheduler
    checker: invariants.InvariantChecker
    randomness: random.Random
    nodes: dict[str, "ModelNode"]
    crashed_actors: list[virtual_time.Actor]


class ModelNode:
    """A control plane node that can crash and restart.

    A node whose disk was wiped restarts with an empty disk and a new disk id. Each call of `open` sets
    `transport`, `participant`, `table_replica`, `proposer` and `heartbeat` to new objects.

    Args:
        cluster: The objects that all nodes of the cluster share.
        name: The name of the node.
        site: The site of the node.
        files: The initial files of the node's disk with their checksums, by file name.
    """

    def __init__(self, cluster: ClusterContext, name: str, site: str, files: dict[str, bytes]) -> None:
        self.cluster = cluster
        self.name = name
        self.site = site
        self.disk = model_disk.ModelDisk(
            cluster.scheduler, cluster.randomness, name, lambda: self.incarnation, files
        )
        self.incarnation = 0
        self.inputs_hash = 0
        self.calls_in_progress: list[model_network.Call] = []
        self.actor = virtual_time.Actor(name)
        self.actor.dead = True
        self.is_open = False
        # Whether the disk was wiped and the node has not yet fetched the table and persisted it again.
        self.is_rejoining = False

    @property
    def is_up(self) -> bool:
        """Whether the node accepts connections, which it does once it has read its disk."""
        return not self.actor.dead and self.is_open

    def record_input(self, label: str) -> None:
        """Add an input to the hash of all inputs, which identifies the state of the node.

        The node is deterministic, so its state is a function of its inputs and their order.
        """
        self.inputs_hash = hash((self.inputs_hash, label))

    def settings(self) -> node_settings.Settings:
        """Return node settings for this node, with addresses that are never connected to."""
        addresses = (self.name, self.name, self.site, "region", self.name, PORT, PORT + 1)
        return node_settings.Settings(*addresses, [], data="memory", founding=VOTERS_AT_BOOTSTRAP)

    def start(self) -> None:
        """Start the node's process as a new incarnation."""
        self.incarnation += 1
        self.actor = virtual_time.Actor(self.name)
        self.actor.start(self.open())

    async def open(self) -> None:
        """Open the participant on the disk, start its proposer, and accept connections."""
        context = self.make_context()
        self.transport = model_network.ModelTransport(self.cluster.scheduler, self.cluster.nodes, self)
        # Of the transport, the participant uses only `handlers` and `call`, which the model transport has.
        context.transport = typing.cast(typing.Any, self.transport)
        self.participant = participant.Participant(context, self.disk)
        await self.participant.open()
        self.table_replica = context.replicas[TABLE]
        self.proposer = proposer.Proposer(self.participant, TABLE)
        self.heartbeat = heartbeat.Heartbeat(self.participant, self.proposer)
        self.cluster.checker.observe(self.name, self.table_replica)
        context.start_task(self.proposer.run(), "proposer")
        self.is_open = True

    def make_context(self) -> node_context.NodeContext:
        """Return a node context with all other nodes as alive members, as membership is not modelled."""
        randomness = random.Random(f"{self.name} {self.incarnation}")
        context = node_context.NodeContext(
            self.settings(), "agency", clocks.LoopClock(), randomness, UnusedNetwork()
        )
        for other in self.cluster.nodes.values():
            info = updates.NodeInfo("agency", other.name, other.site, "region", other.name, PORT, PORT + 1)
            identity = updates.Identity(other.name, "1")
            if other is not self:
                context.detector.member_list.apply(
                    updates.Update(updates.MemberState.ALIVE, identity, 1, info)
                )
        return context

    def crash(self) -> None:
        """Stop the process, which loses its memory, and fail the calls that it was serving."""
        self.actor.dead = True
        self.is_open = False
        self.cluster.crashed_actors.append(self.actor)
        calls = self.calls_in_progress
        self.calls_in_progress = []
        for call in calls:
            call.fail_unanswered()
        self.record_input("crash")

    def wipe(self) -> None:
        """Crash the node and erase its disk."""
        self.crash()
        self.cluster.checker.keep_wiped_disk(self.participant.store.disk_id, self.disk.files)
        self.disk.files.clear()
        self.is_rejoining = True
        self.record_input("wipe")


def disk_files(nodes: collections.abc.Iterable[ModelNode]) -> dict[str, dict[str, bytes]]:
    """Return the synced files of each node, by disk id."""
    return {node.participant.store.disk_id: node.disk.files for node in nodes}
