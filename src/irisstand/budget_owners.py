"""What the budget of a process asks of the connections and caches that use it."""

import typing


class Owner(typing.Protocol):
    """A connection that holds a part of the budget."""

    def is_evictable(self) -> bool:
        """Return whether the connection waits for its peer, so that closing it loses no work in progress."""
        ...

    def evict(self) -> None:
        """Close the connection at once."""
        ...


class Cache(typing.Protocol):
    """A cache whose entries give way to what the process holds for others."""

    size: int

    def shrink(self, limit: int) -> None:
        """Drop entries until they take up at most `limit` bytes."""
        ...
