"""The retry budget of a node: a fraction of its first attempts in the last ten seconds, plus an allowance."""

from irisstand import clocks
from irisstand.balancing import sliding_window

WINDOW_SECONDS = 10.0


class RetryBudget:
    """Limits the retries of one node in proportion to its first attempts.

    The fractions of edges and of shields add up to less than the fifth that is allowed in all.

    Args:
        clock: Gives the time in seconds.
        share: The retries that each first attempt in the window allows.
        allowance: The retries that are allowed in the window in addition.
    """

    def __init__(self, clock: clocks.Clock, share: float, allowance: float) -> None:
        self.share = share
        self.allowance = allowance
        self.first_attempts = sliding_window.SlidingWindow(clock, WINDOW_SECONDS)
        self.retries = sliding_window.SlidingWindow(clock, WINDOW_SECONDS)

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self.first_attempts.record()

    def take(self) -> bool:
        """Count one retry if the budget allows it, and return whether it does."""
        limit = self.share * self.first_attempts.count() + self.allowance
        if self.retries.count() + 1 > limit:
            return False
        self.retries.record()
        return True
