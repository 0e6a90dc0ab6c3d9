"""The origins that a shield knows, and the choice of the origin that a request goes to."""

import asyncio
import collections.abc

from irisstand import errors, node_context
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import connections, origin_connections

# The weights of origins in the shield's own region and in other regions in the random choice among idle
# origins.
OWN_REGION_WEIGHT = 3.0
OTHER_REGION_WEIGHT = 1.0


class OriginPool:
    """Keeps connections to each origin in the state table, and chooses among the origins."""

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
        context.ledger.watchers.append(self.follow_origin_list)

    def follow_origin_list(self) -> None:
        """Update the origins after a change of the state table.

        An origin whose address or service has changed counts as a new one, without the old connections.
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
        """Create the connections of a new origin and start probing it."""
        pool = origin_connections.OriginConnections(self.context, origin, self.open_connection)
        self.pools[identity] = pool
        self.tasks[identity] = self.context.start_task(pool.run_probes(), f"probes of {origin.key}")

    def choose(
        self, allowed: configuration_view.AllowedRequest, tried: collections.abc.Container[str]
    ) -> origin_connections.OriginConnections:
        """Return the less busy of two random origins, drawn with weights by warm-up progress and region.

        This balances the load without knowledge of the requests of other shields (Mitzenmacher, "The Power of
        Two Choices in Randomized Load Balancing", 2001).

        Raises:
            NoOriginError: No origin is usable.
            SlowStartError: All usable origins are warming up, and slow start allows no further request now.
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
        weights = [pool.warm_fraction() * nearness[pool.origin] for pool in candidates]
        pair = self.context.randomness.choices(candidates, weights, k=2)
        # The weighted load decides between the two, so the preference for the own region can't overload it.
        chosen = min(pair, key=lambda pool: (pool.busy + 1) / pool.warm_fraction() / nearness[pool.origin])
        if chosen.warm_fraction() < 1.0:
            chosen.bucket.take()
        return chosen

    def available(
        self, allowed: configuration_view.AllowedRequest, tried: collections.abc.Container[str]
    ) -> list[origin_connections.OriginConnections]:
        """Return the origins that may get a request now.

        Raises:
            NoOriginError: No origin is usable.
            SlowStartError: All usable origins are warming up, and slow start allows no further request now.
        """
        listed = [
            pool
            for pool in self.pools.values()
            if pool.origin.service == allowed.service and pool.origin.state != "leaving"
        ]
        usable = [pool for pool in listed if pool.instance not in tried and self.is_usable(pool)]
        if not usable:
            raise errors.NoOriginError(f"no origin of service {allowed.service} is usable now")
        rate_per_origin = allowed.limit[0] / len(listed)
        share = self.share(allowed)
        available = [pool for pool in usable if pool.has_room(rate_per_origin, share)]
        # All usable origins are warming up, and requests beyond what slow start allows are rejected.
        if not available:
            raise errors.SlowStartError(f"all usable origins of service {allowed.service} are warming up")
        return available

    def is_usable(self, pool: origin_connections.OriginConnections) -> bool:
        """Return whether an origin may get requests: it is listed, not leaving, healthy and not evacuated."""
        is_leaving = pool.is_removed or pool.origin.state == "leaving"
        return not is_leaving and pool.is_healthy and not self.view.is_evacuated(pool.origin.site)

    def share(self, allowed: configuration_view.AllowedRequest) -> float:
        """Return this shield's quota share of the service's rate limit, from 0 to 1."""
        return self.view.quota_share(allowed.service, allowed.limit)[0] / allowed.limit[0]


def identity_of(origin: configuration_view.Origin) -> configuration_view.Origin:
    """Return the origin with only the fields that identify it; state, warm-up and slots are left out."""
    return origin._replace(state="", warmup=0, slots=0)
