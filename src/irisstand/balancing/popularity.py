"""Finds popular objects: those that more than one shield should serve, because of their request rate."""

import collections

from irisstand import clocks

WINDOW_SECONDS = 2.0
# The rate of fetches of one object by one edge. Eight edges at this rate exceed the planned load of a shield.
POPULAR_REQUESTS_PER_SECOND = 25.0


class PopularityCounter:
    """Counts fetches by key in the current time window and the previous one; older counts are dropped.

    >>> class Stopped:
    ...     def now(self): return 1.0
    >>> counter = PopularityCounter(Stopped())
    >>> [counter.record("a") for _ in range(60)].count(True), counter.record("b")
    (10, False)
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.window_started_at = clock.now()
        self.counts: collections.Counter[str] = collections.Counter()
        self.previous_counts: collections.Counter[str] = collections.Counter()

    def record(self, key: str) -> bool:
        """Count one fetch of an object, and return whether its key is popular."""
        elapsed = self.clock.now() - self.window_started_at
        if elapsed >= WINDOW_SECONDS:
            self.start_window(elapsed)
        self.counts[key] += 1
        count = max(self.counts[key], self.previous_counts[key])
        return count > POPULAR_REQUESTS_PER_SECOND * WINDOW_SECONDS

    def start_window(self, elapsed: float) -> None:
        """Begin a new window; keep the old counts only if that window ended just before the new one."""
        is_adjacent = elapsed < 2 * WINDOW_SECONDS
        self.previous_counts = self.counts if is_adjacent else collections.Counter()
        self.counts = collections.Counter()
        self.window_started_at = self.clock.now()
