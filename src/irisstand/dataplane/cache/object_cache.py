"""A cache bounded by bytes, the longest unused going first, and the merging of reads under way."""

import asyncio
import collections
import collections.abc
import typing

from irisstand.dataplane.cache import objects

ENTRY_OVERHEAD_BYTES = 300


class ObjectCache:
    """
    >>> from irisstand.state import versions
    >>> cache = ObjectCache(1000)
    >>> thing = objects.CachedObject(200, (), b"x" * 400, versions.NONE, 0.0, 0.0, 9.0, ())
    >>> cache.put("a", thing); cache.put("b", thing); cache.get("a") is None
    True
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.size = limit, 0
        self.entries: collections.OrderedDict[str, objects.CachedObject] = collections.OrderedDict()

    def get(self, key: str) -> objects.CachedObject | None:
        found = self.entries.get(key)
        if found is not None:
            self.entries.move_to_end(key)
        return found

    def put(self, key: str, thing: objects.CachedObject) -> None:
        self.drop(key)
        self.entries[key] = thing
        self.size += len(thing.body) + ENTRY_OVERHEAD_BYTES
        while self.size > self.limit:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        thing = self.entries.pop(key, None)
        if thing is not None:
            self.size -= len(thing.body) + ENTRY_OVERHEAD_BYTES


class RequestCoalescer:
    """Identical reads share one fetch. It ends with its last waiter, not with its first."""

    def __init__(self) -> None:
        self.in_flight: dict[typing.Hashable, tuple[asyncio.Task, list[int]]] = {}

    async def join(
        self, key: typing.Hashable, fetch: collections.abc.Callable[[], collections.abc.Coroutine]
    ) -> typing.Any:
        if key not in self.in_flight:
            task = asyncio.get_running_loop().create_task(fetch())
            self.in_flight[key] = (task, [0])
            task.add_done_callback(lambda done: self.ended(key, done))
        task, waiters = self.in_flight[key]
        waiters[0] += 1
        try:
            return await asyncio.shield(task)
        finally:
            waiters[0] -= 1
            # Nobody is left who wants it, so it should not go on towards an origin.
            if not waiters[0] and not task.done():
                task.cancel()
                self.forget(key, task)

    def ended(self, key: typing.Hashable, task: asyncio.Task) -> None:
        self.forget(key, task)
        if not task.cancelled():
            task.exception()

    def forget(self, key: typing.Hashable, task: asyncio.Task) -> None:
        if key in self.in_flight and self.in_flight[key][0] is task:
            del self.in_flight[key]
