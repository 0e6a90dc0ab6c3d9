"""A direct edge without a network, with the tables of a small configuration, for scripts of requests."""

import asyncio
import collections.abc
import random
import typing

from irisstand import clocks, node_context, node_settings
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import exchange
from irisstand.simulator import memory_network, simulated_network
from irisstand.state import items, versions

SETTINGS = node_settings.Settings(
    *("edge-1", "m1", "north", "one", "10.0.0.1", 7000, 8000, []),
    role="direct",
    front=("10.0.0.1", 80),
    second_share=0.2,
    second_allowance=10,
    holder_edges=1,
)
KINDS = {"objects": "cacheable", "reads": "idempotent", "writes": "non_idempotent"}
HOST = "h"
ALWAYS_CURRENT_SECONDS = 1e6

Connect = collections.abc.Callable[[str, int], collections.abc.Awaitable[exchange.Exchange]]


class ScriptedEdge:
    """A direct edge whose tables hold a route of each kind, and one service with two origins.

    Args:
        randomness: Source of the node's random choices.
        connect: Opens a connection to an origin.
        cache_life: The TTL of objects in seconds.
    """

    def __init__(self, randomness: random.Random, connect: Connect, cache_life: float) -> None:
        clock = clocks.LoopClock()
        network = memory_network.HostNetwork(simulated_network.SimulatedNetwork(randomness), SETTINGS.host)
        self.context = node_context.NodeContext(SETTINGS, "direct", clock, randomness, network)
        self.context.drain_ending = asyncio.get_running_loop().create_future()
        self.node = direct.DirectNode(
            self.context, configuration_view.ConfigurationView(self.context), connect
        )
        self.counter = 0
        self.put_configuration(cache_life)
        for replica in self.context.replicas.values():
            replica.confirm_current(clock.now() + ALWAYS_CURRENT_SECONDS)

    def put_configuration(self, cache_life: float) -> None:
        """Put a route of each kind, the service and its two origins into the tables of the edge."""
        for name, kind in KINDS.items():
            route = {"name": name, "version": 1, "host": HOST, "prefix": f"/{name}/", "kind": kind}
            route |= {"timeout": 2.0, "target": 0.2, "attempts": 3, "cache_life": cache_life, "service": "s"}
            self.put(items.CONFIGURATION, f"route/{name}", {"version": 1, "item": route})
        upstream = {"name": "s", "version": 1, "cold_rate": 5.0, "connections": 50}
        self.put(items.CONFIGURATION, "upstream/s", {"version": 1, "item": upstream})
        for key in "ab":
            origin = {"service": "s", "host": key, "port": 80, "site": "north", "state": "ready"}
            self.put(items.LEDGER, f"origin/{key}", {**origin, "warmup": 0, "slots": 2})

    def put(self, table: str, key: str, value: dict[str, typing.Any]) -> None:
        """Put an item with a new version into the edge's replica of a table."""
        replica = self.context.replicas[table]
        self.counter += 1
        version = versions.Version(self.counter, "n")
        replica.put(items.Item(key, version, value))
        replica.applied = version
        replica.notify_watchers()
