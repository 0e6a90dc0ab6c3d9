"""Heat: which objects are asked for so often that one shield should not bear them alone."""

import collections

from irisstand import clocks

WINDOW = 2.0
# Fetches a second by one edge; eight edges at this rate are more than a shield is counted on for.
HOT = 25.0


class Heat:
    """Counts by key over one window and the one before it; nothing is kept of older ones.

    >>> class Stopped:
    ...     def now(self): return 1.0
    >>> heat = Heat(Stopped())
    >>> [heat.note("a") for _ in range(60)].count(True), heat.note("b")
    (10, False)
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.began = clock.now()
        self.counts: collections.Counter[str] = collections.Counter()
        self.before: collections.Counter[str] = collections.Counter()

    def note(self, key: str) -> bool:
        """Count one fetch; True if the key is hot."""
        elapsed = self.clock.now() - self.began
        if elapsed >= WINDOW:
            self.before = self.counts if elapsed < 2 * WINDOW else collections.Counter()
            self.counts = collections.Counter()
            self.began = self.clock.now()
        self.counts[key] += 1
        return max(self.counts[key], self.before[key]) > HOT * WINDOW
