"""Reads objects for clients and other nodes: from the cache, from an object holder, or from an origin."""

import asyncio
import collections.abc
import functools
import typing

from irisstand import errors, node_context
from irisstand.dataplane.cache import (
    body_owners,
    fetched_objects,
    object_cache,
    object_lookup,
    objects,
    refetches,
    request_coalescer,
    stored_body,
)
from irisstand.dataplane.retry import freshness_policy, refetch_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import client, response_stream
from irisstand.state import versions

MIN_TIMEOUT_SECONDS = 0.01
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304


# Fetches an object without asking a holder; takes the timeout in seconds.
FetchFromOrigin = collections.abc.Callable[
    [float], collections.abc.Coroutine[typing.Any, typing.Any, objects.CachedObject]
]
# Fetches an object from its holder. Takes the lookup, the minimum ledger version, the seconds until the
# deadline, the object in this node's cache, and the fetch to use where there is no holder or it failed.
FetchFromHolder = collections.abc.Callable[
    [object_lookup.ObjectLookup, versions.Version, float, objects.CachedObject | None, FetchFromOrigin],
    collections.abc.Coroutine[typing.Any, typing.Any, objects.CachedObject],
]


class ObjectReader:
    """Reads objects through this node's cache; equal reads share one fetch.

    Args:
        context: The node's context.
        view: The replicated configuration and purges.
        origins: The client that sends requests to origins.
        fetch_from_holder: Fetches an object from its holder, or without one where it has none.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        origins: client.UpstreamClient,
        fetch_from_holder: FetchFromHolder,
    ) -> None:
        self.context = context
        self.view = view
        self.origins = origins
        self.fetch_from_holder = fetch_from_holder
        self.header_names = origins.header_names
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes, context.budget)
        # A holder passes on no large objects: its requests may share the fetch that shows that one is large.
        self.is_holder = context.role == "holder"
        self.coalescer = request_coalescer.RequestCoalescer()

    async def read(
        self, lookup: object_lookup.ObjectLookup, minimum_version: versions.Version = versions.NONE
    ) -> objects.CachedObject:
        """Return an object that may be served now: neither expired nor purged.

        Args:
            lookup: The object to read, and the deadline.
            minimum_version: The oldest ledger version at which the object may have been fetched; the node
                that sent the read knows of purges up to this version.

        Raises:
            errors.DeadlineExceededError: No object that may be served arrived before the deadline.
            errors.LimitExceededError: The object has to be fetched again, and no retry is left.
            errors.DrainingError: This holder began to shut down, and the object has to be fetched again.
            errors.IrisError: The holder or the origins raised it.
        """
        again = self.refetches_of(lookup)
        minimum = max(minimum_version, self.view.newest_purge(lookup.purge_path, ()))
        cached = self.usable_from_cache(lookup, minimum)
        if cached is not None:
            self.context.counters.add("cache", at=self.context.role, result="hit")
            return cached
        self.context.counters.add("cache", at=self.context.role, result="miss")
        while True:
            fetched = await self.fetch_shared(lookup, minimum, again)
            is_usable = fetched.applied >= minimum and freshness_policy.is_servable(
                fetched, lookup.purge_path, self.view, self.context.clock.now()
            )
            if fetched.ttl <= 0 or is_usable:
                return self.keep_while_read(lookup, fetched)
            if isinstance(fetched.body, response_stream.ResponseStream):
                fetched.body.close()
            # The object was purged or expired in flight, so it is fetched again within the same deadline.
            self.check_may_fetch_again()
            minimum = max(minimum, self.view.newest_purge(lookup.purge_path, fetched.tags))
            await again.prepare(refetches.RefetchReason.OUTDATED)

    def refetches_of(self, lookup: object_lookup.ObjectLookup) -> refetches.Refetches:
        """Return the further fetches of a read that begins now."""
        clock = self.context.clock
        retry_policy = refetch_policy.RefetchPolicy(
            clock,
            clock.now() + lookup.remaining,
            lookup.route.attempts,
            self.origins.budget(lookup.service),
        )
        return refetches.Refetches(self.context, self.header_names, lookup, retry_policy)

    def check_may_fetch_again(self) -> None:
        """Check that this node may begin another fetch for a read that it has accepted.

        Raises:
            errors.DrainingError: This holder is shutting down; the requesting node has time left to fetch.
        """
        if self.is_holder and self.context.is_draining:
            raise errors.DrainingError("this holder is shutting down")

    def keep_while_read(
        self, lookup: object_lookup.ObjectLookup, fetched: objects.CachedObject
    ) -> objects.CachedObject:
        """Have a large object that may be cached kept while its client reads it."""
        is_large = isinstance(fetched.body, response_stream.ResponseStream)
        if fetched.ttl <= 0 or not is_large or self.is_holder:
            return fetched
        return fetched._replace(body=self.cache.fill(lookup.key, fetched))

    def usable_from_cache(
        self, lookup: object_lookup.ObjectLookup, minimum_version: versions.Version
    ) -> objects.CachedObject | None:
        """Return the cached object if it is neither expired nor purged, else None."""
        cached = self.cache.get(lookup.key)
        if cached is None:
            return None
        # If the route's TTL was reduced since the object was fetched, the reduced TTL applies.
        cached = cached._replace(ttl=min(cached.ttl, lookup.route.cache_life))
        is_usable = freshness_policy.is_usable(
            cached, lookup.purge_path, self.view, minimum_version, self.context.clock.now()
        )
        return cached if is_usable else None

    async def fetch_shared(
        self,
        lookup: object_lookup.ObjectLookup,
        minimum_version: versions.Version,
        again: refetches.Refetches,
    ) -> objects.CachedObject:
        """Fetch the object, or wait for an equal fetch that is in flight.

        A large object is passed on to one of the requests that wait, and a failure only to the request that
        started the fetch; the others fetch for themselves.

        Raises:
            errors.DeadlineExceededError: The object did not arrive before the deadline of the read.
        """
        key: typing.Hashable = (lookup.key, minimum_version, lookup.is_forwarded)
        while True:
            is_joined = self.coalescer.is_in_flight(key)
            try:
                fetched = await self.join(key, minimum_version, again)
            except errors.DeadlineExceededError:
                # A shared fetch ends at the deadline of the request that started it; this request may have
                # time left, and then fetches again.
                if not is_joined or again.remaining() < refetch_policy.MINIMUM_FETCH_SECONDS:
                    raise
                await again.prepare(refetches.RefetchReason.SHARED_DEADLINE)
                continue
            if is_joined and not objects.is_shareable(fetched):
                # The response belongs to the request that started the fetch.
                reason = refetches.RefetchReason.NOT_SHAREABLE
            elif not self.is_holder and body_owners.is_taken(fetched.body):
                reason = refetches.RefetchReason.BODY_LOST
            else:
                return fetched
            # No other request shares the next fetch of this one.
            key = (key, object())
            await again.prepare(reason)

    async def join(
        self,
        key: typing.Hashable,
        minimum_version: versions.Version,
        again: refetches.Refetches,
    ) -> objects.CachedObject:
        """Return the result of the fetch with a key, which is started if none is in flight.

        Raises:
            errors.DeadlineExceededError: The object did not arrive before the deadline of the read.
        """
        seconds_left = again.remaining()
        fetch = functools.partial(self.fetch, again.next_lookup(), minimum_version, seconds_left)
        if not self.coalescer.is_in_flight(key):
            again.has_fetched = True
        try:
            async with asyncio.timeout(max(MIN_TIMEOUT_SECONDS, seconds_left)):
                fetched: objects.CachedObject = await self.coalescer.join(key, fetch)
        except TimeoutError:
            raise errors.DeadlineExceededError(
                "no origin sent a complete response before the deadline"
            ) from None
        return fetched

    async def fetch(
        self, lookup: object_lookup.ObjectLookup, minimum_version: versions.Version, remaining: float
    ) -> objects.CachedObject:
        """Fetch the object from its holder, or else from an origin, and cache it if it has a TTL."""
        cached = self.cache.get(lookup.key)
        fetch_from_origin = functools.partial(self.fetch_from_origin, lookup, minimum_version, cached)
        with self.context.count_in_flight(), body_owners.keep(cached):
            fetched = await self.fetch_from_holder(
                lookup, minimum_version, remaining, cached, fetch_from_origin
            )
            if fetched.ttl > 0 and isinstance(fetched.body, (bytes, stored_body.StoredBody)):
                self.cache.put(lookup.key, fetched)
        return fetched

    async def fetch_from_origin(
        self,
        lookup: object_lookup.ObjectLookup,
        minimum_version: versions.Version,
        cached: objects.CachedObject | None,
        remaining: float,
    ) -> objects.CachedObject:
        """Fetch the object from an origin, or have the origin revalidate the cached one by its entity tag."""
        cached_etag = object_lookup.etag_of(cached)
        headers = object_lookup.headers_for_origin(lookup.request, cached_etag)
        # The fetch begins now, so its object is newer than every purge that this node, or the node that sent
        # the read, knows of.
        applied = max(self.context.ledger.applied, minimum_version)
        sent_at = self.context.clock.now()
        answer = await self.origins.fetch(lookup.route, lookup.service, lookup.request, headers, remaining)
        ttl = lookup.route.cache_life
        if answer.status == STATUS_NOT_MODIFIED and cached is not None and cached_etag:
            self.context.counters.add("cache", at=self.context.role, result="revalidated")
            fetched = cached._replace(applied=applied, age=0.0, as_of=sent_at, ttl=ttl)
        else:
            if answer.status != STATUS_OK or "set-cookie" in answer.headers:
                ttl = 0.0
            fetched = fetched_objects.from_answer(self.header_names, answer, applied, sent_at, ttl)
        fetched_objects.record(self.header_names, lookup, answer.status, fetched)
        return fetched
