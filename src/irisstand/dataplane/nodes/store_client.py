"""The shield's client for stores, which cache the objects that shields have fetched."""

from irisstand import errors, node_context
from irisstand.balancing import rendezvous
from irisstand.dataplane import messages
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import freshness_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.membership import updates
from irisstand.state import versions

GET_TIMEOUT_SECONDS = 0.15
PUT_TIMEOUT_SECONDS = 1.0


class StoreClient:
    """Looks up objects in stores and adds them; a read that no store answers goes to an origin."""

    def __init__(self, context: node_context.NodeContext, view: configuration_view.ConfigurationView) -> None:
        self.context = context
        self.view = view

    def store_for(self, key: str) -> updates.Update | None:
        """Return the store that rendezvous hashing chooses for a key; None if no store is alive."""
        stores = self.context.members_of("store")
        alive = {update.identity.name: update for update in stores if not update.state}
        names = rendezvous.ranked(key, [(name, 1.0) for name in alive])
        return alive[names[0]] if names else None

    async def get(
        self, store: updates.Update, key: str, path: str, minimum_version: versions.Version
    ) -> objects.CachedObject | None:
        """Return the object if the store has it and it may be served now, else None; failures are counted."""
        sent_at = self.context.clock.now()
        lookup = messages.StoreLookup(key, path, minimum_version)
        try:
            reply = await self.context.transport.call(
                store.node_info.address,
                store.identity.name,
                messages.RequestKind.STORE_GET,
                lookup.to_wire(),
                GET_TIMEOUT_SECONDS,
            )
            if reply:
                cached = objects.from_wire(reply, sent_at)
                now = self.context.clock.now()
                if freshness_policy.is_usable(cached, path, self.view, minimum_version, now):
                    return cached
        except errors.IrisError:
            self.context.counters.add("store_failed")
        return None

    async def put(self, store: updates.Update, key: str, content: objects.CachedObject) -> None:
        """Add an object to a store; a failure is counted and otherwise ignored."""
        deposit = messages.StorePut(key, content)
        try:
            await self.context.transport.call(
                store.node_info.address,
                store.identity.name,
                messages.RequestKind.STORE_PUT,
                deposit.to_wire(self.context.clock.now()),
                PUT_TIMEOUT_SECONDS,
            )
        except errors.IrisError:
            self.context.counters.add("store_failed")
