"""The edge role, which clients connect to: reads go through its cache, writes go straight to a shield.

A request passes `handle`, which checks that this node may serve and what the configuration allows, then
`read` or `write`, then the shield client; its result returns the same way.
"""

import functools
import typing

from irisstand import errors, node_context
from irisstand.dataplane import messages
from irisstand.dataplane.cache import object_cache, objects, request_coalescer
from irisstand.dataplane.nodes import shield_client
from irisstand.dataplane.retry import actions, events, freshness_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.state import versions

READ_METHODS = ("GET", "HEAD")
# The response to a request with one of these headers may be meant for one client, so it is not cached.
CREDENTIAL_HEADERS = ("authorization", "cookie")
# Headers that concern the client's connection or the client's own cache; they are not forwarded.
DROPPED_HEADERS = (
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "x-request-id",
    "keep-alive",
    "te",
    "upgrade",
    "expect",
    "range",
    "if-range",
    "accept-encoding",
    "if-none-match",
    "if-modified-since",
)


class Request(typing.NamedTuple):
    """A client's request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Result(typing.NamedTuple):
    """The response to a client, with the object's age in seconds."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    age: float = 0.0


class Edge:
    """Answers clients' requests from its cache, or by way of shields."""

    def __init__(self, context: node_context.NodeContext, view: configuration_view.ConfigurationView) -> None:
        self.context = context
        self.view = view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes, context.budget)
        self.coalescer = request_coalescer.RequestCoalescer()
        self.shields = shield_client.ShieldClient(context, view)

    async def handle(self, request: Request) -> Result:
        """Return the response to a client's request.

        Raises:
            IrisError: The request is rejected; the client gets the error as JSON.
        """
        # A draining edge accepts no new connection, but still answers requests on the connections it has.
        self.view.check_current()
        if self.view.is_evacuated(self.context.settings.site):
            raise errors.SiteEvacuatedError(
                f"site {self.context.settings.site} is evacuated and takes no new requests"
            )
        self.context.load_gauge.record()
        allowed = self.view.authorize(request.method, request.path, request.query)
        self.context.counters.add("requests", method=request.method)
        try:
            with self.context.count_in_flight():
                if request.method in READ_METHODS:
                    return await self.read(allowed, request)
                return await self.write(allowed, request)
        except errors.IrisError as error:
            self.context.counters.add("rejected", code=error.code)
            raise

    async def read(self, allowed: configuration_view.AllowedRequest, request: Request) -> Result:
        """Answer a read from the cache, or by way of a shield."""
        read = self.shield_read(allowed, request)
        freshness = freshness_policy.FreshnessPolicy(self.context.clock, self.view, allowed, request.path)
        minimum_version = self.view.newest_purge(request.path, ())
        if read.is_shared:
            key = self.cache_key(allowed.service, read)
            cached = self.cache.get(key)
            if cached is not None:
                if self.is_usable(cached, request.path, minimum_version):
                    self.context.counters.add("cache", at="edge", result="hit")
                    return self.result_from(request, cached)
                minimum_version = max(minimum_version, self.view.newest_purge(request.path, cached.tags))
                self.cache.drop(key)
            self.context.counters.add("cache", at="edge", result="miss")
        fetched = await self.fetch(read, minimum_version, freshness)
        if read.is_shared and fetched.content.ttl > 0:
            # Cached under the service that answered: the shield's configuration may be newer than this
            # node's.
            self.cache.put(self.cache_key(fetched.service, read), fetched.content)
        return self.result_from(request, fetched.content)

    def shield_read(self, allowed: configuration_view.AllowedRequest, request: Request) -> shield_client.Read:
        """Return the read to send to a shield, with the headers that may be forwarded."""
        is_shared = not any(name in request.headers for name in CREDENTIAL_HEADERS)
        # A shared response may depend only on headers that the configuration names; only they are forwarded.
        varied = {name.lower() for name in allowed.vary}
        headers = {
            name: value
            for name, value in request.headers.items()
            if name not in DROPPED_HEADERS and (not is_shared or name in varied)
        }
        return shield_client.Read(allowed, request.path, request.query, headers, is_shared)

    def cache_key(self, service: str, read: shield_client.Read) -> str:
        """Return the cache key of a shared object: its service, path, query and forwarded headers."""
        return repr((service, read.path, read.query, sorted(read.headers.items())))

    def is_usable(self, cached: objects.CachedObject, path: str, minimum_version: versions.Version) -> bool:
        """Return whether a cached object may be served now: neither expired nor purged."""
        now = self.context.clock.now()
        return freshness_policy.is_usable(cached, path, self.view, minimum_version, now)

    async def fetch(
        self,
        read: shield_client.Read,
        minimum_version: versions.Version,
        freshness: freshness_policy.FreshnessPolicy,
    ) -> messages.ReadResult:
        """Fetch an object, again if it expired or was purged in flight, until the deadline of the read."""
        while True:
            try:
                fetched = await self.fetch_once(read, minimum_version, freshness.deadline)
                action = freshness.decide(events.ResponseReceived(fetched.content, fetched.service))
            except errors.IrisError as error:
                action = freshness.decide(events.AttemptFailed(error, ""))
            match action:
                case actions.Respond():
                    return fetched
                case actions.Reject():
                    raise action.error.copy()
                case actions.FetchAgain():
                    self.context.counters.add("fetched_again")
                    minimum_version = max(minimum_version, action.minimum_version)

    async def fetch_once(
        self, read: shield_client.Read, minimum_version: versions.Version, deadline: float
    ) -> messages.ReadResult:
        """Fetch an object once; concurrent reads of the same shared object share the fetch."""
        fetch = functools.partial(self.shields.read, read, minimum_version, deadline)
        # A response that may be meant for one client is not shared with other requests.
        if not read.is_shared:
            return await fetch()
        key = (self.cache_key(read.allowed.service, read), minimum_version)
        is_joined = self.coalescer.is_in_flight(key)
        fetched: messages.ReadResult = await self.coalescer.join(key, fetch)
        if is_joined and not objects.is_shareable(fetched.content):
            return await fetch()
        return fetched

    def result_from(self, request: Request, content: objects.CachedObject) -> Result:
        """Return the response with an object, if this node may still answer the request."""
        # This node may have been paused or partitioned while it waited for the response.
        self.view.check_current()
        self.view.authorize(request.method, request.path, request.query)
        return Result(
            content.status,
            content.headers,
            objects.held_body(content),
            content.age_now(self.context.clock.now()),
        )

    async def write(self, allowed: configuration_view.AllowedRequest, request: Request) -> Result:
        """Return the response to a write, which is sent to a shield."""
        headers = {name: value for name, value in request.headers.items() if name not in DROPPED_HEADERS}
        write = shield_client.Write(
            allowed, request.method, request.path, request.query, headers, request.body
        )
        return Result(*await self.shields.write(write))


def create(
    context: node_context.NodeContext, view: configuration_view.ConfigurationView, connect: typing.Any
) -> Edge:
    """Create the edge of a node; `connect` is not used, as this role does not connect to origins."""
    return Edge(context, view)
