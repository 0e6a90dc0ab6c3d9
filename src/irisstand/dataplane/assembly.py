"""Putting a data plane node together from what it is handed; the simulator uses this as the program does."""

import importlib
import random
import typing

from irisstand import clocks, node_context, node_settings
from irisstand.dataplane.routing import snapshot
from irisstand.state.replication import refresher, replicator
from irisstand.transport import network

# Plug-in point: a role is an entry here, the module whose `part` makes it. It is imported when its role is
# played: a node that was killed is back sooner without the libraries of the others.
REGISTRY = {
    "edge": "irisstand.dataplane.nodes.edge",
    "shield": "irisstand.dataplane.nodes.shield",
    "store": "irisstand.dataplane.nodes.store",
    "direct": "irisstand.dataplane.nodes.direct",
    "holder": "irisstand.dataplane.nodes.direct",
}


class DataNode:
    """`connect` opens what the role needs towards origins; None for the real one of the role."""

    def __init__(
        self,
        settings: node_settings.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
        net: network.Network,
        connect: typing.Any = None,
    ) -> None:
        self.context = node_context.NodeContext(settings, settings.role, clock, randomness, net)
        self.view = snapshot.ConfigurationSnapshot(self.context)
        self.replicator = replicator.Replicator(self.context)
        self.refresher = refresher.Refresher(self.context, self.replicator)
        self.role_node: typing.Any = importlib.import_module(REGISTRY[settings.role]).create(
            self.context, self.view, connect
        )

    async def open(self) -> None:
        await self.context.open()
        self.context.start_task(self.refresher.run(), "refresher")
        if hasattr(self.role_node, "run"):
            self.context.start_task(self.role_node.run(), f"part of a {self.context.role}")

    async def close(self) -> None:
        await self.context.close()
