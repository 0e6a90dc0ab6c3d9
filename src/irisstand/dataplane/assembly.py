"""Puts a data plane node together from what it is handed; the simulator uses this as the program does."""

import importlib
import random
import typing

from irisstand import clocks, node_context, node_settings
from irisstand.dataplane.routing import configuration_view
from irisstand.state.replication import refresher, replicator
from irisstand.transport import network

# Plug-in point: for each role the module whose `create` makes its node. A module is imported when its role is
# played: a node that was killed is back sooner without the libraries of the others.
REGISTRY = {
    "edge": "irisstand.dataplane.nodes.edge",
    "shield": "irisstand.dataplane.nodes.shield",
    "store": "irisstand.dataplane.nodes.store",
    "direct": "irisstand.dataplane.nodes.direct",
    "holder": "irisstand.dataplane.nodes.direct",
}


class DataNode:
    """A node of the data plane in one of its roles.

    Args:
        settings: The node's settings, with its role.
        clock: The node's clock.
        randomness: The node's source of random choices.
        net: Opens the node's ports and connections to peers.
        connect: Opens connections to origins; None for the real ones of the role.

    Attributes:
        role_node: The part that belongs to the role. Roles have no interface in common but `run`, which some
            have.
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
        """Open the node's ports and start its tasks."""
        await self.context.open()
        self.context.start_task(self.refresher.run(), "refresher")
        if hasattr(self.role_node, "run"):
            self.context.start_task(self.role_node.run(), f"part of a {self.context.role}")

    async def close(self) -> None:
        """Close the node's ports and end its tasks."""
        await self.context.close()
