"""The shield role: it receives reads and writes from nodes of role `edge`, and sends them to origins.

A request passes `on_read` or `on_write`, then `admit`, which checks that this node may serve and what the
configuration allows, for reads the cache and the store, then the origin client; its result returns the same
way.
"""

import asyncio
import functools
import typing

from irisstand import errors, node_context
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane import messages
from irisstand.dataplane.cache import object_cache, objects, request_coalescer
from irisstand.dataplane.nodes import idempotency_keys, store_client
from irisstand.dataplane.retry import (
    actions,
    events,
    forwarding_policy,
    freshness_policy,
    policy,
    read_policy,
    write_policy,
)
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import connections, origin_client, origin_pool
from irisstand.state import versions

# Retries of shields as a fraction of first attempts. With the fraction of the edges (0.07) this stays under
# the fifth that is allowed over the whole fleet.
RETRY_SHARE = 0.10
RETRY_ALLOWANCE = 1
CATCH_UP_TIMEOUT_SECONDS = 1.0
CATCH_UP_POLL_SECONDS = 0.01

WritePolicy = write_policy.ShieldWritePolicy[connections.Answer]


class Admitted(typing.NamedTuple):
    """What the configuration allows for an admitted request, and the seconds until its deadline."""

    allowed: configuration_view.AllowedRequest
    remaining_seconds: float


