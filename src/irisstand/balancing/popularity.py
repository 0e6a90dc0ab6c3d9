"""Heat: which objects are asked for so often that one shield should not bear them alone."""

import collections

from irisstand import clocks

WINDOW_SECONDS = 2.0
# Fetches a second by one edge; eight edges at this rate are more than a shield is counted on for.
POPULAR_REQUESTS_PER_SECOND = 25.0


class PopularityCounter:
    """Counts by key over one window and the one before it; nothing is kept of older ones.

    >>> class Stopped:
    ...     def now(self): return 1.0
    >>> heat = Heat(Stopped())
    >>> [heat.note("a") for _ in range(60)].count(True), heat.note("b")
    (10, False)
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.window_started_at = clock.now()
        self.counts: collections.Counter[str] = collections.Counter()
        self.previous_counts: collections.Counter[str] = collections.Counter()

    def record(self, key: str) -> bool:
        """Count one fetch; True if the key is hot."""
        elapsed = self.clock.now() - self.window_started_at
        if elapsed >= WINDOW_SECONDS:
            self.previous_counts = self.counts if elapsed < 2 * WINDOW_SECONDS else collections.Counter()
            self.counts = collections.Counter()
            self.window_started_at = self.clock.now()
        self.counts[key] += 1
        return max(self.counts[key], self.previous_counts[key]) > POPULAR_REQUESTS_PER_SECOND * WINDOW_SECONDS
