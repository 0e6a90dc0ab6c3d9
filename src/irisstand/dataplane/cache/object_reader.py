"""Objects for an edge's clients: from its own cache, from the node that holds them, or from an origin."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.dataplane.cache import object_cache, objects
from irisstand.dataplane.http import header_names as vocabularies
from irisstand.dataplane.retry import freshness_policy
from irisstand.dataplane.routing import routes, snapshot
from irisstand.dataplane.upstream import client, upstream_request
from irisstand.state import versions

# What must not reach an origin when the whole object is wanted for all.
CONDITIONAL_HEADERS = frozenset(
    (
        "range",
        "if-range",
        "if-none-match",
        "if-modified-since",
        "if-match",
        "if-unmodified-since",
        "accept-encoding",
    )
)
# Of a deadline: what is left when nothing is asked for again.
MIN_REMAINING_SECONDS = 0.02


class ReadRequest(typing.NamedTuple):
    """One reading of one object. `service` is the one that the route gave; `remaining` in seconds.

    `is_last` is set where another holder asks: nobody else is asked then but an origin.
    """

    route: routes.Route
    service: str
    request: upstream_request.Request
    remaining: float
    is_forwarded: bool = False

    @property
    def key(self) -> str:
        return f"{self.service} {self.request.host}{self.request.target.decode('latin-1')}"

    @property
    def purge_path(self) -> str:
        return f"{self.request.host}{self.request.path}"


class ObjectReader:
    """`ask_holder` is asked before an origin: the object, or None where nobody else holds it or answers."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        origins: client.UpstreamClient,
        ask_holder: typing.Any,
    ) -> None:
        self.context, self.view, self.origins, self.ask_holder = context, view, origins, ask_holder
        self.header_names = origins.header_names
        self.cache = object_cache.ObjectCache(context.settings.cache_bytes)
        self.coalescer = object_cache.RequestCoalescer()

    async def read(self, asked: ReadRequest, floor: versions.Version = versions.NONE) -> objects.CachedObject:
        """The whole object, good to be given out now; a purge up to `floor` is known to whoever asks."""
        deadline = self.context.clock.now() + asked.remaining
        floor = max(floor, self.view.purged_at(asked.purge_path, ()))
        found = self.cached(asked)
        if found is not None:
            if freshness_policy.is_usable(
                found, asked.purge_path, self.view, floor, self.context.clock.now()
            ):
                self.context.counters.add("cache", at=self.context.role, result="hit")
                return found
        self.context.counters.add("cache", at=self.context.role, result="miss")
        while True:
            left = deadline - self.context.clock.now()
            obtain = self.coalescer.join(
                (asked.key, floor, asked.is_forwarded),
                lambda left=left, floor=floor: self.obtain(asked, floor, left),
            )
            try:
                async with asyncio.timeout(max(0.01, left)):
                    thing = await obtain
            except TimeoutError:
                raise errors.DeadlineExceededError("no origin gave a whole answer in time") from None
            is_good = thing.applied >= floor and freshness_policy.is_fit(
                thing, asked.purge_path, self.view, self.context.clock.now()
            )
            if thing.ttl <= 0 or is_good:
                return thing
            # Struck by a purge while it was under way: fetched again, within the one deadline.
            floor = max(floor, self.view.purged_at(asked.purge_path, thing.tags))
            if deadline - self.context.clock.now() < MIN_REMAINING_SECONDS:
                raise errors.DeadlineExceededError("no answer was still good by the time that it came")

    def cached(self, asked: ReadRequest) -> objects.CachedObject | None:
        found = self.cache.get(asked.key)
        # The row's own life, should it have been shortened since.
        return None if found is None else found._replace(ttl=min(found.ttl, asked.route.cache_life))

    async def obtain(
        self, asked: ReadRequest, floor: versions.Version, remaining: float
    ) -> objects.CachedObject:
        started = self.context.clock.now()
        known = self.cache.get(asked.key)
        with self.context.count_in_flight():
            thing = await self.ask_holder(asked, floor, remaining, known)
            if thing is None:
                left = remaining - (self.context.clock.now() - started)
                thing = await self.fetch(asked, floor, left, known)
        if thing.ttl > 0:
            self.cache.put(asked.key, thing)
        return thing

    async def fetch(
        self,
        asked: ReadRequest,
        floor: versions.Version,
        remaining: float,
        known: objects.CachedObject | None,
    ) -> objects.CachedObject:
        given = asked.request.headers.items()
        headers = [(n, v) for n, v in given if n not in upstream_request.HOP and n not in CONDITIONAL_HEADERS]
        # What has outlived its life, or was struck by a purge, may still be the newest there is: then only
        # a word of that comes back, and no bytes.
        known_tag = etag_of(known)
        if known_tag:
            headers.append(("if-none-match", known_tag))
        # Fetched from now on, so at least as new as everything that this node, or who asks it, has heard of.
        applied, asked_at = max(self.context.ledger.applied, floor), self.context.clock.now()
        answer = await self.origins.fetch(asked.route, asked.service, asked.request, headers, remaining)
        life = asked.route.cache_life
        if answer.status == 304 and known is not None and known_tag:
            self.context.counters.add("cache", at=self.context.role, result="revalidated")
            return known._replace(applied=applied, age=0.0, as_of=asked_at, ttl=life)
        kept = tuple((n, v) for n, v in answer.headers.items() if n != self.header_names.request_id)
        tags = vocabularies.split_tags(self.header_names, answer.headers.get(self.header_names.tags, ""))
        if answer.status != 200 or "set-cookie" in answer.headers:
            life = 0.0
        return objects.CachedObject(answer.status, kept, answer.body, applied, 0.0, asked_at, life, tags)


def etag_of(thing: objects.CachedObject | None) -> str | None:
    return None if thing is None else dict(thing.headers).get("etag")
