"""The retry budget: a fraction of the first attempts of the last ten seconds, and a few retries more."""

from irisstand import clocks
from irisstand.balancing import sliding_window

WINDOW_SECONDS = 10.0


class RetryBudget:
    """Counts first attempts and retries of one node.

    The fractions that edges and shields are given add up to less than the fifth that is allowed in all.

    Args:
        clock: Moments in seconds.
        share: Retries for each first attempt in the window.
        allowance: Retries in the window beside these.
    """

    def __init__(self, clock: clocks.Clock, share: float, allowance: float) -> None:
        self.share = share
        self.allowance = allowance
        self.first_attempts = sliding_window.SlidingWindow(clock, WINDOW_SECONDS)
        self.retries = sliding_window.SlidingWindow(clock, WINDOW_SECONDS)

    def record_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self.first_attempts.record()

    def take(self) -> bool:
        """Count one retry if it fits into the budget, and return whether it did."""
        limit = self.share * self.first_attempts.count() + self.allowance
        if self.retries.count() + 1 > limit:
            return False
        self.retries.record()
        return True
