"""The store: the shared cache in memory that shields look into before they ask an origin."""

import typing

from irisstand import node_context
from irisstand.dataplane.cache import object_cache, objects
from irisstand.dataplane.retry import freshness_policy
from irisstand.dataplane.routing import snapshot
from irisstand.state import versions


class StoreNode:
    def __init__(self, context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot) -> None:
        self.context, self.view = context, view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes)
        context.transport.handlers["look"] = self.on_look
        context.transport.handlers["keep"] = self.on_keep

    async def on_look(self, _: str, body: list) -> tuple:
        key, path, floor = body
        now = self.context.clock.now()
        self.view.check_current()
        found = self.cache.get(key)
        if found is None:
            self.context.counters.add("cache", at="store", result="miss")
            return ()
        if not freshness_policy.is_usable(found, path, self.view, versions.Version.from_wire(floor), now):
            self.cache.drop(key)
            self.context.counters.add("cache", at="store", result="outlived")
            return ()
        self.context.counters.add("cache", at="store", result="hit")
        return objects.to_wire(found, now)

    async def on_keep(self, _: str, body: list) -> tuple:
        key, parts = body
        thing = objects.from_wire(parts, self.context.clock.now())
        known = self.cache.get(str(key))
        # Two shields may have fetched it: what was fetched under the newer applied version stays.
        if known is None or known.applied <= thing.applied:
            self.cache.put(str(key), thing)
        return ()


def create(
    context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot, connect: typing.Any
) -> StoreNode:
    return StoreNode(context, view)
