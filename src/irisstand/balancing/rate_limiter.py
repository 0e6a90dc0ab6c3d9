"""Limits one node to its quota share of a rate limit; see docs/control/ceilings.md."""

from irisstand import clocks
from irisstand.balancing import token_bucket

# The bucket's capacity is the tokens of this time, but at least the minimum. With the minimum at each of ten
# owners of quota shares, the bursts add up to the five requests that the limit allows beside the rate.
BURST_SECONDS = 0.2
MIN_BURST_TOKENS = 0.5
# If the bucket is filled to less than this fraction, the rate counts as scarce for `SCARCE_SECONDS`.
SCARCE_FRACTION = 0.3
SCARCE_SECONDS = 6.0
# A time before any that a clock returns.
NEVER = -1e9


class RateLimiter:
    """A token bucket with a burst so small that no window of five seconds exceeds the limit.

    The bucket is empty at first, because an earlier process of this node may just have used its tokens.

    Args:
        clock: Gives the time in seconds.
        started_at: The time at which this process started; tokens are added from then on.
    """

    def __init__(self, clock: clocks.Clock, started_at: float) -> None:
        self.clock = clock
        self.bucket = token_bucket.TokenBucket(clock, 0.0, started_at)
        self.last_scarce_at = NEVER

    def is_scarce(self) -> bool:
        """Return whether the quota share was nearly used up within the last `SCARCE_SECONDS`."""
        return self.clock.now() - self.last_scarce_at < SCARCE_SECONDS

    def seconds_until_token(self, rate: float) -> float | None:
        """Return the seconds until the next request may be sent; None if the quota share is zero.

        Args:
            rate: This node's quota share, in requests per second.
        """
        bucket = self.bucket
        if rate <= 0.0:
            # Unused tokens belong to the quota share, and are lost with it.
            bucket.refill(0.0, min(0.0, bucket.tokens))
            return None
        bucket.refill(rate, burst_tokens(rate))
        # A request waits until the bucket holds a whole token.
        return max(0.0, (1.0 - bucket.tokens) / rate)

    def take(self, rate: float, max_wait: float = 0.0) -> float | None:
        """Take a token, possibly one that the bucket gets only later.

        Args:
            rate: This node's quota share, in requests per second.
            max_wait: The longest wait that the request accepts, in seconds.

        Returns:
            Seconds until the request may be sent; None, with no token taken, if they would exceed
            `max_wait`.
        """
        wait = self.seconds_until_token(rate)
        if wait is None:
            return None
        if self.bucket.tokens < SCARCE_FRACTION * burst_tokens(rate):
            self.last_scarce_at = self.clock.now()
        if wait > max_wait:
            return None
        self.bucket.tokens -= 1.0
        return wait


def burst_tokens(rate: float) -> float:
    """Return the capacity, in tokens, of the bucket for a rate in requests per second."""
    return max(MIN_BURST_TOKENS, rate * BURST_SECONDS)