class Shield:
    """Answers reads and writes of edges from its cache, from stores and from origins."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        open_connection: connections.ConnectionOpener,
    ) -> None:
        self.context = context
        self.view = view
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes, context.budget)
        self.coalescer = request_coalescer.RequestCoalescer()
        self.stores = store_client.StoreClient(context, view)
        self.origins = origin_pool.OriginPool(context, view, open_connection)
        self.origin_client = origin_client.OriginClient(context, view, self.origins)
        self.budget = budgets.RetryBudget(context.clock, RETRY_SHARE, RETRY_ALLOWANCE)
        self.idempotency_keys = idempotency_keys.IdempotencyKeys(context)
        context.transport.handlers[messages.RequestKind.READ] = self.on_read
        context.transport.handlers[messages.RequestKind.WRITE] = self.on_write

    async def on_read(self, _: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Answer a read that an edge sent."""
        request = messages.ReadRequest.from_wire(body)
        allowed, remaining = await self.admit(request)
        with self.context.count_in_flight():
            content = await self.read(allowed, request, min(remaining, allowed.deadline))
            return messages.ReadResult(allowed.service, content).to_wire(self.context.clock.now())

    async def on_write(self, _: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Answer a write that an edge sent."""
        request = messages.WriteRequest.from_wire(body)
        allowed, remaining = await self.admit(request)
        with self.context.count_in_flight():
            # The deadline runs from here on, so that claiming the idempotency key counts towards it.
            retry_policy: WritePolicy = write_policy.ShieldWritePolicy(self.context.clock, allowed, remaining)
            origin_request = origin_client.OriginRequest(
                request.method, request.target, dict(request.headers), request.content, request.request_id
            )
            write = functools.partial(self.write, allowed, retry_policy, origin_request)
            return tuple(await self.idempotency_keys.run_once(allowed, origin_request, write))

    async def admit(self, request: messages.ReadRequest | messages.WriteRequest) -> Admitted:
        """Admit a request that an edge authorized by the configuration version `request.applied_version`.

        Raises:
            DrainingError: This shield is shutting down.
            StaleConfigurationError: This shield's replicas are not current, or older than the edge's.
            IrisError: The configuration does not allow the request.
        """
        started = self.context.clock.now()
        if self.context.is_draining:
            raise errors.DrainingError("this shield is shutting down")
        self.context.load_gauge.record()
        # The edge may have a newer configuration, by which the request must not go where an older one allows.
        # So the shield waits until its replica has the edge's version.
        while self.context.configuration.applied < request.applied_version:
            waited = self.context.clock.now() - started
            if waited > min(CATCH_UP_TIMEOUT_SECONDS, request.remaining_seconds / 2):
                raise errors.StaleConfigurationError(
                    "this shield's configuration is older than that of the edge"
                )
            await asyncio.sleep(CATCH_UP_POLL_SECONDS)
        self.view.check_current()
        remaining = request.remaining_seconds - (self.context.clock.now() - started)
        return Admitted(self.view.authorize(request.method, request.path, request.query), remaining)

    async def read(
        self, allowed: configuration_view.AllowedRequest, request: messages.ReadRequest, remaining: float
    ) -> objects.CachedObject:
        """Return an object from this shield's cache, from a store or from an origin."""
        if not request.is_shared:
            return await self.fetch(allowed, request, remaining)
        key = repr((allowed.service, request.path, request.query, sorted(request.headers.items())))
        # The newest purge that the edge knows applies here too, though this node may not have received it.
        minimum_version = max(request.minimum_version, self.view.newest_purge(request.path, ()))
        cached = self.cache.get(key)
        if cached is not None:
            if self.is_usable(cached, request.path, minimum_version):
                self.context.counters.add("cache", at="shield", result="hit")
                return cached
            self.cache.drop(key)
        self.context.counters.add("cache", at="shield", result="miss")
        versioned_request = request._replace(minimum_version=minimum_version)
        fetch = functools.partial(self.read_through_store, key, allowed, versioned_request, remaining)
        is_joined, started = self.coalescer.is_in_flight((key, minimum_version)), self.context.clock.now()
        fetched: objects.CachedObject = await self.coalescer.join((key, minimum_version), fetch)
        if is_joined and not objects.is_shareable(fetched):
            waited = self.context.clock.now() - started
            return await self.fetch(allowed, versioned_request, remaining - waited)
        return fetched

    def is_usable(self, cached: objects.CachedObject, path: str, minimum_version: versions.Version) -> bool:
        """Return whether a cached object may be served now: neither expired nor purged."""
        now = self.context.clock.now()
        return freshness_policy.is_usable(cached, path, self.view, minimum_version, now)

    async def read_through_store(
        self,
        key: str,
        allowed: configuration_view.AllowedRequest,
        request: messages.ReadRequest,
        remaining: float,
    ) -> objects.CachedObject:
        """Return a shared object from its store, or else from an origin, and cache it."""
        store = self.stores.store_for(key)
        started = self.context.clock.now()
        if store is not None:
            stored = await self.stores.get(store, key, request.path, request.minimum_version)
            if stored is not None:
                self.cache.put(key, stored)
                return stored
        remaining -= self.context.clock.now() - started
        fetched = await self.fetch(allowed, request, remaining)
        if fetched.ttl > 0:
            self.cache.put(key, fetched)
            if store is not None:
                self.context.start_task(self.stores.put(store, key, fetched), "keep in store")
        return fetched

    async def fetch(
        self, allowed: configuration_view.AllowedRequest, request: messages.ReadRequest, remaining: float
    ) -> objects.CachedObject:
        """Return an object that is fetched from an origin."""
        retry_policy = read_policy.ShieldReadPolicy(self.context.clock, allowed, remaining, self.budget)
        origin_request = origin_client.OriginRequest(
            "GET", request.target, request.headers, b"", request.request_id
        )

        async def attempt(_: actions.SendAttempt) -> forwarding_policy.ToOriginEvent[objects.CachedObject]:
            # The fetch begins now, so its object is newer than every purge that this node or the edge knows.
            applied = max(self.context.ledger.applied, request.minimum_version)
            sent_at = self.context.clock.now()
            event = await self.origin_client.attempt(allowed, origin_request, retry_policy)
            if not isinstance(event, events.ResponseReceived):
                return event
            status, headers, body = event.response
            content = objects.from_origin(status, headers, body, applied, sent_at, allowed.ttl)
            return events.ResponseReceived(content, event.endpoint)

        return policy.response_of(await policy.execute(retry_policy, attempt))

    async def write(
        self,
        allowed: configuration_view.AllowedRequest,
        retry_policy: WritePolicy,
        request: origin_client.OriginRequest,
    ) -> messages.WriteResult:
        """Send a write to an origin, at most once."""

        async def attempt(_: actions.SendAttempt) -> forwarding_policy.ToOriginEvent[connections.Answer]:
            return await self.origin_client.attempt(allowed, request, retry_policy)

        status, headers, body = policy.response_of(await policy.execute(retry_policy, attempt))
        content = objects.from_origin(status, headers, body, versions.NONE, 0.0, 0.0)
        return messages.WriteResult(status, content.headers, body)


def create(
    context: node_context.NodeContext, view: configuration_view.ConfigurationView, connect: typing.Any
) -> Shield:
    """Create the shield of a node; `connect` opens connections to origins, None stands for network ones."""
    return Shield(context, view, connect or functools.partial(connections.open_http, budget=context.budget))
