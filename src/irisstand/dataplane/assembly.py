"""Assembles a data plane node from its clock, randomness and network, for the program and the simulator."""

import importlib
import random
import typing

from irisstand import clocks, node_context, node_settings
from irisstand.dataplane.routing import configuration_view
from irisstand.state.replication import refresher, replicator
from irisstand.transport import network

# Plug-in point: for each role, the module whose function `create` creates the node. Only the module of the
# node's own role is imported: without the libraries of the others a killed node restarts sooner.
REGISTRY = {
    "edge": "irisstand.dataplane.nodes.edge",
    "shield": "irisstand.dataplane.nodes.shield",
    "store": "irisstand.dataplane.nodes.store",
    "direct": "irisstand.dataplane.nodes.direct",
    "holder": "irisstand.dataplane.nodes.direct",
}


class DataNode:
    """Holds the parts of a data plane node: context, replicas, and the part that belongs to its role.

    Args:
        settings: The node's settings, which include its role.
        clock: The node's clock.
        randomness: The node's source of random choices.
        net: The network on which the node listens and connects to peers.
        connect: Opens connections to origins; None for the role's default, which opens real sockets.

    Attributes:
        role_node: The part that belongs to the role. The roles share no interface, but some have a
            method `run`, which is started as a task.
    """

    def __init__(
        self,
        settings: node_settings.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
        net: network.Network,
        connect: typing.Any = None,
    ) -> None:
        self.context = node_context.NodeContext(settings, settings.role, clock, randomness, net)
        self.view = configuration_view.ConfigurationView(self.context)
        self.replicator = replicator.Replicator(self.context)
        self.refresher = refresher.Refresher(self.context, self.replicator)
        role_module = importlib.import_module(REGISTRY[settings.role])
        self.role_node: typing.Any = role_module.create(self.context, self.view, connect)

    async def open(self) -> None:
        """Open the node's ports and start its background tasks."""
        await self.context.open()
        self.context.start_task(self.refresher.run(), "refresher")
        if hasattr(self.role_node, "run"):
            self.context.start_task(self.role_node.run(), f"part of a {self.context.role}")

    async def close(self) -> None:
        """Close the node's ports and end its background tasks."""
        await self.context.close()
