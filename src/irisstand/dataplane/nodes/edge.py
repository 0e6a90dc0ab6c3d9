"""The edge, which clients talk to: reads go through its cache, writes go straight to a shield.

A request goes down through `handle` (is this node fit to serve, and what does the configuration allow?),
`read` or `write`, and the shield client; its result comes back the same way.
"""

import functools
import typing

from irisstand import errors, node_context
from irisstand.dataplane import messages
from irisstand.dataplane.cache import object_cache, objects
from irisstand.dataplane.nodes import shield_client
from irisstand.dataplane.retry import actions, events, freshness_policy
from irisstand.dataplane.routing import snapshot
from irisstand.state import versions

READ_METHODS = ("GET", "HEAD")
# A response to a request with one of these headers may be meant for its sender alone.
CREDENTIAL_HEADERS = ("authorization", "cookie")
# These concern the client's connection or its own copy of the object, and are not sent on.
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
    """The response to a client; `age` in seconds."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    age: float = 0.0


class Edge:
    """Answers clients' requests."""

    def __init__(self, context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot) -> None:
        self.context = context
        self.view = view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes)
        self.coalescer = object_cache.RequestCoalescer()
        self.shields = shield_client.ShieldClient(context, view)

    async def handle(self, request: Request) -> Result:
        """Return the result for the client.

        Raises:
            IrisError: the request is rejected; the client is shown the error as JSON.
        """
        # A draining edge takes no new connection, but what comes on a kept one is answered as ever.
        self.view.check_current()
        if self.view.is_evacuated(self.context.settings.site):
            raise errors.SiteEvacuatedError(f"site {self.context.settings.site} takes no new work")
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

    async def read(self, allowed: snapshot.AllowedRequest, request: Request) -> Result:
        """Answer a read from the cache, or by way of a shield."""
        read = self.shield_read(allowed, request)
        freshness = freshness_policy.FreshnessPolicy(self.context.clock, self.view, allowed, request.path)
        minimum_version = self.view.purged_at(request.path, ())
        if read.is_shared:
            key = self.cache_key(allowed.service, read)
            cached = self.cache.get(key)
            if cached is not None:
                if self.is_usable(cached, request.path, minimum_version):
                    self.context.counters.add("cache", at="edge", result="hit")
                    return self.result_from(request, cached)
                minimum_version = max(minimum_version, self.view.purged_at(request.path, cached.tags))
                self.cache.drop(key)
            self.context.counters.add("cache", at="edge", result="miss")
        fetched = await self.fetch(read, minimum_version, freshness)
        if read.is_shared and fetched.content.ttl > 0:
            # Under the service that answered: the shield may have heard of a change before this node.
            self.cache.put(self.cache_key(fetched.service, read), fetched.content)
        return self.result_from(request, fetched.content)

    def shield_read(self, allowed: snapshot.AllowedRequest, request: Request) -> shield_client.Read:
        """Return what is sent on of a read."""
        is_shared = not any(name in request.headers for name in CREDENTIAL_HEADERS)
        # Only headers that the configuration names may change a shared response, so only they are sent on.
        varied = {name.lower() for name in allowed.vary}
        headers = {
            name: value
            for name, value in request.headers.items()
            if name not in DROPPED_HEADERS and (not is_shared or name in varied)
        }
        return shield_client.Read(allowed, request.path, request.query, headers, is_shared)

    def cache_key(self, service: str, read: shield_client.Read) -> str:
        """Return the key under which a shared object is cached."""
        return repr((service, read.path, read.query, sorted(read.headers.items())))

    def is_usable(self, cached: objects.CachedObject, path: str, minimum_version: versions.Version) -> bool:
        """Whether a cached object may be given out now."""
        now = self.context.clock.now()
        return freshness_policy.is_usable(cached, path, self.view, minimum_version, now)

    async def fetch(
        self,
        read: shield_client.Read,
        minimum_version: versions.Version,
        freshness: freshness_policy.FreshnessPolicy,
    ) -> messages.ReadResult:
        """Fetch an object until it is fit to be given out, within the one deadline of the read."""
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
                    raise action.error
                case actions.FetchAgain():
                    self.context.counters.add("fetched_again")
                    minimum_version = max(minimum_version, action.minimum_version)

    async def fetch_once(
        self, read: shield_client.Read, minimum_version: versions.Version, deadline: float
    ) -> messages.ReadResult:
        """Fetch an object; reads of one shared object at the same time share the fetch."""
        fetch = functools.partial(self.shields.read, read, minimum_version, deadline)
        # A response that may be meant for one client alone is fetched for it alone.
        if not read.is_shared:
            return await fetch()
        key = (self.cache_key(read.allowed.service, read), minimum_version)
        fetched: messages.ReadResult = await self.coalescer.join(key, fetch)
        return fetched

    def result_from(self, request: Request, content: objects.CachedObject) -> Result:
        """Return the object as a result, if this node may still answer the request."""
        # This node may have been paused or cut off while the response was on its way.
        self.view.check_current()
        self.view.authorize(request.method, request.path, request.query)
        return Result(
            content.status, content.headers, content.body, content.age_now(self.context.clock.now())
        )

    async def write(self, allowed: snapshot.AllowedRequest, request: Request) -> Result:
        """Answer a write by way of a shield."""
        headers = {name: value for name, value in request.headers.items() if name not in DROPPED_HEADERS}
        write = shield_client.Write(
            allowed, request.method, request.path, request.query, headers, request.body
        )
        return Result(*await self.shields.write(write))


def create(
    context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot, connect: typing.Any
) -> Edge:
    """Make the edge of a node; `connect` is not used, as edges do not reach origins."""
    return Edge(context, view)
