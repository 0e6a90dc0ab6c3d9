"""Object holders: the nodes of a site that fetch objects for its edges, so that each object comes there once.

An edge asks the holder that rendezvous hashing by the object's key chooses among those of its site. A holder
from which nothing comes is not asked for a while, and the edge fetches by itself; one that is alive keeps a
request until the request's own deadline, as an origin may be at work on it.
"""

import asyncio
import functools
import typing

from irisstand import drain_guard, errors, node_context
from irisstand.balancing import rendezvous
from irisstand.dataplane.cache import holder_messages, holder_read, object_reader, objects
from irisstand.dataplane.retry import events, holder_policy
from irisstand.dataplane.routing import route_table, routes
from irisstand.dataplane.upstream import endpoint_pool, upstream_request
from irisstand.membership import updates
from irisstand.state import versions

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
        return self.choose_in_regions(route, key) if self.origins.is_scarce(service) else None

    def choose_at_site(self, route: routes.Route, key: str) -> updates.Update | None:
        """Return the holder of this site that has the object for its edges."""
        site = self.context.settings.site
        local = {update.identity.name: update for update in self.usable() if update.node_info.site == site}
        ranked = rendezvous.ranked(key, [(name, 1.0) for name in local])
        return local[ranked[0]] if ranked and self.origins.fleet.may_hold(route) else None

    def choose_in_regions(self, route: routes.Route, key: str) -> updates.Update | None:
        """Return the holder in the route's regions that fetches the object; None if it is this node."""
        settings = self.context.settings
        eligible = {
            update.identity.name: update
            for update in self.usable()
            if not route.regions or update.node_info.region in route.regions
        }
        candidates = [(name, 1.0) for name in eligible]
        if not route.regions or settings.region in route.regions:
            candidates.append((settings.name, 1.0))
        ranked = rendezvous.ranked(key, candidates)
        return eligible.get(ranked[0]) if ranked else None

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
        cached: objects.CachedObject | None,
        fetch_own: holder_read.FetchOwn,
    ) -> objects.CachedObject:
        """Return an object from its holder, or from an origin where no other node holds it or that one fails.

        Args:
            lookup: What is read.
            minimum_version: The version of the ledger at which the object must have been fetched, or later.
            remaining: Seconds that the request has left.
            cached: The object that this node still has, which the holder may confirm.
            fetch_own: Fetches the object without a holder, within some seconds.

        Raises:
            errors.IrisError: What the holder or this node's own fetch raised. A holder's error that this node
                may still avoid at an origin is not raised. On an edge it may not where the holder got no
                token: that one has asked the owners of all, and another holder may have a token of its own.
        """
        # A lookup that another holder sent is sent on to no further holder.
        if lookup.is_forwarded:
            return await fetch_own(remaining)
        holder = self.choose(lookup.route, lookup.service, lookup.key)
        if holder is None:
            return await fetch_own(remaining)
        call = self.call_holder(holder, self.request_for(lookup, minimum_version, remaining, cached), cached)
        check_holder = functools.partial(self.check_overdue_holder, holder, asyncio.get_running_loop().time())
        read_policy: holder_read.Policy = holder_policy.HolderReadPolicy(
            self.context.clock, remaining, is_refusal_final=self.context.role != HOLDER_ROLE
        )
        read = holder_read.HolderRead(holder.identity.name, call, fetch_own, check_holder)
        # The holder has it, so it is in flight until the very end.
        with self.context.drain_guard.answer_at_end(lambda: drain_guard.WorkState.WITHDRAWABLE):
            return await read.run(read_policy)

    def request_for(
        self,
        lookup: object_reader.ObjectLookup,
        minimum_version: versions.Version,
        remaining: float,
        cached: objects.CachedObject | None,
    ) -> holder_messages.ObjectRequest:
        """Return the request for a lookup; see `fetch_from_holder`."""
        return holder_messages.ObjectRequest(
            lookup.route.name,
            lookup.service,
            lookup.request.host,
            lookup.request.target,
            lookup.request.headers,
            remaining,
            minimum_version,
            object_reader.etag_of(cached) or "",
            self.context.configuration.applied,
            self.context.role == HOLDER_ROLE,
        )

    async def call_holder(
        self,
        holder: updates.Update,
        request: holder_messages.ObjectRequest,
        cached: objects.CachedObject | None,
    ) -> objects.CachedObject:
        """Ask a holder for an object, and count a failure.

        Raises:
            errors.IrisError: The holder raised it, or the call failed.
        """
        sent_at = self.context.clock.now()
        name = holder.identity.name
        try:
            body = await self.context.transport.call(
                holder.node_info.address,
                name,
                holder_messages.OBJECT_REQUEST_KIND,
                request.to_wire(),
                request.max_wait,
            )
        except errors.IrisError as error:
            self.context.counters.add("holder_failures", code=error.code)
            if error.code in AVOIDANCE_CODES:
                self.pause_holder(name)
            raise
        return holder_messages.object_from_wire(body, sent_at, cached)

    def pause_holder(self, name: str) -> None:
        """Ask a holder for nothing more for a while."""
        self.avoided[name] = self.context.clock.now() + AVOIDANCE_SECONDS

    def check_overdue_holder(self, holder: updates.Update, sent_at: float) -> events.HolderOverdue:
        """Return how an overdue holder is, which was asked at a moment of the event loop's clock."""
        name, address = holder.identity.name, holder.node_info.address
        is_silent = self.context.transport.is_silent(address, sent_at)
        if is_silent:
            self.pause_holder(name)
            self.context.transport.retire(address)
        is_failed = name not in {member.identity.name for member in self.context.members_of(HOLDER_ROLE)}
        return events.HolderOverdue(is_silent, is_failed)

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
        received_at = self.context.clock.now()
        message = holder_messages.ObjectRequest.from_wire(body)
        if self.context.is_draining:
            raise errors.DrainingError("this holder is shutting down")
        await self.catch_up(message.configuration_version)
        content = await typing.cast(object_reader.ObjectReader, self.reader).read(
            self.lookup_for(message), message.minimum_version
        )
        # The asking node counts from its request on, so the time of this one's work must not count twice.
        if message.cached_etag and content.ttl > 0 and object_reader.etag_of(content) == message.cached_etag:
            return holder_messages.NotModified.from_object(content, received_at).to_wire()
        return holder_messages.object_response(content, received_at)

    def lookup_for(self, message: holder_messages.ObjectRequest) -> object_reader.ObjectLookup:
        """Return the lookup that a request asks for, if this node's routes allow it.

        Raises:
            errors.StaleConfigurationError: The route is another one here. By another version of it the
                request could go where the asking node's version does not allow.
        """
        request = upstream_request.Request("GET", message.target, message.host, message.headers, b"")
        route = self.table.match(request.host, request.path)
        if route.name != message.route_name or not self.table.still_allows(route, message.service):
            raise errors.StaleConfigurationError("the route is another one here")
        return object_reader.ObjectLookup(
            route, str(message.service), request, message.max_wait, is_forwarded=message.is_from_holder
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
