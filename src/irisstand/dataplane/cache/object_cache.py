"""A cache bounded by bytes that drops the least recently used object; coalescing of equal requests."""

import asyncio
import collections
import collections.abc
import typing

from irisstand.dataplane.cache import objects

# What an entry costs beside its body, about.
ENTRY_OVERHEAD_BYTES = 300

Result = typing.TypeVar("Result")


class ObjectCache:
    """Objects by key, the least recently used first.

    Args:
        limit: The most bytes of all entries together.

    >>> from irisstand.state import versions
    >>> cache = ObjectCache(1000)
    >>> content = objects.CachedObject(200, (), b"x" * 400, versions.NONE, 0.0, 0.0, 9.0, ())
    >>> cache.put("a", content); cache.put("b", content); cache.get("a") is None
    True
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.entries: collections.OrderedDict[str, objects.CachedObject] = collections.OrderedDict()

    def get(self, key: str) -> objects.CachedObject | None:
        """Return the object, which becomes the most recently used one; None if there is none."""
        cached = self.entries.get(key)
        if cached is not None:
            self.entries.move_to_end(key)
        return cached

    def put(self, key: str, content: objects.CachedObject) -> None:
        """Keep the object, and drop others until all fit into the limit."""
        self.drop(key)
        self.entries[key] = content
        self.size += entry_bytes(content)
        while self.size > self.limit:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        """Drop the object, if there is one."""
        cached = self.entries.pop(key, None)
        if cached is not None:
            self.size -= entry_bytes(cached)


def entry_bytes(content: objects.CachedObject) -> int:
    """Return what an object counts in the cache, in bytes."""
    return len(content.body) + ENTRY_OVERHEAD_BYTES


class SharedFetch:
    """A fetch in flight, and the number of requests that wait for it."""

    def __init__(self, task: asyncio.Task[typing.Any]) -> None:
        self.task = task
        self.waiters = 0


class RequestCoalescer:
    """Lets equal requests share one fetch; it is cancelled with its last waiter, not with its first."""

    def __init__(self) -> None:
        self.in_flight: dict[typing.Hashable, SharedFetch] = {}

    def is_in_flight(self, key: typing.Hashable) -> bool:
        """Return whether a fetch with this key is in flight."""
        return key in self.in_flight

    async def join(
        self,
        key: typing.Hashable,
        fetch: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, Result]],
    ) -> Result:
        """Wait for the fetch with this key, which is begun if none is in flight.

        Args:
            key: Equal for requests that may have the same result.
            fetch: Begins the fetch.

        Raises:
            Exception: Whatever the fetch raises.
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
            # Nobody waits for the fetch any more, so it should not go on towards an origin.
            if not shared.waiters and not shared.task.done():
                shared.task.cancel()
                self.forget(key, shared.task)

    def on_done(self, key: typing.Hashable, task: asyncio.Task[typing.Any]) -> None:
        """Forget a fetch that ended; its exception counts as retrieved, also where nobody waits for it."""
        self.forget(key, task)
        if not task.cancelled():
            task.exception()

    def forget(self, key: typing.Hashable, task: asyncio.Task[typing.Any]) -> None:
        """Forget the fetch, unless a new one has its key."""
        if key in self.in_flight and self.in_flight[key].task is task:
            del self.in_flight[key]
