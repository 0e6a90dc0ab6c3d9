"""Finds objects that are requested so often that more than one shield should serve them."""

import collections

from irisstand import clocks

WINDOW_SECONDS = 2.0
# Fetches by one edge; eight edges at this rate are more than the planned load of one shield.
POPULAR_REQUESTS_PER_SECOND = 25.0


class PopularityCounter:
    """Counts fetches by key over the present window and the one before it; older counts are dropped.

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
        """Count one fetch, and return whether the key is popular."""
        elapsed = self.clock.now() - self.window_started_at
        if elapsed >= WINDOW_SECONDS:
            self.start_window(elapsed)
        self.counts[key] += 1
        count = max(self.counts[key], self.previous_counts[key])
        return count > POPULAR_REQUESTS_PER_SECOND * WINDOW_SECONDS

    def start_window(self, elapsed: float) -> None:
        """Begin a new window; counts of a window that ended longer ago are dropped."""
        is_adjacent = elapsed < 2 * WINDOW_SECONDS
        self.previous_counts = self.counts if is_adjacent else collections.Counter()
        self.counts = collections.Counter()
        self.window_started_at = self.clock.now()
