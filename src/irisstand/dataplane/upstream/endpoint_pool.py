"""Origins as an edge reaches them by itself: their connections, what the traffic tells of them, and the
draw."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import fleet_limits
from irisstand.dataplane.http import header_names
from irisstand.dataplane.ratelimit import quota_share, token_leases
from irisstand.dataplane.routing import routes, snapshot
from irisstand.dataplane.upstream import endpoint as targeting
from irisstand.dataplane.upstream import exchange

PROBE_PATIENCE = 0.6
# Edges in a route's own regions that must be up before holders elsewhere take its objects: with fewer,
# clients of those regions may be served here, and then only the edge that they talk to may have the body.
HOME_EDGES = 8
# What a request waits for at an origin that far from here, in seconds a request at rest.
OTHER_SITE, OTHER_REGION = 0.010, 0.060
# Seconds for which origins of a site just taken back count as cold, beside the platform's lag.
SETTLING = quota_share.SETTLING_SECONDS
FAILURES = (OSError, TimeoutError, ValueError, errors.IrisError)


def cold_name(target: targeting.Endpoint) -> str:
    """The name of the bound on what a cold origin may get."""
    return quota_share.COLD_PREFIX + target.instance


class EndpointPool:
    """Follows the roster in the ledger, draws by the route's rules, and probes what is down."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        table: routes.RouteTable,
        words: header_names.HeaderNames,
        connect: exchange.Connect,
    ) -> None:
        self.context, self.view, self.table, self.header_names, self.connect = (
            context,
            view,
            table,
            words,
            connect,
        )
        self.all: dict[str, targeting.Endpoint] = {}
        self.evacuated: set[str] = set()
        self.opened_at = context.clock.now()
        self.members_at, self.known_members = -1e9, []
        # Holders that did not answer, and until when they are left alone.
        self.avoided: dict[str, float] = {}
        # Connections by origin, worked out anew when the members change.
        self.most_members: list[fleet_limits.Member] = []
        self.most_known: dict[tuple, int] = {}
        self.token_leases = token_leases.TokenLeases(context, self.limit_of)
        self.site_regions: dict[str, str] = {}
        context.ledger.watchers.append(self.follow)

    def follow(self) -> None:
        listed = {origin.key: origin for origin in self.view.origins()}
        for key in [key for key in self.all if key not in listed]:
            self.all.pop(key).end()
        for key, origin in listed.items():
            known = self.all.get(key)
            place = (origin.host, origin.port, origin.service)
            if known is not None and (known.origin.host, known.origin.port, known.origin.service) == place:
                known.origin = origin
                continue
            if known is not None:
                known.end()
            self.all[key] = targeting.Endpoint(self.context, origin, self.connect)
        self.follow_evacuations()

    def follow_evacuations(self) -> None:
        """Origins of a site taken back may be cold before the platform's list says so."""
        prefix = "evacuated/"
        copy = self.context.ledger
        now = self.context.clock.now()
        current = {item.key.removeprefix(prefix) for item in copy.items_with_prefix(prefix)}
        returned = self.evacuated - current
        # A node just started cannot tell how long ago a site was taken back.
        if now - self.opened_at < SETTLING:
            keys = [key for key in copy.items.irange(prefix, prefix + "\U0010ffff")]
            returned |= {key.removeprefix(prefix) for key in keys if copy.value(key) is None}
        for target in self.all.values():
            if target.origin.site in returned:
                target.cold_until = now + self.context.settings.platform_lag + SETTLING
        self.evacuated = current

    def edges(self) -> list[str]:
        """Names of all nodes that reach origins, this one among them."""
        return [member.name for member in self.members()]

    def members(self) -> list[fleet_limits.Member]:
        """All nodes that reach origins; the list is read again now and then."""
        now, settings = self.context.clock.now(), self.context.settings
        if now - self.members_at > 0.5:
            # A suspected holder fetches nothing for anybody; a suspected edge may still serve its clients.
            holders = [update for update in self.context.members_of("holder") if not update.state]
            found = [*self.context.members_of("direct"), *holders]
            named = {
                u.identity.name: fleet_limits.Member(u.identity.name, u.node_info.role, u.node_info.site)
                for u in found
            }
            named[settings.name] = fleet_limits.Member(settings.name, self.context.role, settings.site)
            self.members_at = now
            if sorted(named.values()) != self.known_members:
                self.known_members = sorted(named.values())
        return self.known_members

    def region_of(self, site: str) -> str:
        if site not in self.site_regions:
            self.site_regions = self.context.region_by_site()
        return self.site_regions.get(site, "")

    # -- the draw ------------------------------------------------------------------------------------
    def free(
        self, route: routes.Route, upstream: routes.Upstream, tried: typing.Container[str]
    ) -> list[targeting.Endpoint]:
        """The origins that may be asked now, cold ones among them; NoOrigin or OverCeiling."""
        now = self.context.clock.now()
        listed = [
            target
            for target in self.all.values()
            if target.origin.service == upstream.name
            and target.origin.state != "leaving"
            and target.instance not in tried
            and not self.view.is_evacuated(target.origin.site)
            and (not route.regions or self.region_of(target.origin.site) in route.regions)
        ]
        up = [target for target in listed if not target.is_down]
        if not up:
            raise errors.NoOriginError(f"no origin of {upstream.name} is usable just now", retry_after=0.3)
        free = [t for t in up if len(t.started) < self.most(t, upstream) and now >= t.full_until]
        if not free:
            raise errors.LimitExceededError(f"every origin of {upstream.name} is full", retry_after=0.1)
        return free

    def draw(
        self, route: routes.Route, upstream: routes.Upstream, tried: typing.Container[str]
    ) -> targeting.Endpoint:
        """The origin that should answer soonest, of those the rules allow now; NoOrigin, WarmingUp or
        OverCeiling."""
        free = self.free(route, upstream, tried)
        # Cold ones only while no other is left, and no more than their part.
        warm = [target for target in free if not target.is_cold()]
        sure = [target for target in warm if not target.is_doubtful()]
        found = (
            sure or warm or [target for target in free if self.token_leases.has_token(cold_name(target), 0.0)]
        )
        if not found:
            raise errors.SlowStartError(f"the origins of {upstream.name} are warming up", retry_after=0.4)
        return min(found, key=self.cost)

    def most(self, target: targeting.Endpoint, upstream: routes.Upstream) -> int:
        """How many connections this node may have to the origin."""
        members = self.members()
        is_held = upstream.name in self.table.services_at_holders and self.uses_holders()
        key = (target.instance, upstream.connections, is_held)
        if self.most_members is not members:
            self.most_members, self.most_known = members, {}
        if key not in self.most_known:
            own = self.context.settings.name
            self.most_known[key] = fleet_limits.connection_limit(
                own, members, target.instance, key[1], is_held
            )
        return self.most_known[key]

    def uses_holders(self) -> bool:
        """A few edges that fetch for themselves cost a service little, and need nobody else to be up."""
        edges = [member for member in self.members() if member.role != "holder"]
        return len(edges) >= self.context.settings.holder_edges * len({member.site for member in edges})

    def may_hold(self, route: routes.Route) -> bool:
        """Whether holders at this site may have the route's objects at all."""
        own = self.region_of(self.context.settings.site) or self.context.settings.region
        if not route.regions or own in route.regions:
            return True
        inside = sum(m.role != "holder" and self.region_of(m.site) in route.regions for m in self.members())
        return inside >= HOME_EDGES

    def cost(self, target: targeting.Endpoint) -> float:
        """Seconds until its answer, about: what waits there by this edge's doing, and the way to it."""
        settings = self.context.settings
        site = target.origin.site
        way = 0.0 if site == settings.site else OTHER_SITE
        if self.region_of(site) != (self.region_of(settings.site) or settings.region):
            way = OTHER_REGION
        slots = max(1, target.origin.slots)
        queued = max(0, len(target.started) + 1 - slots) / slots
        busy = len(target.started) / slots
        # A little luck, so that edges that know the same do not all choose the same.
        return target.expected() * (1 + queued + busy) * self.context.randomness.uniform(0.8, 1.25) + way

    def limit_of(self, name: str) -> float | None:
        """The bound over all nodes by its name: of a service's rate, or of what a cold origin gets."""
        self.table.refresh()
        if not name.startswith(quota_share.COLD_PREFIX):
            upstream = self.table.upstreams.get(name)
            return None if upstream is None else upstream.rate
        target = self.all.get(f"origin/{name.removeprefix(quota_share.COLD_PREFIX)}")
        upstream = None if target is None else self.table.upstreams.get(target.origin.service)
        settings = self.context.settings
        return None if upstream is None else upstream.cold_rate * settings.cold_factor + settings.cold_burst

    async def ready(self, service: str, patience: float) -> None:
        """Before `draw`: places under a rate that this node lacks are borrowed from nodes that own some."""
        upstream = self.table.upstreams.get(service)
        if upstream is not None and upstream.rate is not None:
            await self.token_leases.wait_for_token(service, patience)

    async def ready_cold(self, route: routes.Route, service: str, tried: typing.Container[str]) -> None:
        """After a draw that found only cold origins: a place for one of them is borrowed."""
        try:
            found = self.free(route, self.table.upstreams[service], tried)
        except (errors.IrisError, KeyError):
            # The next draw will say so.
            return
        await self.token_leases.wait_for_token(cold_name(self.context.randomness.choice(found)), 0.0)

    def enter(self, upstream: routes.Upstream, patience: float) -> float:
        """A place under the service's rate: seconds until it may be used, or OverCeiling."""
        return 0.0 if upstream.rate is None else self.token_leases.acquire(upstream.name, patience)

    def enter_cold(self, target: targeting.Endpoint) -> None:
        """Take up the place that the draw has seen, if it chose the origin as a cold one."""
        self.token_leases.acquire(cold_name(target), 0.0)

    def is_scarce(self, service: str) -> bool:
        """Whether this node's part of the service's rate was all but used up in the last seconds."""
        return self.token_leases.own_quota.rate_limiter(service).is_scarce()

    # -- probes --------------------------------------------------------------------------------------
    async def run(self) -> None:
        """Origins that are down are asked for their health; all others are known by their traffic."""
        while True:
            now = self.context.clock.now()
            for target in list(self.all.values()):
                wanted = target.is_down and now >= target.down_until
                if wanted and not self.view.is_evacuated(target.origin.site) and not target.gone:
                    target.down_until = now + PROBE_PATIENCE + targeting.BACKOFF_LIMIT
                    self.context.start_task(self.probe(target), "probe")
            await asyncio.sleep(0.1)

    async def probe(self, target: targeting.Endpoint) -> None:
        upstream = self.table.upstreams.get(target.origin.service)
        try:
            async with asyncio.timeout(PROBE_PATIENCE):
                line = await target.take(PROBE_PATIENCE)
                host = f"{target.origin.host}:{target.origin.port}"
                headers = [("host", host), (self.header_names.expected, target.instance)]
                path = upstream.probe if upstream else "/health"
                answer = await line.send("GET", path.encode(), headers, b"", "")
            target.give_back(line)
            named = answer.headers.get(self.header_names.instance)
            if answer.status != 200 or (named and named != target.instance):
                raise errors.NoOriginError(f"the probe was answered {answer.status} by {named}")
        except FAILURES as error:
            target.fail(repr(error))
            return
        target.is_down, target.backoff = False, targeting.BACKOFF
