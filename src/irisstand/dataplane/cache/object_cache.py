"""An LRU cache of objects that is bounded by bytes, and the coalescing of equal requests."""

import asyncio
import collections
import collections.abc
import typing

from irisstand import resource_budget
from irisstand.dataplane.cache import objects

# The approximate memory that a cache entry uses beside the body of its object.
ENTRY_OVERHEAD_BYTES = 300

Result = typing.TypeVar("Result")


class ObjectCache:
    """A cache of objects by key that evicts the least recently used ones.

    Args:
        limit: The largest total size of all entries, in bytes.
        budget: The budget of the process, to whose other parts the cache gives way; None if there is none.

    >>> from irisstand.state import versions
    >>> cache = ObjectCache(1000)
    >>> content = objects.CachedObject(200, (), b"x" * 400, versions.NONE, 0.0, 0.0, 9.0, ())
    >>> cache.put("a", content); cache.put("b", content); cache.get("a") is None
    True
    """

    def __init__(self, limit: int, budget: resource_budget.ResourceBudget | None = None) -> None:
        self.limit = limit
        self.budget = budget
        if budget is not None:
            budget.caches.append(self)
        self.size = 0
        self.entries: collections.OrderedDict[str, objects.CachedObject] = collections.OrderedDict()

    def get(self, key: str) -> objects.CachedObject | None:
        """Return the object of a key and mark it as the most recently used one; None if it is not cached."""
        cached = self.entries.get(key)
        if cached is not None:
            self.entries.move_to_end(key)
        return cached

    def put(self, key: str, content: objects.CachedObject) -> None:
        """Cache an object, and evict the least recently used ones until all fit into the limit."""
        self.drop(key)
        self.entries[key] = content
        self.size += entry_bytes(content)
        self.shrink(self.limit if self.budget is None else min(self.limit, self.budget.room_for_cache()))

    def shrink(self, limit: int) -> None:
        """Drop the least recently used objects until all entries take up at most `limit` bytes."""
        while self.size > limit:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        """Remove the object of a key from the cache, if it is there."""
        cached = self.entries.pop(key, None)
        if cached is not None:
            self.size -= entry_bytes(cached)


def entry_bytes(content: objects.CachedObject) -> int:
    """Return the size in bytes by which an object counts towards the cache's limit."""
    return len(content.body) + ENTRY_OVERHEAD_BYTES


class SharedFetch:
    """A fetch in flight, with the number of requests that wait for its result."""

    def __init__(self, task: asyncio.Task[typing.Any]) -> None:
        self.task = task
        self.waiters = 0


class RequestCoalescer:
    """Lets equal requests share one fetch, which is cancelled when the last waiting request is cancelled."""

    def __init__(self) -> None:
        self.in_flight: dict[typing.Hashable, SharedFetch] = {}

    def is_in_flight(self, key: typing.Hashable) -> bool:
        """Return whether a fetch with the given key is in flight."""
        return key in self.in_flight

    async def join(
        self,
        key: typing.Hashable,
        fetch: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, Result]],
    ) -> Result:
        """Return the result of the fetch with the given key, and start that fetch if none is in flight.

        Args:
            key: The key of the fetch; requests that may share a result have equal keys.
            fetch: Returns the coroutine that fetches.

        Raises:
            Exception: The fetch raised it.
        """
        if not self.is_in_flight(key):
            task = asyncio.get_running_loop().create_task(fetch())
            self.in_flight[key] = SharedFetch(task)
            task.add_done_callback(lambda done: self.on_done(key, done))
        shared = self.in_flight[key]
        shared.waiters += 1
        try:
            result: Result = await asyncio.shield(shared.task)
            return result
        finally:
            shared.waiters -= 1
            # No request waits for the fetch any more, so it must not go on to load an origin.
            if not shared.waiters and not shared.task.done():
                shared.task.cancel()
                self.forget(key, shared.task)

    def on_done(self, key: typing.Hashable, task: asyncio.Task[typing.Any]) -> None:
        """Forget a fetch that ended, and retrieve its exception: asyncio logs one that nobody retrieves."""
        self.forget(key, task)
        if not task.cancelled():
            task.exception()

    def forget(self, key: typing.Hashable, task: asyncio.Task[typing.Any]) -> None:
        """Forget a fetch, unless a newer fetch is in flight under the same key."""
        if key in self.in_flight and self.in_flight[key].task is task:
            del self.in_flight[key]
