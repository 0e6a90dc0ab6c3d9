"""Chooses the origin endpoint for a request: the allowed one with the shortest expected response time."""

import collections.abc

from irisstand import errors, node_context
from irisstand.balancing import fleet_limits
from irisstand.dataplane.ratelimit import quota_share, token_leases
from irisstand.dataplane.routing import configuration_view, route_table, routes
from irisstand.dataplane.upstream import fleet_members, origin_endpoint

# Estimates of the network time of a request to another site in the same region, and to another region.
OTHER_SITE_SECONDS = 0.010
OTHER_REGION_SECONDS = 0.060
# The cost of an endpoint is multiplied by a random factor in this range, so that edges with the same
# information don't all choose the same endpoint.
LEAST_JITTER_FACTOR = 0.8
GREATEST_JITTER_FACTOR = 1.25
# Clients decide how long the transfer of a large body takes, so the rest is left to other requests.
TRANSFERS_FRACTION = 0.5


def cold_limit_name(endpoint: origin_endpoint.Endpoint) -> str:
    """Return the name of the rate limit of a cold endpoint."""
    return quota_share.COLD_PREFIX + endpoint.instance


class EndpointSelector:
    """Chooses among origin endpoints by the route's regions, the limits of the whole fleet, and the load."""

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
        # Cached connection limits by instance, connection limit of the service, and whether holders fetch for
        # the service. They are valid as long as the nodes are those in `limits_for`.
        self.limits_for: list[fleet_limits.Member] = []
        self.limits: dict[tuple[str, int, bool], int] = {}

    def available(
        self, route: routes.Route, upstream: routes.Upstream, tried: collections.abc.Container[str]
    ) -> list[origin_endpoint.Endpoint]:
        """Return the endpoints that may be used now, including cold ones.

        Args:
            route: The route of the request.
            upstream: The service that the request goes to.
            tried: The names of the origin instances that the request has tried.

        Raises:
            NoOriginError: No endpoint is usable.
            LimitExceededError: All usable endpoints have reached their connection limit or have just refused
                a request.
        """
        now = self.context.clock.now()
        listed = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.instance not in tried and self.is_allowed(endpoint, route, upstream)
        ]
        up = [endpoint for endpoint in listed if not endpoint.is_down]
        if not up:
            raise errors.NoOriginError(f"no origin of service {upstream.name} is usable now", retry_after=0.3)
        free = [
            endpoint
            for endpoint in up
            if endpoint.connections_in_use() < self.connection_limit(endpoint, upstream)
            and now >= endpoint.paused_until
        ]
        if not free:
            raise errors.LimitExceededError(
                f"all usable origins of service {upstream.name} are full or just refused a request",
                retry_after=0.1,
            )
        return free

    def is_allowed(
        self, endpoint: origin_endpoint.Endpoint, route: routes.Route, upstream: routes.Upstream
    ) -> bool:
        """Return whether the origin list, the evacuations and the route's regions allow an endpoint now."""
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
        """Return the endpoint with the shortest expected response time.

        Args:
            route: The route of the request.
            upstream: The service that the request goes to.
            tried: The names of the origin instances that the request has tried.
            leases: The token leases that limit the requests to cold endpoints.

        Raises:
            SlowStartError: Only cold endpoints are left, and no token for one of them is left.
            NoOriginError: No endpoint is usable.
            LimitExceededError: All usable endpoints have reached a limit.
        """
        free = self.available(route, upstream, tried)
        # Cold endpoints are only used when no warm one is available, and within their rate limit.
        warm = [endpoint for endpoint in free if not endpoint.is_cold()]
        responsive = [endpoint for endpoint in warm if not endpoint.is_unresponsive()]
        candidates = (
            responsive
            or warm
            or [endpoint for endpoint in free if leases.has_token(cold_limit_name(endpoint), 0.0)]
        )
        if not candidates:
            raise errors.SlowStartError(
                f"all usable origins of service {upstream.name} are warming up", retry_after=0.4
            )
        return min(candidates, key=self.cost)

    def connection_limit(self, endpoint: origin_endpoint.Endpoint, upstream: routes.Upstream) -> int:
        """Return the number of connections that this node may have to the endpoint."""
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

    def transfer_limit(self, endpoint: origin_endpoint.Endpoint, upstream: routes.Upstream) -> int:
        """Return the number of connections to the endpoint that large bodies may keep in use."""
        return max(1, int(TRANSFERS_FRACTION * self.connection_limit(endpoint, upstream)))

    def cost(self, endpoint: origin_endpoint.Endpoint) -> float:
        """Return a rough estimate of the seconds until a response.

        It is made of the endpoint's expected response time, this node's requests in flight there, the network
        time and a random factor.
        """
        site = endpoint.origin.site
        settings = self.context.settings
        travel_seconds = 0.0 if site == settings.site else OTHER_SITE_SECONDS
        if self.fleet.region_of(site) != (self.fleet.region_of(settings.site) or settings.region):
            travel_seconds = OTHER_REGION_SECONDS
        slots = max(1, endpoint.origin.slots)
        queued = max(0, endpoint.connections_in_use() + 1 - slots) / slots
        busy = endpoint.connections_in_use() / slots
        jitter = self.context.randomness.uniform(LEAST_JITTER_FACTOR, GREATEST_JITTER_FACTOR)
        return endpoint.expected_seconds() * (1 + queued + busy) * jitter + travel_seconds
