"""Holds one node to its quota share of a rate limit; see docs/control/ceilings.md."""

from irisstand import clocks
from irisstand.balancing import token_bucket

# The bucket holds the tokens of this time, but never fewer than the minimum: ten owners of quota shares with
# the minimum each make up the five requests that the limit allows beside the rate.
BURST_SECONDS = 0.2
MIN_BURST_TOKENS = 0.5
# A bucket filled to less than this fraction makes the rate scarce for some seconds.
SCARCE_FRACTION = 0.3
SCARCE_SECONDS = 6.0
NEVER = -1e9


class RateLimiter:
    """A token bucket with a burst so short that no window of five seconds is over the limit.

    The bucket begins empty, as it is not known what an earlier process of this node used just before.

    Args:
        clock: Moments in seconds.
        started_at: When this process began; tokens come in from then on.
    """

    def __init__(self, clock: clocks.Clock, started_at: float) -> None:
        self.clock = clock
        self.bucket = token_bucket.TokenBucket(clock, 0.0, started_at)
        self.last_scarce_at = NEVER

    def is_scarce(self) -> bool:
        """Tell whether the share was nearly used up in the last seconds."""
        return self.clock.now() - self.last_scarce_at < SCARCE_SECONDS

    def seconds_until_token(self, rate: float) -> float | None:
        """Return how long until the next request may leave; None without a rate.

        Args:
            rate: This node's quota share, in requests per second.
        """
        bucket = self.bucket
        if rate <= 0.0:
            # Tokens that were saved belong to the share, and are lost with it.
            bucket.refill(0.0, min(0.0, bucket.tokens))
            return None
        bucket.refill(rate, burst_tokens(rate))
        # Below one, the missing part of a token is waited for.
        return max(0.0, (1.0 - bucket.tokens) / rate)

    def take(self, rate: float, max_wait: float = 0.0) -> float | None:
        """Take a token, also one that is still to come in.

        Args:
            rate: This node's quota share, in requests per second.
            max_wait: The longest wait that the request accepts, in seconds.

        Returns:
            Seconds until the request may leave; None, and no token taken, where the wait would be longer.
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
    """Return the capacity of the bucket for a rate in requests per second."""
    return max(MIN_BURST_TOKENS, rate * BURST_SECONDS)
