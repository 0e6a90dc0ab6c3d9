"""Which node holds an object: the holders of a site fetch for its edges, so that it comes there once.

An edge asks the holder that the object's key draws among those of its own site. Whoever does not answer in
time is left alone for a while, and the edge fetches by itself.
"""

import asyncio

from irisstand import errors, node_context
from irisstand.balancing import rendezvous
from irisstand.dataplane.cache import object_reader, objects
from irisstand.dataplane.routing import routes
from irisstand.dataplane.upstream import endpoint_pool, upstream_request
from irisstand.membership import updates
from irisstand.state import versions

# Of the time that is left, what a holder gets, and the most in seconds: an origin may be asked after it.
TIME_FRACTION, LONGEST_WAIT_SECONDS = 0.4, 0.6
# Seconds for which a holder that did not answer is left alone.
AVOIDANCE_SECONDS = 2.0
# Seconds that a holder waits for the version of the configuration by which an edge has judged.
CATCH_UP_TIMEOUT_SECONDS = 0.3


class ObjectHolders:
    def __init__(
        self, context: node_context.NodeContext, table: routes.RouteTable, origins: endpoint_pool.EndpointPool
    ) -> None:
        self.context, self.table, self.origins = context, table, origins
        self.avoided = origins.avoided
        self.reader: object_reader.ObjectReader | None = None

    # -- asking --------------------------------------------------------------------------------------
    def pick(self, route: routes.Route, service: str, key: str) -> updates.Update | None:
        """The member that holds the object, or None where this node should fetch it by itself."""
        context = self.context
        if not self.origins.fleet.uses_holders():
            return None
        if context.role != "holder":
            near = [update for update in self.usable() if update.node_info.site == context.settings.site]
            return self.draw(key, near) if self.origins.fleet.may_hold(route) else None
        # A holder fetches by itself while the service has room: that is the shorter way. Where its rate is
        # scarce, each object is fetched by one holder of all, and the others have it from there.
        if not self.origins.is_scarce(service):
            return None
        everywhere = not route.regions
        home = [update for update in self.usable() if everywhere or update.node_info.region in route.regions]
        names = [(update.identity.name, 1.0) for update in home]
        if everywhere or context.settings.region in route.regions:
            names.append((context.settings.name, 1.0))
        order = rendezvous.ranked(key, names)
        return next((u for u in home if u.identity.name == order[0]), None) if order else None

    def usable(self) -> list[updates.Update]:
        now = self.context.clock.now()
        return [
            update
            for update in self.context.members_of("holder")
            if not update.state and now >= self.avoided.get(update.identity.name, 0.0)
        ]

    def draw(self, key: str, found: list[updates.Update]) -> updates.Update | None:
        named = {update.identity.name: update for update in found}
        names = rendezvous.ranked(key, [(name, 1.0) for name in named])
        return named[names[0]] if names else None

    async def fetch_from_holder(
        self,
        asked: object_reader.ReadRequest,
        floor: versions.Version,
        remaining: float,
        known: objects.CachedObject | None,
    ) -> objects.CachedObject | None:
        # Whoever was asked by another holder is the last in the row.
        holder = None if asked.is_forwarded else self.pick(asked.route, asked.service, asked.key)
        if holder is None:
            return None
        request = asked.request
        known_tag = object_reader.etag_of(known) or ""
        asked_at = self.context.clock.now()
        patience = min(LONGEST_WAIT_SECONDS, TIME_FRACTION * remaining)
        body = (
            asked.route.name,
            asked.service,
            request.host,
            request.target,
            tuple(request.headers.items()),
            patience,
            tuple(floor),
            known_tag,
            tuple(self.context.configuration.applied),
            self.context.role == "holder",
        )
        try:
            told, parts = await self.context.transport.call(
                holder.node_info.address, holder.identity.name, "object", body, patience
            )
        except errors.IrisError as error:
            self.context.counters.add("holder_failures", code=error.code)
            if error.code in ("unreached", "unanswered", "draining"):
                self.avoided[holder.identity.name] = self.context.clock.now() + AVOIDANCE_SECONDS
            # A holder without a place has asked the owners of all: an edge's own fetch would take one of
            # theirs, and bring the object to that edge alone. Another holder may have a place of its own.
            if error.code == errors.LimitExceededError.code and self.context.role != "holder":
                raise
            # What the holder met at an origin this node may still avoid, within what is left of its time.
            return None
        if told == "same" and known is not None:
            applied, age, life = parts
            return known._replace(
                applied=versions.Version.from_wire(applied), age=age, as_of=asked_at, ttl=life
            )
        return objects.from_wire(parts, asked_at)

    # -- answering -----------------------------------------------------------------------------------
    def serve(self, own: object_reader.ObjectReader) -> None:
        """Answer edges out of this reading."""
        self.reader = own
        self.context.transport.handlers["object"] = self.on_object

    async def on_object(self, _: str, body: list) -> tuple:
        name, service, host, target, headers, remaining, floor, known_tag, applied, is_last = body
        if self.context.is_draining:
            raise errors.DrainingError("this holder is shutting down")
        request = upstream_request.Request("GET", bytes(target), str(host), dict(headers), b"")
        await self.catch_up(versions.Version.from_wire(applied))
        route = self.table.match(request.host, request.path)
        # Judged by another version than the edge's, its request could go where that one does not allow.
        if route.name != name or not self.table.still_allows(route, service):
            raise errors.StaleConfigurationError("the route is another one here")
        asked = object_reader.ReadRequest(route, str(service), request, float(remaining), bool(is_last))
        thing = await self.reader.read(asked, versions.Version.from_wire(floor))
        now = self.context.clock.now()
        if known_tag and thing.ttl > 0 and object_reader.etag_of(thing) == known_tag:
            return ("same", (tuple(thing.applied), thing.age_now(now), thing.ttl))
        return ("object", objects.to_wire(thing, now))

    async def catch_up(self, applied: versions.Version) -> None:
        started = self.context.clock.now()
        while self.context.configuration.applied < applied:
            if self.context.clock.now() - started > CATCH_UP_TIMEOUT_SECONDS:
                raise errors.StaleConfigurationError("this holder is behind the edge")
            await asyncio.sleep(0.01)
        if not all(map(self.context.is_current, self.context.replicas.values())):
            raise errors.StaleConfigurationError("this holder's tables are not known to be current")
