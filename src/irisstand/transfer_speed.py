"""Measures how fast a connection moves bytes, over a short window of time."""

import collections.abc

# The speed is measured over one to two windows of this length.
WINDOW_SECONDS = 1.0


class TransferSpeed:
    """The bytes that a connection has moved lately, in both directions.

    Args:
        now: Returns the time in seconds.
    """

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.window_began_at = now()
        self.moved = 0
        self.moved_before = 0

    def add(self, length: int) -> None:
        """Count bytes that were moved."""
        now = self.now()
        age = now - self.window_began_at
        if age >= WINDOW_SECONDS:
            self.moved_before = self.moved if age < 2 * WINDOW_SECONDS else 0
            self.moved = 0
            self.window_began_at = now
        self.moved += length

    def recent_bytes(self) -> int:
        """Return the bytes that were moved in the current window and, at its beginning, the one before."""
        age = self.now() - self.window_began_at
        if age >= 2 * WINDOW_SECONDS:
            return 0
        return self.moved + (self.moved_before if age < WINDOW_SECONDS else 0)
