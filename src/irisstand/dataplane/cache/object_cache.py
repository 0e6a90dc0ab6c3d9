"""An LRU cache of objects that is bounded by bytes."""

import collections

from irisstand import resource_budget
from irisstand.dataplane.cache import objects, stored_body
from irisstand.http1 import body_source

# An object whose body is passed on is kept if it takes up no more than this part of the cache's room.
FILL_FRACTION = 0.25
# The approximate memory that a cache entry uses beside the body of its object.
ENTRY_OVERHEAD_BYTES = 300


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
        # The large bodies that are being passed on, the oldest first; their bytes are in `size`.
        self.fills: dict[stored_body.CacheFill, None] = {}

    def get(self, key: str) -> objects.CachedObject | None:
        """Return the object of a key and mark it as the most recently used one; None if it is not cached."""
        cached = self.entries.get(key)
        if cached is not None:
            self.entries.move_to_end(key)
        return cached

    def put(self, key: str, content: objects.CachedObject) -> None:
        """Cache an object, and evict the least recently used ones until all fit into the limit."""
        previous = self.entries.get(key)
        # A revalidated object comes back with the same body.
        if previous is None or previous.body is not content.body:
            self.drop(key)
        else:
            self.size -= entry_bytes(previous)
        self.entries[key] = content
        self.entries.move_to_end(key)
        if isinstance(content.body, stored_body.StoredBody):
            content.body.is_cached = True
        self.size += entry_bytes(content)
        self.shrink(self.room())

    def room(self) -> int:
        """Return the bytes that all entries may take up now."""
        return self.limit if self.budget is None else min(self.limit, self.budget.room_for_cache())

    def shrink(self, limit: int) -> None:
        """Drop the least recently used objects, then fills, until all take up at most `limit` bytes."""
        while self.size > limit and self.entries:
            self.drop(next(iter(self.entries)))
        while self.size > limit and self.fills:
            next(iter(self.fills)).drop()

    def drop(self, key: str) -> None:
        """Remove the object of a key from the cache, if it is there."""
        cached = self.entries.pop(key, None)
        if cached is not None:
            self.size -= entry_bytes(cached)
            if isinstance(cached.body, stored_body.StoredBody):
                cached.body.drop()

    def fill(self, key: str, content: objects.CachedObject) -> body_source.BodySource:
        """Return the body of an object that is passed on; once it is complete, the object is cached.

        Args:
            key: The key of the object.
            content: The object, whose body is a source.
        """
        source = content.body
        assert not isinstance(source, (bytes, stored_body.StoredBody)), "only bodies that are passed on"
        if source.length is None or source.length > FILL_FRACTION * self.room():
            return source

        def on_complete(_: stored_body.CacheFill, pieces: list[bytes]) -> None:
            self.put(key, content._replace(body=stored_body.StoredBody(pieces, self.budget)))

        fill = stored_body.CacheFill(source.length, self._resize_fill, on_complete)
        self.fills[fill] = None
        return stored_body.FillingSource(source, fill)

    def _resize_fill(self, fill: stored_body.CacheFill, growth: int) -> None:
        self.size += growth
        if not fill.is_open:
            self.fills.pop(fill, None)
        elif growth > 0:
            self.shrink(self.room())


def entry_bytes(content: objects.CachedObject) -> int:
    """Return the size in bytes by which an object counts towards the cache's limit."""
    body = content.body
    length = len(body) if isinstance(body, bytes) else body.length or 0
    return length + ENTRY_OVERHEAD_BYTES
