"""The origin endpoints of a node that sends requests to origins itself, and the limits on their use."""

import collections.abc

from irisstand import errors, node_context
from irisstand.dataplane.http import header_names
from irisstand.dataplane.ratelimit import quota_share, token_leases
from irisstand.dataplane.routing import configuration_view, route_table, routes
from irisstand.dataplane.upstream import (
    connector,
    endpoint_prober,
    endpoint_selection,
    fleet_members,
    origin_endpoint,
)

# How long the endpoints of a site whose evacuation has ended count as cold, in addition to the lag of the
# platform's origin list.
SETTLING_SECONDS = quota_share.SETTLING_SECONDS
EVACUATED_PREFIX = "evacuated/"
# The greatest Unicode character: appended to a prefix, it sorts after all keys that begin with that prefix.
LAST_CHARACTER = "\U0010ffff"


class EndpointPool:
    """Keeps one endpoint for each origin in the state table, and selects endpoints within their limits."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        table: route_table.RouteTable,
        names: header_names.HeaderNames,
        connect: connector.Connect,
    ) -> None:
        self.context = context
        self.view = view
        self.table = table
        self.header_names = names
        self.connect = connect
        self.endpoints: dict[str, origin_endpoint.Endpoint] = {}
        self.evacuated: set[str] = set()
        self.opened_at = context.clock.now()
        # Object holders that did not reply, each with the time until which it is not asked again.
        self.avoided: dict[str, float] = {}
        self.fleet = fleet_members.FleetMembers(context)
        self.token_leases = token_leases.TokenLeases(context, self.limit_of)
        self.selector = endpoint_selection.EndpointSelector(context, view, table, self.endpoints, self.fleet)
        self.prober = endpoint_prober.EndpointProber(context, view, table, names, self.endpoints)
        context.ledger.watchers.append(self.follow_origin_list)

    async def run(self) -> None:
        """Probe the endpoints that are down, until cancelled."""
        await self.prober.run()

    def follow_origin_list(self) -> None:
        """Update the endpoints after a change of the state table.

        An origin whose address or service has changed gets a new endpoint without the old connections.
        """
        listed = {origin.key: origin for origin in self.view.origins()}
        for key in [key for key in self.endpoints if key not in listed]:
            self.endpoints.pop(key).close()
        for key, origin in listed.items():
            existing = self.endpoints.get(key)
            if existing is not None and existing.is_at(origin):
                existing.origin = origin
                continue
            if existing is not None:
                existing.close()
            self.endpoints[key] = origin_endpoint.Endpoint(self.context, origin, self.connect)
        self.update_evacuations()

    def update_evacuations(self) -> None:
        """Mark the endpoints of sites whose evacuation has ended as cold.

        The platform's origin list lags, and shows these origins as cold only later.
        """
        table = self.context.ledger
        now = self.context.clock.now()
        current = {
            item.key.removeprefix(EVACUATED_PREFIX) for item in table.items_with_prefix(EVACUATED_PREFIX)
        }
        returned = self.evacuated - current
        # A node that has just started cannot tell how long ago an evacuation ended, so it counts all
        # evacuations that are recorded as ended.
        if now - self.opened_at < SETTLING_SECONDS:
            keys = list(table.items.irange(EVACUATED_PREFIX, EVACUATED_PREFIX + LAST_CHARACTER))
            returned |= {key.removeprefix(EVACUATED_PREFIX) for key in keys if table.value(key) is None}
        for endpoint in self.endpoints.values():
            if endpoint.origin.site in returned:
                endpoint.cold_until = now + self.context.settings.platform_lag + SETTLING_SECONDS
        self.evacuated = current

    def choose(
        self, route: routes.Route, upstream: routes.Upstream, tried: collections.abc.Container[str]
    ) -> origin_endpoint.Endpoint:
        """Return the endpoint with the shortest expected response time.

        Raises:
            IrisError: No endpoint may be used now, as `EndpointSelector.choose` says.
        """
        return self.selector.choose(route, upstream, tried, self.token_leases)

    def is_usable(
        self,
        endpoint: origin_endpoint.Endpoint,
        route: routes.Route,
        upstream: routes.Upstream,
        *,
        was_cold: bool,
    ) -> bool:
        """Return whether an endpoint that was chosen before a wait may still be used after it."""
        is_listed = self.endpoints.get(endpoint.origin.key) is endpoint
        is_newly_cold = endpoint.is_cold() and not was_cold
        is_allowed = self.selector.is_allowed(endpoint, route, upstream)
        return is_listed and is_allowed and not is_newly_cold and not endpoint.is_down

    def limit_of(self, name: str) -> float | None:
        """Return a rate limit that all nodes share, in requests per second.

        Args:
            name: The name of a service, or `cold_limit_name` of a cold endpoint.

        Returns:
            The limit; None if the service is unknown or has no rate limit.
        """
        self.table.refresh()
        if not name.startswith(quota_share.COLD_PREFIX):
            upstream = self.table.upstreams.get(name)
            return None if upstream is None else upstream.rate
        endpoint = self.endpoints.get(f"origin/{name.removeprefix(quota_share.COLD_PREFIX)}")
        upstream = None if endpoint is None else self.table.upstreams.get(endpoint.origin.service)
        settings = self.context.settings
        return None if upstream is None else upstream.cold_rate * settings.cold_factor + settings.cold_burst

    async def borrow_token(self, service: str, timeout_seconds: float) -> None:
        """Lease a token of the service's rate limit from other nodes if this node has none left.

        Called before `choose`; does nothing for a service without a rate limit.

        Args:
            service: The name of the service.
            timeout_seconds: How long to wait for a token, in seconds.
        """
        upstream = self.table.upstreams.get(service)
        if upstream is not None and upstream.rate is not None:
            await self.token_leases.wait_for_token(service, timeout_seconds)

    async def borrow_cold_token(
        self, route: routes.Route, service: str, tried: collections.abc.Container[str]
    ) -> None:
        """Lease a token of the limit of a cold endpoint, after `choose` found only cold endpoints."""
        try:
            available = self.selector.available(route, self.table.upstreams[service], tried)
        except (errors.IrisError, KeyError):
            # The next call of `choose` raises the same error to the caller.
            return
        await self.token_leases.wait_for_token(
            endpoint_selection.cold_limit_name(self.context.randomness.choice(available)), 0.0
        )

    def take_token(self, upstream: routes.Upstream, timeout_seconds: float) -> float:
        """Take a token of the service's rate limit.

        Returns:
            The seconds until the token may be used.

        Raises:
            LimitExceededError: No token may be used within `timeout_seconds`.
        """
        return 0.0 if upstream.rate is None else self.token_leases.acquire(upstream.name, timeout_seconds)

    def take_cold_token(self, endpoint: origin_endpoint.Endpoint) -> None:
        """Take a token of a cold endpoint's limit; `choose` made sure that there is one."""
        self.token_leases.acquire(endpoint_selection.cold_limit_name(endpoint), 0.0)

    def is_scarce(self, service: str) -> bool:
        """Return whether this node's quota share of the service was nearly used up in the last seconds."""
        return self.token_leases.own_quota.rate_limiter(service).is_scarce()
