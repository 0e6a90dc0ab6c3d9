"""One core node of the model: the real core, proposer and majority check on a disk of its own."""

import random
import typing

from irisstand import clocks, node_context, node_settings
from irisstand.controlplane.consensus import heartbeat
from irisstand.controlplane.consensus import participant as cores
from irisstand.controlplane.consensus import proposer as proposers
from irisstand.membership import updates
from irisstand.modelcheck import events
from irisstand.simulator import virtual_time as virtual
from irisstand.state import items

TABLE = items.CONFIGURATION
PORT = 7000


class Node:
    """A process that can crash and start again; a wiped one starts with an empty disk under a new id."""

    def __init__(self, world: typing.Any, name: str, site: str, files: dict[str, bytes]) -> None:
        self.world, self.name, self.site = world, name, site
        self.disk = events.ModelDisk(world, name, files)
        self.life = 0
        self.history = 0
        self.serving: list[events.Exchange] = []
        self.actor = virtual.Actor(name)
        self.actor.dead = True
        self.is_open = False
        # Wiped, and not yet ready to be voted in again.
        self.is_new = False
        self.transport: events.ModelTransport | None = None
        self.core: cores.Core | None = None

    @property
    def is_up(self) -> bool:
        """Its port opens once its disk is read."""
        return not self.actor.dead and self.is_open

    def mark(self, label: str) -> None:
        """What a node does follows from what it was delivered, in this order: this stands for its state."""
        self.history = hash((self.history, label))

    def settings(self) -> node_settings.Settings:
        place = (self.name, self.name, self.site, "region", self.name, PORT, PORT + 1)
        return node_settings.Settings(*place, [], data="memory", founding=3)

    def start(self) -> None:
        self.life += 1
        self.actor = virtual.Actor(self.name)
        self.actor.start(self.open())

    async def open(self) -> None:
        randomness = random.Random(f"{self.name} {self.life}")
        context = node_context.NodeContext(self.settings(), "agency", clocks.LoopClock(), randomness, None)
        # Everybody knows everybody: membership is not what is checked here.
        for other in self.world.nodes.values():
            card = updates.NodeInfo("agency", other.name, other.site, "region", other.name, PORT, PORT + 1)
            identity = updates.Identity(other.name, "1")
            if other is not self:
                context.detector.member_list.apply(
                    updates.Update(updates.MemberState.ALIVE, identity, 1, card)
                )
        self.transport = events.ModelTransport(self.world, self)
        context.transport = self.transport
        self.core = cores.Core(context, self.disk)
        await self.core.open()
        self.copy = context.replicas[TABLE]
        self.proposer = proposers.Proposer(self.core, TABLE)
        self.check = heartbeat.MajorityCheck(self.core, self.proposer)
        self.world.oracle.watch(self)
        context.start_task(self.proposer.run(), "proposer")
        self.is_open = True

    def crash(self) -> None:
        """Memory and what was not synced are gone; whoever waits for this node hears that it went."""
        self.actor.dead = True
        self.is_open = False
        self.world.graveyard.append(self.actor)
        serving, self.serving = self.serving, []
        for exchange in serving:
            exchange.lose()
        self.mark("crash")

    def wipe(self) -> None:
        self.crash()
        self.world.oracle.bury(self)
        self.disk.files.clear()
        self.is_new = True
        self.mark("wipe")
