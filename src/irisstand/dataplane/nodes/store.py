"""The store role: a shared in-memory cache that shields query before they send a read to an origin."""

import typing

from irisstand import node_context
from irisstand.dataplane import messages
from irisstand.dataplane.cache import object_cache, objects
from irisstand.dataplane.retry import freshness_policy
from irisstand.dataplane.routing import configuration_view


class StoreNode:
    """Caches objects for shields, and returns them while they are neither expired nor purged.

    Args:
        context: The node's context; the message handlers are registered at its transport.
        view: The replicated configuration and purges.
    """

    def __init__(self, context: node_context.NodeContext, view: configuration_view.ConfigurationView) -> None:
        self.context = context
        self.view = view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes, context.budget)
        context.transport.handlers[messages.RequestKind.STORE_GET] = self.on_get
        context.transport.handlers[messages.RequestKind.STORE_PUT] = self.on_put

    async def on_get(self, _: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Return the object of a key in wire form; empty if there is none that may be served.

        Raises:
            errors.StaleConfigurationError: This node's replicas are not current.
        """
        lookup = messages.StoreLookup.from_wire(body)
        now = self.context.clock.now()
        self.view.check_current()
        cached = self.cache.get(lookup.key)
        if cached is None:
            self.count("miss")
            return ()
        if not freshness_policy.is_usable(cached, lookup.path, self.view, lookup.minimum_version, now):
            self.cache.drop(lookup.key)
            self.count("outlived")
            return ()
        self.count("hit")
        return objects.to_wire(cached, now)

    async def on_put(self, _: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Cache an object that a shield sent, unless the cached one was fetched at a newer ledger version."""
        deposit = messages.StorePut.from_wire(body, self.context.clock.now())
        cached = self.cache.get(deposit.key)
        # Two shields may have fetched the object: the one fetched at the newer ledger version is kept.
        if cached is None or cached.applied <= deposit.content.applied:
            self.cache.put(deposit.key, deposit.content)
        return ()

    def count(self, result: str) -> None:
        """Count a lookup by its result, the label of the counter."""
        self.context.counters.add("cache", at="store", result=result)


def create(
    context: node_context.NodeContext, view: configuration_view.ConfigurationView, _connect: typing.Any
) -> StoreNode:
    """Create the node; the connection opener is not used, as a store connects to no origin."""
    return StoreNode(context, view)
