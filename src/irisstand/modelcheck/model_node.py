"""One core node of the model: the real participant, proposer and heartbeat on a disk of its own."""

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
    """Fulfils the network interface of the node context; the model's transport never uses it."""

    async def connect(self, address: network.Address) -> network.Stream:
        """Refuse to connect."""
        raise NotImplementedError

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> typing.Any:
        """Refuse to listen."""
        raise NotImplementedError

    async def open_datagram_socket(
        self, address: network.Address, on_datagram: network.OnDatagram
    ) -> network.DatagramSocket:
        """Refuse to open a datagram port."""
        raise NotImplementedError


class ClusterContext(typing.NamedTuple):
    """What all nodes of one model cluster share."""

    scheduler: scheduler.Scheduler
    checker: invariants.InvariantChecker
    randomness: random.Random
    nodes: dict[str, "ModelNode"]
    crashed_actors: list[virtual_time.Actor]


class ModelNode:
    """A process that can crash and restart; a wiped one restarts with an empty disk under a new disk id.

    `open` sets `core`, `table_replica`, `proposer` and `heartbeat`, anew for each start.
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
        # Wiped, and not yet voted in again.
        self.is_rejoining = False

    @property
    def is_up(self) -> bool:
        """Whether the node accepts connections: its port opens once its disk is read."""
        return not self.actor.dead and self.is_open

    def record_input(self, label: str) -> None:
        """Add an input to the history; a node's state is a function of its inputs in their order."""
        self.inputs_hash = hash((self.inputs_hash, label))

    def settings(self) -> node_settings.Settings:
        """Return the settings of this node."""
        addresses = (self.name, self.name, self.site, "region", self.name, PORT, PORT + 1)
        return node_settings.Settings(*addresses, [], data="memory", founding=VOTERS_AT_BOOTSTRAP)

    def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        self.actor = virtual_time.Actor(self.name)
        self.actor.start(self.open())

    async def open(self) -> None:
        """Read the disk, start the participant and its proposer, and accept connections."""
        context = self.make_context()
        self.transport = model_network.ModelTransport(self.cluster.scheduler, self.cluster.nodes, self)
        # The participant uses only the registry of handlers and `call`, which the model's transport has.
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
        """Return a node context that knows all nodes; membership is not part of the model."""
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
        """Lose memory and unsynced writes; callers that wait for this node learn that it went."""
        self.actor.dead = True
        self.is_open = False
        self.cluster.crashed_actors.append(self.actor)
        calls = self.calls_in_progress
        self.calls_in_progress = []
        for call in calls:
            call.fail_unanswered()
        self.record_input("crash")

    def wipe(self) -> None:
        """Crash and lose the disk."""
        self.crash()
        self.cluster.checker.keep_wiped_disk(self.participant.store.disk_id, self.disk.files)
        self.disk.files.clear()
        self.is_rejoining = True
        self.record_input("wipe")


def disk_files(nodes: collections.abc.Iterable[ModelNode]) -> dict[str, dict[str, bytes]]:
    """Return the synced files of each node by the id of its disk."""
    return {node.participant.store.disk_id: node.disk.files for node in nodes}
