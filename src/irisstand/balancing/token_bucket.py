"""A token bucket: tokens come in at a rate, up to a capacity, and each request takes one."""

from irisstand import clocks


class TokenBucket:
    """Tokens as a real number; less than zero while requests have taken tokens ahead of time.

    Args:
        clock: Tells how much time passed between two refills.
        tokens: Tokens at the start.
        refilled_at: The moment from which tokens come in.
    """

    def __init__(self, clock: clocks.Clock, tokens: float, refilled_at: float) -> None:
        self.clock = clock
        self.tokens = tokens
        self.refilled_at = refilled_at

    def refill(self, rate: float, capacity: float) -> None:
        """Add what came in since the last refill.

        Args:
            rate: Tokens per second since then.
            capacity: The most tokens that are kept.
        """
        now = self.clock.now()
        self.tokens = min(capacity, self.tokens + rate * (now - self.refilled_at))
        self.refilled_at = now
