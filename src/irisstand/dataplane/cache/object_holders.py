"""Object holders: the nodes of a site that fetch objects for its edges, so that each object comes there once.

An edge asks the holder that rendezvous hashing by the object's key chooses among those of its site. A holder
that does not answer in time is not asked for a while, and the edge fetches by itself.
"""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import rendezvous
from irisstand.dataplane.cache import holder_messages, object_reader, objects
from irisstand.dataplane.routing import route_table, routes
from irisstand.dataplane.upstream import endpoint_pool, upstream_request
from irisstand.membership import updates
from irisstand.state import versions

# Of the time that a request has left, what a holder gets: an origin may be asked after it.
TIME_FRACTION = 0.4
LONGEST_WAIT_SECONDS = 0.6
# How long a holder that did not answer is not asked.
AVOIDANCE_SECONDS = 2.0
# How long a holder waits for the version of the configuration by which an edge judged a request.
CATCH_UP_TIMEOUT_SECONDS = 0.3
CATCH_UP_INTERVAL_SECONDS = 0.01
HOLDER_ROLE = "holder"
# Errors after which a holder is not asked for a while.
AVOIDANCE_CODES = ("unreached", "unanswered", "draining")


class ObjectHolders:
    """Asks other holders for objects, and answers nodes that ask this one.

    Args:
        context: The node's context.
        table: The routes in force.
        origins: The endpoints, whose rate limits decide whether a holder asks another one.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        table: route_table.RouteTable,
        origins: endpoint_pool.EndpointPool,
    ) -> None:
        self.context = context
        self.table = table
        self.origins = origins
        self.avoided = origins.avoided
        self.reader: object_reader.ObjectReader | None = None

    # -- asking --------------------------------------------------------------------------------------
    def choose(self, route: routes.Route, service: str, key: str) -> updates.Update | None:
        """Return the member that holds the object, or None where this node should fetch it by itself."""
        if not self.origins.fleet.uses_holders():
            return None
        if self.context.role != HOLDER_ROLE:
            return self.choose_at_site(route, key)
        # A holder fetches by itself while the service has tokens left: that is the shorter way. Where its
        # rate is scarce, one holder of all fetches each object, and the others have it from there.
        return self.choose_of_all(route, key) if self.origins.is_scarce(service) else None

    def choose_at_site(self, route: routes.Route, key: str) -> updates.Update | None:
        """Return the holder of this site that has the object for its edges."""
        site = self.context.settings.site
        near = {update.identity.name: update for update in self.usable() if update.node_info.site == site}
        ranked = rendezvous.ranked(key, [(name, 1.0) for name in near])
        return near[ranked[0]] if ranked and self.origins.fleet.may_hold(route) else None

    def choose_of_all(self, route: routes.Route, key: str) -> updates.Update | None:
        """Return the holder in the route's regions that fetches the object; None if it is this node."""
        settings = self.context.settings
        allowed = {
            update.identity.name: update
            for update in self.usable()
            if not route.regions or update.node_info.region in route.regions
        }
        candidates = [(name, 1.0) for name in allowed]
        if not route.regions or settings.region in route.regions:
            candidates.append((settings.name, 1.0))
        ranked = rendezvous.ranked(key, candidates)
        return allowed.get(ranked[0]) if ranked else None

    def usable(self) -> list[updates.Update]:
        """Return the holders that can be asked now."""
        now = self.context.clock.now()
        return [
            update
            for update in self.context.members_of(HOLDER_ROLE)
            if not update.state and now >= self.avoided.get(update.identity.name, 0.0)
        ]

    async def fetch_from_holder(
        self,
        lookup: object_reader.ObjectLookup,
        minimum_version: versions.Version,
        remaining: float,
        known: objects.CachedObject | None,
    ) -> objects.CachedObject | None:
        """Ask the holder of an object for it.

        Args:
            lookup: What is read.
            minimum_version: The version of the ledger at which the object must have been fetched, or later.
            remaining: Seconds that the request has left.
            known: The object that this node still has, which the holder may confirm.

        Returns:
            The object, or None where no other node holds it or the holder failed.

        Raises:
            errors.LimitExceededError: The holder got no token of the service's rate limit.
        """
        # A lookup that another holder sent is sent on to no further holder.
        if lookup.is_forwarded:
            return None
        holder = self.choose(lookup.route, lookup.service, lookup.key)
        if holder is None:
            return None
        request = self.request_for(lookup, minimum_version, remaining, known)
        asked_at = self.context.clock.now()
        try:
            body = await self.context.transport.call(
                holder.node_info.address,
                holder.identity.name,
                holder_messages.OBJECT_REQUEST_KIND,
                request.to_wire(),
                request.max_wait,
            )
        except errors.IrisError as error:
            self.on_holder_failed(holder, error)
            return None
        return holder_messages.object_from_wire(body, asked_at, known)

    def request_for(
        self,
        lookup: object_reader.ObjectLookup,
        minimum_version: versions.Version,
        remaining: float,
        known: objects.CachedObject | None,
    ) -> holder_messages.ObjectRequest:
        """Return the request for a lookup; see `fetch_from_holder`."""
        return holder_messages.ObjectRequest(
            lookup.route.name,
            lookup.service,
            lookup.request.host,
            lookup.request.target,
            lookup.request.headers,
            min(LONGEST_WAIT_SECONDS, TIME_FRACTION * remaining),
            minimum_version,
            object_reader.etag_of(known) or "",
            self.context.configuration.applied,
            self.context.role == HOLDER_ROLE,
        )

    def on_holder_failed(self, holder: updates.Update, error: errors.IrisError) -> None:
        """Count a failed call, and decide whether this node may fetch by itself.

        An error that the holder met at an origin this node may still avoid, within the time that is left.

        Raises:
            errors.LimitExceededError: On an edge, if the holder got no token. The holder has asked the
                owners of all tokens: an edge's own fetch would take one of theirs, and bring the object to
                that edge alone. Another holder may have a token of its own.
        """
        self.context.counters.add("holder_failures", code=error.code)
        if error.code in AVOIDANCE_CODES:
            self.avoided[holder.identity.name] = self.context.clock.now() + AVOIDANCE_SECONDS
        if error.code == errors.LimitExceededError.code and self.context.role != HOLDER_ROLE:
            raise error

    # -- answering -----------------------------------------------------------------------------------
    def serve(self, reader: object_reader.ObjectReader) -> None:
        """Answer other nodes' requests by this reader from now on."""
        self.reader = reader
        self.context.transport.handlers[holder_messages.OBJECT_REQUEST_KIND] = self.on_object_request

    async def on_object_request(self, _: str, body: list[typing.Any]) -> tuple[typing.Any, ...]:
        """Answer a request for an object.

        Raises:
            errors.DrainingError: This node takes no new work.
            errors.StaleConfigurationError: This node's configuration is not the one by which the other
                judged.
        """
        asked = holder_messages.ObjectRequest.from_wire(body)
        if self.context.is_draining:
            raise errors.DrainingError("this holder is shutting down")
        await self.catch_up(asked.configuration_version)
        content = await typing.cast(object_reader.ObjectReader, self.reader).read(
            self.lookup_for(asked), asked.minimum_version
        )
        now = self.context.clock.now()
        if asked.known_etag and content.ttl > 0 and object_reader.etag_of(content) == asked.known_etag:
            return holder_messages.NotModified.of(content, now).to_wire()
        return holder_messages.response_with(content, now)

    def lookup_for(self, asked: holder_messages.ObjectRequest) -> object_reader.ObjectLookup:
        """Return the lookup that a request asks for, if this node's routes allow it.

        Raises:
            errors.StaleConfigurationError: The route is another one here. By another version of it the
                request could go where the asking node's version does not allow.
        """
        request = upstream_request.Request("GET", asked.target, asked.host, asked.headers, b"")
        route = self.table.match(request.host, request.path)
        if route.name != asked.route_name or not self.table.still_allows(route, asked.service):
            raise errors.StaleConfigurationError("the route is another one here")
        return object_reader.ObjectLookup(
            route, str(asked.service), request, asked.max_wait, is_forwarded=asked.is_from_holder
        )

    async def catch_up(self, applied: versions.Version) -> None:
        """Wait until this node's configuration is at the version, or later.

        Raises:
            errors.StaleConfigurationError: It did not come in time, or a table is not known to be current.
        """
        started = self.context.clock.now()
        while self.context.configuration.applied < applied:
            if self.context.clock.now() - started > CATCH_UP_TIMEOUT_SECONDS:
                raise errors.StaleConfigurationError("this holder is behind the edge")
            await asyncio.sleep(CATCH_UP_INTERVAL_SECONDS)
        if not all(map(self.context.is_current, self.context.replicas.values())):
            raise errors.StaleConfigurationError("this holder's tables are not known to be current")
