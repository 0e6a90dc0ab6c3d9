"""Which endpoint a request goes to: of those that the rules allow now, the one that should answer soonest."""

import collections.abc

from irisstand import errors, node_context
from irisstand.balancing import fleet_limits
from irisstand.dataplane.ratelimit import quota_share, token_leases
from irisstand.dataplane.routing import configuration_view, route_table, routes
from irisstand.dataplane.upstream import fleet_members, origin_endpoint

# How long a request travels to another site of the region, and to another region.
OTHER_SITE_SECONDS = 0.010
OTHER_REGION_SECONDS = 0.060
# The cost of an endpoint is multiplied by a random factor in this range, so that edges that know the same do
# not all choose the same.
LEAST_JITTER_FACTOR = 0.8
GREATEST_JITTER_FACTOR = 1.25


def cold_name(endpoint: origin_endpoint.Endpoint) -> str:
    """Return the name of the limit of what a cold endpoint may get."""
    return quota_share.COLD_PREFIX + endpoint.instance


class EndpointSelector:
    """Chooses among endpoints by the route's rules, the fleet's limits and the load."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        table: route_table.RouteTable,
        endpoints: dict[str, origin_endpoint.Endpoint],
        fleet: fleet_members.FleetMembers,
    ) -> None:
        self.context = context
        self.view = view
        self.table = table
        self.endpoints = endpoints
        self.fleet = fleet
        # Connection limits by endpoint, service limit and use of holders; for these members alone.
        self.limits_for: list[fleet_limits.Member] = []
        self.limits: dict[tuple[str, int, bool], int] = {}

    def available(
        self, route: routes.Route, upstream: routes.Upstream, tried: collections.abc.Container[str]
    ) -> list[origin_endpoint.Endpoint]:
        """Return the endpoints that may be used now, cold ones among them.

        Raises:
            NoOriginError: no endpoint is usable.
            LimitExceededError: all are used up to their limit.
        """
        now = self.context.clock.now()
        listed = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.instance not in tried and self.is_allowed(endpoint, route, upstream)
        ]
        up = [endpoint for endpoint in listed if not endpoint.is_down]
        if not up:
            raise errors.NoOriginError(f"no origin of {upstream.name} is usable just now", retry_after=0.3)
        free = [
            endpoint
            for endpoint in up
            if len(endpoint.in_flight) < self.connection_limit(endpoint, upstream)
            and now >= endpoint.full_until
        ]
        if not free:
            raise errors.LimitExceededError(f"every origin of {upstream.name} is full", retry_after=0.1)
        return free

    def is_allowed(
        self, endpoint: origin_endpoint.Endpoint, route: routes.Route, upstream: routes.Upstream
    ) -> bool:
        """Return whether the origin list, evacuations and the route's regions allow an endpoint now."""
        origin = endpoint.origin
        return (
            origin.service == upstream.name
            and origin.state != "leaving"
            and not self.view.is_evacuated(origin.site)
            and (not route.regions or self.fleet.region_of(origin.site) in route.regions)
        )

    def choose(
        self,
        route: routes.Route,
        upstream: routes.Upstream,
        tried: collections.abc.Container[str],
        leases: token_leases.TokenLeases,
    ) -> origin_endpoint.Endpoint:
        """Return the endpoint that should answer soonest.

        Raises:
            SlowStartError: only cold endpoints are left, and what they may get is used up.
            IrisError: as `available` raises it.
        """
        free = self.available(route, upstream, tried)
        # Cold ones only while no other is left, and no more than their part.
        warm = [endpoint for endpoint in free if not endpoint.is_cold()]
        responsive = [endpoint for endpoint in warm if not endpoint.is_unresponsive()]
        candidates = (
            responsive
            or warm
            or [endpoint for endpoint in free if leases.has_token(cold_name(endpoint), 0.0)]
        )
        if not candidates:
            raise errors.SlowStartError(f"the origins of {upstream.name} are warming up", retry_after=0.4)
        return min(candidates, key=self.cost)

    def connection_limit(self, endpoint: origin_endpoint.Endpoint, upstream: routes.Upstream) -> int:
        """Return how many connections this node may have to the endpoint."""
        members = self.fleet.members()
        is_fetched_by_holders = upstream.name in self.table.services_at_holders and self.fleet.uses_holders()
        key = (endpoint.instance, upstream.connections, is_fetched_by_holders)
        if self.limits_for is not members:
            self.limits_for = members
            self.limits = {}
        if key not in self.limits:
            own = self.context.settings.name
            self.limits[key] = fleet_limits.connection_limit(
                own,
                members,
                endpoint.instance,
                upstream.connections,
                is_fetched_by_holders=is_fetched_by_holders,
            )
        return self.limits[key]

    def cost(self, endpoint: origin_endpoint.Endpoint) -> float:
        """Return the seconds until an answer, roughly: what this node has in flight there, and the way."""
        site = endpoint.origin.site
        settings = self.context.settings
        travel_seconds = 0.0 if site == settings.site else OTHER_SITE_SECONDS
        if self.fleet.region_of(site) != (self.fleet.region_of(settings.site) or settings.region):
            travel_seconds = OTHER_REGION_SECONDS
        slots = max(1, endpoint.origin.slots)
        queued = max(0, len(endpoint.in_flight) + 1 - slots) / slots
        busy = len(endpoint.in_flight) / slots
        jitter = self.context.randomness.uniform(LEAST_JITTER_FACTOR, GREATEST_JITTER_FACTOR)
        return endpoint.expected_seconds() * (1 + queued + busy) * jitter + travel_seconds
