"""The edge: what clients talk to. Reads go through its cache, writes straight to a shield."""

import asyncio
import functools
import typing

from irisstand import errors, node_context
from irisstand.balancing import popularity
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.cache import object_cache, objects
from irisstand.dataplane.nodes import suspicion_watcher
from irisstand.dataplane.retry import forwarding_policies
from irisstand.dataplane.routing import snapshot
from irisstand.state import versions

READS = ("GET", "HEAD")
# Whoever sends these gets an answer that may be meant for them alone.
CREDENTIALS = ("authorization", "cookie")
DROPPED = (
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
    """Header names are lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class Result(typing.NamedTuple):
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    age: float = 0.0


class Edge:
    def __init__(self, context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot) -> None:
        self.context, self.view = context, view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes)
        self.coalescer = object_cache.RequestCoalescer()
        self.popularity = popularity.PopularityCounter(context.clock)
        self.budget = budgets.RetryBudget(context.clock, 0.07, 1)
        self.suspicion_watcher = suspicion_watcher.SuspicionWatcher(context.detector)

    async def handle(self, request: Request) -> Result:
        """The result for the client, or a typed error to be shown as JSON."""
        # A draining edge takes no new connection, but what comes on a kept one is answered as ever.
        self.view.check_current()
        if self.view.is_evacuated(self.context.settings.site):
            raise errors.SiteEvacuatedError(f"site {self.context.settings.site} takes no new work")
        self.context.load_gauge.record()
        granted = self.view.authorize(request.method, request.path, request.query)
        self.context.counters.add("requests", method=request.method)
        try:
            with self.context.count_in_flight():
                if request.method in READS:
                    return await self.read(granted, request)
                return await self.write(granted, request)
        except errors.IrisError as error:
            self.context.counters.add("rejected", code=error.code)
            raise

    # -- reads ---------------------------------------------------------------------------------------
    async def read(self, granted: snapshot.AllowedRequest, request: Request) -> Result:
        shared = not any(name in request.headers for name in CREDENTIALS)
        giving = forwarding_policies.Giving(self.context.clock, self.view, granted, request.path)
        floor = self.view.purged_at(request.path, ())
        # Only headers that the configuration names may change a shared answer, so only they are sent on.
        varied = {name.lower() for name in granted.vary}
        sent = {
            name: value
            for name, value in request.headers.items()
            if name not in DROPPED and (not shared or name in varied)
        }
        key = self.key(granted.service, request, sent)
        if shared:
            found = self.cache.get(key)
            if found is not None:
                if forwarding_policies.is_usable(
                    found, request.path, self.view, floor, self.context.clock.now()
                ):
                    self.context.counters.add("cache", at="edge", result="hit")
                    return self.result(request, found)
                floor = max(floor, self.view.purged_at(request.path, found.tags))
                self.cache.drop(key)
            self.context.counters.add("cache", at="edge", result="miss")
        while True:
            fetch = functools.partial(self.fetch, granted, request, sent, floor, shared, giving.deadline)
            try:
                # An answer that may be meant for one alone is fetched for one alone.
                service, thing = await (self.coalescer.join((key, floor), fetch) if shared else fetch())
                action = giving.ask(("object", thing))
            except errors.IrisError as error:
                action = giving.ask(("failed", error))
            if action[0] == "reject":
                raise action[1]
            if action[0] == "answer":
                break
            self.context.counters.add("fetched_again")
            floor = max(floor, action[1])
        if shared and thing.ttl > 0:
            # Under the service that answered: the shield may have heard of a change before this node.
            self.cache.put(self.key(service, request, sent), thing)
        return self.result(request, thing)

    def key(self, service: str, request: Request, varied: dict[str, str]) -> str:
        return repr((service, request.path, request.query, sorted(varied.items())))

    def result(self, request: Request, thing: objects.CachedObject) -> Result:
        # This node may have been paused or cut off while the answer was on its way.
        self.view.check_current()
        self.view.authorize(request.method, request.path, request.query)
        return Result(thing.status, thing.headers, thing.body, thing.age_now(self.context.clock.now()))

    async def fetch(
        self,
        granted: snapshot.AllowedRequest,
        request: Request,
        headers: dict[str, str],
        floor: versions.Version,
        shared: bool,
        deadline: float,
    ) -> tuple[str, objects.CachedObject]:
        self.budget.record_first_attempt()
        shields = self.spread(granted.service, f"{request.path}?{request.query}")
        decision = forwarding_policies.EdgeRead(self.context.clock, granted, shields, self.budget, deadline)
        # One id for all tries, so that an origin's record shows second tries for what they are.
        request_id = self.request_id()
        happened: tuple = ("started",)
        while True:
            action = decision.ask(happened)
            if action[0] == "answer":
                return action[1]
            if action[0] == "reject":
                raise action[1]
            _, shield, remaining = action
            body = (
                request_id,
                "GET",
                request.path,
                request.query,
                tuple(headers.items()),
                tuple(floor),
                remaining,
                shared,
                tuple(self.context.configuration.applied),
            )
            asked_at = self.context.clock.now()
            happened = await self.ask_watched(decision, shield, body, remaining)
            if happened[0] == "result":
                service, parts = happened[1]
                happened = ("object", (service, objects.from_wire(parts, asked_at)))

    async def ask_watched(
        self, decision: forwarding_policies.EdgeRead, shield: typing.Any, body: tuple, remaining: float
    ) -> tuple:
        """A shield that lost its power closes no connection: its reads go on once it is suspected."""
        doubt = self.suspicion_watcher.watch(shield.identity)
        asking = asyncio.get_running_loop().create_task(self.ask(shield, "read", body, remaining))
        try:
            await asyncio.wait([asking, doubt], return_when=asyncio.FIRST_COMPLETED)
            if not asking.done() and decision.may_turn_away():
                return ("failed", errors.NotSentError("the shield is suspected to have failed"))
            return await asking
        finally:
            doubt.cancel()
            asking.cancel()

    def spread(self, service: str, key: str) -> list:
        """The shields in order; for a hot object the first two take turns, if both can."""
        shields = self.view.shields(service, key)
        if not self.popularity.record(key) or len(shields) < 2:
            return shields
        second = shields[1]
        if second.state or not self.view.has_quota_share(second.node_info.machine, service):
            return shields
        self.context.counters.add("hot_fetches")
        if self.context.randomness.random() < 0.5:
            shields[0], shields[1] = shields[1], shields[0]
        return shields

    # -- writes --------------------------------------------------------------------------------------
    async def write(self, granted: snapshot.AllowedRequest, request: Request) -> Result:
        request_id = self.request_id()
        key = request.headers.get("idempotency-key", request_id)
        shields = self.view.shields(granted.service, key)
        decision = forwarding_policies.EdgeWrite(self.context.clock, granted, shields)
        kept = tuple((name, value) for name, value in request.headers.items() if name not in DROPPED)
        happened: tuple = ("started",)
        while True:
            action = decision.ask(happened)
            if action[0] == "answer":
                status, headers, body = action[1]
                return Result(status, tuple((name, value) for name, value in headers), body)
            if action[0] == "reject":
                raise action[1]
            _, shield, remaining = action
            body = (
                request_id,
                request.method,
                request.path,
                request.query,
                kept,
                request.body,
                remaining,
                tuple(self.context.configuration.applied),
            )
            happened = await self.ask(shield, "write", body, remaining)
            if happened[0] == "result":
                happened = ("answer", happened[1])

    # -- towards shields -----------------------------------------------------------------------------
    async def ask(self, shield: typing.Any, kind: str, body: tuple, remaining: float) -> tuple:
        # A read is answered as well by a shield that was started anew; a write is meant for the one chosen.
        life = shield.identity.incarnation_id if kind == "write" else ""
        try:
            reply = await self.context.transport.call(
                shield.node_info.address, shield.identity.name, kind, body, remaining, life
            )
            return ("result", reply)
        except errors.IrisError as error:
            self.context.counters.add("shield_failures", code=error.code)
            return ("failed", error)

    def request_id(self) -> str:
        return f"{self.context.settings.name}-{self.context.randomness.getrandbits(64):016x}"


def create(
    context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot, connect: typing.Any
) -> Edge:
    return Edge(context, view)
