"""Origins as a shield sees them: which there are, and which one a request goes to."""

import asyncio
import collections.abc

from irisstand import errors, node_context
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import connections, origin_connections

# How much rather an origin of the own region is chosen than one of another, when both are idle.
OWN_REGION_WEIGHT = 3.0
OTHER_REGION_WEIGHT = 1.0


class OriginPool:
    """Follows the origins that the state table lists, and chooses among them."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        open_connection: connections.ConnectionOpener,
    ) -> None:
        self.context = context
        self.view = view
        self.open_connection = open_connection
        self.pools: dict[configuration_view.Origin, origin_connections.OriginConnections] = {}
        self.tasks: dict[configuration_view.Origin, asyncio.Task[None]] = {}
        context.ledger.watchers.append(self.follow)

    def follow(self) -> None:
        """Take over a change of the state table.

        A changed address or service is another origin, and gets none of the old one's connections.
        """
        listed = {identity_of(origin): origin for origin in self.view.origins()}
        for identity in [identity for identity in self.pools if identity not in listed]:
            self.pools.pop(identity).is_removed = True
            self.tasks.pop(identity)
        for identity, origin in listed.items():
            if identity in self.pools:
                self.pools[identity].origin = origin
            else:
                self.add(identity, origin)
            self.pools[identity].update_evacuation(is_evacuated=self.view.is_evacuated(origin.site))

    def add(self, identity: configuration_view.Origin, origin: configuration_view.Origin) -> None:
        """Begin to probe a new origin."""
        pool = origin_connections.OriginConnections(self.context, origin, self.open_connection)
        self.pools[identity] = pool
        self.tasks[identity] = self.context.start_task(pool.run_probes(), f"keeper of {origin.key}")

    def choose(
        self, allowed: configuration_view.AllowedRequest, tried: collections.abc.Container[str]
    ) -> origin_connections.OriginConnections:
        """Return the less busy of two origins that are drawn at random by warmth and nearness.

        This spreads requests well without knowledge of what other shields send (Mitzenmacher, "The Power of
        Two Choices in Randomized Load Balancing", 2001).

        Raises:
            NoOriginError: no origin is usable.
            SlowStartError: the origins that are usable are warming up, and get no more just now.
        """
        candidates = self.available(allowed, tried)
        regions = self.context.region_by_site()
        own_region = self.context.settings.region
        nearness = {
            pool.origin: (
                OWN_REGION_WEIGHT if regions.get(pool.origin.site) == own_region else OTHER_REGION_WEIGHT
            )
            for pool in candidates
        }
        weights = [pool.warmth() * nearness[pool.origin] for pool in candidates]
        pair = self.context.randomness.choices(candidates, weights, k=2)
        # The busier one gives way all the same, so nearness never floods a region's origins.
        chosen = min(pair, key=lambda pool: (pool.busy + 1) / pool.warmth() / nearness[pool.origin])
        if chosen.warmth() < 1.0:
            chosen.bucket.take()
        return chosen

    def available(
        self, allowed: configuration_view.AllowedRequest, tried: collections.abc.Container[str]
    ) -> list[origin_connections.OriginConnections]:
        """Return the origins that may get a request now; raises as `choose` does."""
        listed = [
            pool
            for pool in self.pools.values()
            if pool.origin.service == allowed.service and pool.origin.state != "leaving"
        ]
        usable = [pool for pool in listed if pool.instance not in tried and self.is_usable(pool)]
        if not usable:
            raise errors.NoOriginError(f"no origin of {allowed.service} is usable just now")
        even_rate = allowed.limit[0] / len(listed)
        share = self.share(allowed)
        available = [pool for pool in usable if pool.has_room(even_rate, share)]
        # All that are left are warming up: more than they may get is rejected.
        if not available:
            raise errors.SlowStartError(f"the origins of {allowed.service} are warming up")
        return available

    def is_usable(self, pool: origin_connections.OriginConnections) -> bool:
        """Return whether an origin may get requests now: listed, not leaving, healthy and not evacuated."""
        is_leaving = pool.is_removed or pool.origin.state == "leaving"
        return not is_leaving and pool.is_healthy and not self.view.is_evacuated(pool.origin.site)

    def share(self, allowed: configuration_view.AllowedRequest) -> float:
        """Return this shield's part of the service's rate limit, from 0 to 1."""
        return self.view.quota_share(allowed.service, allowed.limit)[0] / allowed.limit[0]


def identity_of(origin: configuration_view.Origin) -> configuration_view.Origin:
    """Return the fields that make an origin what it is; the others may change during its life."""
    return origin._replace(state="", warmup=0, slots=0)
