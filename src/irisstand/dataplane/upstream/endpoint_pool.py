"""Endpoints of a node that reaches origins by itself: which there are, and the limits of their use."""

import collections.abc

from irisstand import errors, node_context
from irisstand.dataplane.http import header_names
from irisstand.dataplane.ratelimit import quota_share, token_leases
from irisstand.dataplane.routing import configuration_view, route_table, routes
from irisstand.dataplane.upstream import (
    endpoint_prober,
    endpoint_selection,
    exchange,
    fleet_members,
    origin_endpoint,
)

# For how long endpoints of a site just taken back count as cold, beside the platform's lag.
SETTLING_SECONDS = quota_share.SETTLING_SECONDS
EVACUATED_PREFIX = "evacuated/"
# Sorts behind all keys that begin with a prefix.
LAST_CHARACTER = "\U0010ffff"


class EndpointPool:
    """Follows the origins that the state table lists, and hands out endpoints within their limits."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        table: route_table.RouteTable,
        words: header_names.HeaderNames,
        connect: exchange.Connect,
    ) -> None:
        self.context = context
        self.view = view
        self.table = table
        self.header_names = words
        self.connect = connect
        self.endpoints: dict[str, origin_endpoint.Endpoint] = {}
        self.evacuated: set[str] = set()
        self.opened_at = context.clock.now()
        # Holders that did not answer, and until when they are left alone.
        self.avoided: dict[str, float] = {}
        self.fleet = fleet_members.FleetMembers(context)
        self.token_leases = token_leases.TokenLeases(context, self.limit_of)
        self.selector = endpoint_selection.EndpointSelector(context, view, table, self.endpoints, self.fleet)
        self.prober = endpoint_prober.EndpointProber(context, view, table, words, self.endpoints)
        context.ledger.watchers.append(self.follow)

    async def run(self) -> None:
        """Probe endpoints that are down, until cancelled."""
        await self.prober.run()

    def follow(self) -> None:
        """Take over a change of the state table: a changed address or service is another endpoint."""
        listed = {origin.key: origin for origin in self.view.origins()}
        for key in [key for key in self.endpoints if key not in listed]:
            self.endpoints.pop(key).close()
        for key, origin in listed.items():
            known = self.endpoints.get(key)
            if known is not None and known.is_at(origin):
                known.origin = origin
                continue
            if known is not None:
                known.close()
            self.endpoints[key] = origin_endpoint.Endpoint(self.context, origin, self.connect)
        self.follow_evacuations()

    def follow_evacuations(self) -> None:
        """Count endpoints of a site taken back as cold, before the platform's list says so."""
        table = self.context.ledger
        now = self.context.clock.now()
        current = {
            item.key.removeprefix(EVACUATED_PREFIX) for item in table.items_with_prefix(EVACUATED_PREFIX)
        }
        returned = self.evacuated - current
        # A node just started cannot tell how long ago a site was taken back.
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
        """Return the endpoint that should answer soonest; raises as `EndpointSelector.choose`."""
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
        """Return a limit over all nodes by its name, per second: of a service, or of a cold endpoint."""
        self.table.refresh()
        if not name.startswith(quota_share.COLD_PREFIX):
            upstream = self.table.upstreams.get(name)
            return None if upstream is None else upstream.rate
        endpoint = self.endpoints.get(f"origin/{name.removeprefix(quota_share.COLD_PREFIX)}")
        upstream = None if endpoint is None else self.table.upstreams.get(endpoint.origin.service)
        settings = self.context.settings
        return None if upstream is None else upstream.cold_rate * settings.cold_factor + settings.cold_burst

    async def ready(self, service: str, timeout_seconds: float) -> None:
        """Borrow tokens that this node lacks, before `choose`, if the service has a rate limit."""
        upstream = self.table.upstreams.get(service)
        if upstream is not None and upstream.rate is not None:
            await self.token_leases.wait_for_token(service, timeout_seconds)

    async def ready_cold(
        self, route: routes.Route, service: str, tried: collections.abc.Container[str]
    ) -> None:
        """Borrow a token of a cold endpoint, after `choose` found only such ones."""
        try:
            available = self.selector.available(route, self.table.upstreams[service], tried)
        except (errors.IrisError, KeyError):
            # The next choice will say so.
            return
        await self.token_leases.wait_for_token(
            endpoint_selection.cold_name(self.context.randomness.choice(available)), 0.0
        )

    def enter(self, upstream: routes.Upstream, timeout_seconds: float) -> float:
        """Take a token of the service's rate limit.

        Returns:
            The seconds until it may be used.

        Raises:
            LimitExceededError: no token may be used within `timeout_seconds`.
        """
        return 0.0 if upstream.rate is None else self.token_leases.acquire(upstream.name, timeout_seconds)

    def enter_cold(self, endpoint: origin_endpoint.Endpoint) -> None:
        """Take the token that `choose` has seen, if it chose the endpoint as a cold one."""
        self.token_leases.acquire(endpoint_selection.cold_name(endpoint), 0.0)

    def is_scarce(self, service: str) -> bool:
        """Whether this node's share of the service's rate was all but used up in the last seconds."""
        return self.token_leases.own_quota.rate_limiter(service).is_scarce()
