"""A token bucket: tokens are added at a rate, up to a capacity, and each request takes one."""

from irisstand import clocks


class TokenBucket:
    """Holds a number of tokens, below zero while requests have taken tokens in advance.

    Args:
        clock: Gives the time in seconds.
        tokens: The number of tokens at the start.
        refilled_at: The time from which tokens are added.
    """

    def __init__(self, clock: clocks.Clock, tokens: float, refilled_at: float) -> None:
        self.clock = clock
        self.tokens = tokens
        self.refilled_at = refilled_at

    def refill(self, rate: float, capacity: float) -> None:
        """Add the tokens for the time since the last refill.

        Args:
            rate: The tokens that were added per second since then.
            capacity: The maximum number of tokens that the bucket holds.
        """
        now = self.clock.now()
        self.tokens = min(capacity, self.tokens + rate * (now - self.refilled_at))
        self.refilled_at = now
