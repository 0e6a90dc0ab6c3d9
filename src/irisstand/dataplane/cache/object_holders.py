"""Object holders: nodes that fetch objects for the edges of a site, so that a site fetches each object once.

An edge asks the holder of its site that rendezvous hashing by the object's key chooses. A holder that is
silent is not asked for a while, and the edge fetches from an origin itself. A request to a holder that is
alive stays open until the request's own deadline, as an origin may be working on it.
"""

import asyncio
import collections
import collections.abc
import functools

from irisstand import drain_guard, errors, node_context
from irisstand.balancing import rendezvous
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.cache import holder_messages, holder_read, object_lookup, objects
from irisstand.dataplane.retry import events, holder_policy
from irisstand.dataplane.routing import route_table, routes
from irisstand.dataplane.upstream import endpoint_pool
from irisstand.membership import updates
from irisstand.state import versions

# How long a holder is not asked after it failed to respond.
AVOIDANCE_SECONDS = 2.0
# How many large objects a node remembers.
LARGE_KEYS_LIMIT = 1000
HOLDER_ROLE = "holder"
# The codes of the errors after which a holder is not asked for `AVOIDANCE_SECONDS`.
AVOIDANCE_CODES = ("unreached", "unanswered", "draining")


class ObjectHolders:
    """Requests objects from holders.

    Args:
        context: The node's context.
        table: The route table.
        origins: The origin endpoints; where their rate limit is scarce, a holder asks another holder.
        retry_budget: Returns this node's retry budget for a service.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        table: route_table.RouteTable,
        origins: endpoint_pool.EndpointPool,
        retry_budget: collections.abc.Callable[[str], budgets.RetryBudget],
    ) -> None:
        self.retry_budget = retry_budget
        self.context = context
        self.table = table
        self.origins = origins
        self.avoided = origins.avoided
        # Objects that their holder did not pass on because they are large, the oldest first.
        self.large_keys: collections.OrderedDict[str, None] = collections.OrderedDict()

    # -- requesting ----------------------------------------------------------------------------------
    def choose(self, route: routes.Route, service: str, key: str) -> updates.Update | None:
        """Return the holder to request an object from; None if this node should fetch it from an origin."""
        if not self.origins.fleet.uses_holders() or key in self.large_keys:
            return None
        if self.context.role != HOLDER_ROLE:
            return self.choose_at_site(route, key)
        # While the service has rate limit tokens left, a holder fetches from an origin, which saves a hop. If
        # tokens are scarce, one holder of all sites fetches each object, and the others get it from there.
        return self.choose_in_regions(route, key) if self.origins.is_scarce(service) else None

    def choose_at_site(self, route: routes.Route, key: str) -> updates.Update | None:
        """Return the holder of this site that fetches the object for the site's edges; None without one."""
        site = self.context.settings.site
        local = {update.identity.name: update for update in self.usable() if update.node_info.site == site}
        ranked = rendezvous.ranked(key, [(name, 1.0) for name in local])
        return local[ranked[0]] if ranked and self.origins.fleet.may_hold(route) else None

    def choose_in_regions(self, route: routes.Route, key: str) -> updates.Update | None:
        """Return the holder of the route's regions that fetches the object; None if it is this node."""
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
        """Return the holders that are alive and are not avoided after a recent failure."""
        now = self.context.clock.now()
        return [
            update
            for update in self.context.members_of(HOLDER_ROLE)
            if not update.state and now >= self.avoided.get(update.identity.name, 0.0)
        ]

    async def fetch_from_holder(
        self,
        lookup: object_lookup.ObjectLookup,
        minimum_version: versions.Version,
        remaining: float,
        cached: objects.CachedObject | None,
        fetch_from_origin: holder_read.FetchFromOrigin,
    ) -> objects.CachedObject:
        """Return an object from its holder, or from an origin if no other node holds it or the holder fails.

        Args:
            lookup: The object to read.
            minimum_version: The oldest ledger version at which the object may have been fetched.
            remaining: Seconds until the request's deadline.
            cached: The object in this node's cache, if any, which the holder may confirm as current.
            fetch_from_origin: Fetches the object without a holder; takes the timeout in seconds.

        Raises:
            errors.IrisError: The holder or this node's own fetch raised it. Most errors of a holder make this
                node fetch by itself, but a holder without a rate limit token is final for an edge: the holder
                has asked all owners of tokens. Not so for a requesting holder, which may own a token itself.
        """
        # A lookup that another holder sent is not forwarded to a further holder.
        if lookup.is_forwarded:
            return await fetch_from_origin(remaining)
        holder = self.choose(lookup.route, lookup.service, lookup.key)
        if holder is None:
            return await fetch_from_origin(remaining)
        call = self.call_holder(
            holder, lookup.key, self.request_for(lookup, minimum_version, remaining, cached), cached
        )
        check_holder = functools.partial(self.check_overdue_holder, holder, asyncio.get_running_loop().time())
        read_policy: holder_read.Policy = holder_policy.HolderReadPolicy(
            self.context.clock, remaining, is_refusal_final=self.context.role != HOLDER_ROLE
        )
        read = holder_read.HolderRead(holder.identity.name, call, fetch_from_origin, check_holder)
        # The holder works on the request, so it may stay in flight until the end of a drain.
        with self.context.drain_guard.fail_at_end(lambda: drain_guard.WorkState.WITHDRAWABLE):
            return await read.run(read_policy)

    def request_for(
        self,
        lookup: object_lookup.ObjectLookup,
        minimum_version: versions.Version,
        remaining: float,
        cached: objects.CachedObject | None,
    ) -> holder_messages.ObjectRequest:
        """Return the object request to send to a holder; the arguments are those of `fetch_from_holder`."""
        return holder_messages.ObjectRequest(
            lookup.route.name,
            lookup.service,
            lookup.request.host,
            lookup.request.target,
            lookup.request.headers,
            remaining,
            minimum_version,
            object_lookup.etag_of(cached) or "",
            self.context.configuration.applied,
            self.context.role == HOLDER_ROLE,
        )

    async def call_holder(
        self,
        holder: updates.Update,
        key: str,
        request: holder_messages.ObjectRequest,
        cached: objects.CachedObject | None,
    ) -> objects.CachedObject:
        """Request an object from a holder, and count a failure.

        Raises:
            errors.IrisError: The holder answered with an error, or the call failed.
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
        if holder_messages.TooLarge.is_in(body):
            self.note_large(key)
            # The holder has had an origin send the object, so this node's own fetch is a retry.
            if not self.retry_budget(request.service).take():
                raise errors.LimitExceededError("the object has to be fetched again, and no retry is left")
            raise errors.OriginFailedError("the object is too large for its holder")
        return holder_messages.object_from_wire(body, sent_at, cached)

    def note_large(self, key: str) -> None:
        """Fetch a large object from origins from now on, without asking a holder first."""
        self.large_keys[key] = None
        if len(self.large_keys) > LARGE_KEYS_LIMIT:
            self.large_keys.popitem(last=False)

    def pause_holder(self, name: str) -> None:
        """Stop requesting objects from a holder for `AVOIDANCE_SECONDS`."""
        self.avoided[name] = self.context.clock.now() + AVOIDANCE_SECONDS

    def check_overdue_holder(self, holder: updates.Update, sent_at: float) -> events.HolderOverdue:
        """Return whether an overdue holder, asked at the time `sent_at`, is silent or declared failed."""
        name, address = holder.identity.name, holder.node_info.address
        is_silent = self.context.transport.is_unresponsive(address, sent_at)
        if is_silent:
            self.pause_holder(name)
            self.context.transport.retire(address)
        is_failed = name not in {member.identity.name for member in self.context.members_of(HOLDER_ROLE)}
        return events.HolderOverdue(is_silent, is_failed)
