"""The shield: executes what its decisions say, and is the only role that talks to origins."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import rendezvous, service_limits
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.cache import object_cache, objects
from irisstand.dataplane.nodes import idempotency_keys
from irisstand.dataplane.retry import forwarding_policies
from irisstand.dataplane.routing import snapshot
from irisstand.dataplane.upstream import connections, origin_pool
from irisstand.state import versions

# At each of the shields that a request comes to; three of them are well inside any patience.
QUEUE_LIMIT = 0.25
STORE_PATIENCE = 0.15
CATCH_UP_LIMIT = 1.0
NOT_THE_ORIGINS = (
    errors.LimitExceededError,
    errors.StaleConfigurationError,
    errors.NoQuotaShareError,
    connections.ConnectionReopenedError,
)


class Shield:
    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        open_line: connections.ConnectionOpener,
    ) -> None:
        self.context, self.view = context, view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes)
        self.coalescer = object_cache.RequestCoalescer()
        self.origins = origin_pool.OriginPool(context, view, open_line)
        # With the edges' share this stays under the fifth of the traffic that is allowed fleet-wide.
        self.budget = budgets.RetryBudget(context.clock, 0.10, 1)
        self.idempotency_keys = idempotency_keys.IdempotencyKeys(context)
        self.shares: dict[str, service_limits.QuotaShareLimiter] = {}
        self.opened_at = context.clock.now()
        context.transport.handlers.update({"read": self.on_read, "write": self.on_write})

    # -- reads ---------------------------------------------------------------------------------------
    async def on_read(self, _: str, body: list) -> tuple:
        request_id, method, path, query, headers, floor, remaining, shared, applied = body
        remaining = await self.check_open(versions.Version.from_wire(applied), float(remaining))
        granted = self.view.authorize(method, path, query)
        with self.context.count_in_flight():
            work = (str(request_id), path, query, dict(headers), versions.Version.from_wire(floor))
            thing = await self.read(granted, work, min(remaining, granted.deadline), bool(shared))
            return (granted.service, objects.to_wire(thing, self.context.clock.now()))

    async def check_open(self, applied: versions.Version, remaining: float) -> float:
        """Fit to work on a request that an edge judged by a configuration at `applied version`; what is
        left of its time.
        """
        started = self.context.clock.now()
        if self.context.is_draining:
            raise errors.DrainingError("this shield is shutting down")
        # The edge may have heard of a change first. Judged by the older rows, its request would go where the
        # newer ones do not allow; so this waits for the table rather than answer from the past.
        self.context.load_gauge.record()
        while self.context.configuration.applied < applied:
            if self.context.clock.now() - started > min(CATCH_UP_LIMIT, remaining / 2):
                raise errors.StaleConfigurationError("this shield is behind the edge")
            await asyncio.sleep(0.01)
        self.view.check_current()
        return remaining - (self.context.clock.now() - started)

    async def read(
        self, granted: snapshot.AllowedRequest, work: tuple, remaining: float, shared: bool
    ) -> objects.CachedObject:
        request_id, path, query, headers, floor = work
        if not shared:
            return await self.fetch(granted, work, remaining)
        key = repr((granted.service, path, query, sorted(headers.items())))
        # The newest purge known to the edge counts here too, though this node may not have heard of it.
        floor = max(floor, self.view.purged_at(path, ()))
        found = self.cache.get(key)
        if found is not None:
            if forwarding_policies.is_usable(found, path, self.view, floor, self.context.clock.now()):
                self.context.counters.add("cache", at="shield", result="hit")
                return found
            self.cache.drop(key)
        self.context.counters.add("cache", at="shield", result="miss")
        work = (request_id, path, query, headers, floor)
        return await self.coalescer.join(
            (key, floor), lambda: self.look_and_fetch(key, granted, work, remaining)
        )

    async def look_and_fetch(
        self, key: str, granted: snapshot.AllowedRequest, work: tuple, remaining: float
    ) -> objects.CachedObject:
        floor = work[4]
        store = self.store_for(key)
        started = self.context.clock.now()
        if store is not None:
            found = await self.look(store, key, work[1], floor)
            if found is not None:
                self.cache.put(key, found)
                return found
        remaining -= self.context.clock.now() - started
        thing = await self.fetch(granted, work, remaining)
        if thing.ttl > 0:
            self.cache.put(key, thing)
            if store is not None:
                self.context.start_task(self.keep(store, key, thing), "keep in store")
        return thing

    def store_for(self, key: str) -> typing.Any:
        stores = self.context.members_of("store")
        found = {update.identity.name: update for update in stores if not update.state}
        names = rendezvous.ranked(key, [(name, 1.0) for name in found])
        return found[names[0]] if names else None

    async def look(
        self, store: typing.Any, key: str, path: str, floor: versions.Version
    ) -> objects.CachedObject | None:
        asked_at = self.context.clock.now()
        try:
            parts = await self.context.transport.call(
                store.node_info.address,
                store.identity.name,
                "look",
                (key, path, tuple(floor)),
                STORE_PATIENCE,
            )
            if parts:
                thing = objects.from_wire(parts, asked_at)
                if forwarding_policies.is_usable(thing, path, self.view, floor, self.context.clock.now()):
                    return thing
        except errors.IrisError:
            # A store is a convenience: without it the read goes to an origin.
            self.context.counters.add("store_failed")
        return None

    async def keep(self, store: typing.Any, key: str, thing: objects.CachedObject) -> None:
        body = (key, objects.to_wire(thing, self.context.clock.now()))
        try:
            await self.context.transport.call(store.node_info.address, store.identity.name, "keep", body, 1.0)
        except errors.IrisError:
            self.context.counters.add("store_failed")

    async def fetch(
        self, granted: snapshot.AllowedRequest, work: tuple, remaining: float
    ) -> objects.CachedObject:
        request_id, path, query, headers, floor = work
        decision = forwarding_policies.ShieldRead(self.context.clock, granted, remaining, self.budget)
        happened: tuple = ("started",)
        while True:
            action = decision.ask(happened)
            if action[0] == "answer":
                return action[1]
            if action[0] == "reject":
                raise action[1]
            # Fetched from now on, so at least as new as everything this node or the edge has heard of.
            applied = max(self.context.ledger.applied, floor)
            asked_at = self.context.clock.now()
            request = ("GET", f"{path}?{query}" if query else path, headers, b"", request_id)
            outcome = await self.try_origin(granted, request, decision, action[1])
            if outcome[0] == "answer":
                _, (status, kept, body), origin = outcome
                thing = objects.from_origin(status, kept, body, applied, asked_at, granted.ttl)
                happened = ("object", thing, origin)
            else:
                happened = outcome

    # -- writes --------------------------------------------------------------------------------------
    async def on_write(self, _: str, body: list) -> tuple:
        request_id, method, path, query, headers, content, remaining, applied = body
        remaining = await self.check_open(versions.Version.from_wire(applied), float(remaining))
        granted = self.view.authorize(method, path, query)
        with self.context.count_in_flight():
            decision = forwarding_policies.ShieldWrite(self.context.clock, granted, remaining)
            request = (method, f"{path}?{query}" if query else path, dict(headers), content, request_id)
            return await self.idempotency_keys.run_once(
                granted, request, lambda: self.write(granted, decision, request)
            )

    async def write(
        self,
        granted: snapshot.AllowedRequest,
        decision: forwarding_policies.ShieldWrite,
        request: tuple,
    ) -> tuple:
        happened: tuple = ("started",)
        while True:
            action = decision.ask(happened)
            if action[0] == "answer":
                status, kept, answer = action[1]
                thing = objects.from_origin(status, kept, answer, versions.NONE, 0.0, 0.0)
                return (status, thing.headers, answer)
            if action[0] == "reject":
                raise action[1]
            happened = await self.try_origin(granted, request, decision, action[1])

    # -- towards origins -----------------------------------------------------------------------------
    async def try_origin(
        self,
        granted: snapshot.AllowedRequest,
        request: tuple,
        decision: forwarding_policies.ShieldWork,
        tried: set[str],
    ) -> tuple:
        """One try at one origin: ("answer", ...) or ("failed", error, origin, touched)."""
        method, target, headers, body, request_id = request
        try:
            pool = self.origins.draw(granted, tried)
            pool.probe = granted.probe
            share, entered_at = await self.enter(granted, decision)
        except errors.IrisError as error:
            return ("failed", error, "", False)
        line: connections.UpstreamConnection | None = None
        works_until = 0.0
        try:
            line = await pool.take(max(0.01, decision.remaining()))
            line.touched = False
            # The place is counted for the moment of sending, and getting a line may have taken long.
            while not share.is_fresh(entered_at):
                share.withdraw(entered_at)
                share = None
                share, entered_at = await self.enter(granted, decision)
            # Time went by since the draw: what was granted then may be withdrawn by now.
            self.view.check_current()
            self.recheck(granted, method, target)
            sent = {**headers, "X-Request-Id": request_id}
            answer = await line.send(method, target, sent, body, max(0.01, decision.remaining()))
            objects.check_seal(answer[1], answer[2], request_id)
            self.context.counters.add("origin_requests", service=granted.service, method=method)
            return ("answer", answer, pool.instance)
        except (TimeoutError, asyncio.CancelledError) as error:
            # Nobody waits any more, but the origin may work on: its place is kept for as long as it could.
            touched = line is not None and line.touched
            works_until = (
                entered_at + service_limits.origin_work_seconds(granted.deadline) if touched else 0.0
            )
            if isinstance(error, asyncio.CancelledError):
                raise
            self.context.counters.add("origin_failures", service=granted.service, touched=str(touched))
            pool.mark(pool.healthy and touched, repr(error))
            return ("failed", forwarding_policies.kind_of(error), pool.instance, touched)
        except origin_pool.FAILURES as error:
            touched = line is not None and line.touched
            self.context.counters.add("origin_failures", service=granted.service, touched=str(touched))
            # A kept line that the origin closed meanwhile says nothing of the origin: the prober will tell.
            if not isinstance(error, NOT_THE_ORIGINS):
                # An unsealed answer is one request's; a broken line says that the origin is gone.
                pool.mark(pool.healthy and isinstance(error, errors.UnsealedResultError), repr(error))
            return ("failed", forwarding_policies.kind_of(error), pool.instance, touched)
        finally:
            if share is not None:
                share.leave(works_until)
            if line is not None:
                await pool.give_back(line)

    def recheck(self, granted: snapshot.AllowedRequest, method: str, target: str) -> None:
        path, _, query = target.partition("?")
        if self.view.authorize(method, path, query).service != granted.service:
            raise errors.StaleConfigurationError("the blueprint changed while the request waited")

    async def enter(
        self, granted: snapshot.AllowedRequest, decision: forwarding_policies.ShieldWork
    ) -> tuple[service_limits.QuotaShareLimiter, float]:
        """A place under this shield's part of the ceiling, waited for briefly, then said no to at once."""
        rate, inflight = self.view.quota_share(granted.service, granted.limit)
        if granted.service not in self.shares:
            self.shares[granted.service] = service_limits.QuotaShareLimiter(
                self.context.clock, self.opened_at
            )
        share = self.shares[granted.service]
        wait_until = self.context.clock.now() + min(QUEUE_LIMIT, decision.remaining() / 3)
        if not rate or not inflight or share.is_opening(granted.deadline):
            raise errors.NoQuotaShareError(f"no share of {granted.service} is held here")
        while not share.enter(rate, inflight):
            if self.context.clock.now() >= wait_until:
                raise errors.LimitExceededError(f"{granted.service} is at its ceiling")
            await asyncio.sleep(0.01)
        return share, self.context.clock.now()


def create(
    context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot, connect: typing.Any
) -> Shield:
    return Shield(context, view, connect or connections.open_http)
