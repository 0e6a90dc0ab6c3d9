"""Slow start: a cold origin gets a growing fraction of its even share of the service's rate limit."""

from irisstand import clocks
from irisstand.balancing import token_bucket

# The fraction of its even share that a cold origin gets at first.
MIN_WARM_FRACTION = 0.05
BUCKET_CAPACITY = 1.0


def warm_fraction(elapsed: float, warmup: float) -> float:
    """Return the fraction of its even share of the rate limit that an origin may get.

    Args:
        elapsed: Seconds since the origin was first seen.
        warmup: Seconds that the origin takes to warm up.

    >>> warm_fraction(0, 10), warm_fraction(5, 10), warm_fraction(99, 10), warm_fraction(3, 0)
    (0.05, 0.5, 1.0, 1.0)
    """
    if warmup <= 0:
        return 1.0
    return min(1.0, max(MIN_WARM_FRACTION, elapsed / warmup))


def allowed_rate(even_rate: float, warmth: float, share: float) -> float:
    """Return the requests per second that one shield may send to an origin.

    The quota shares add up to at most one, so all shields together send at most `even_rate` times `warmth`.

    Args:
        even_rate: The origin's even share of the service's rate limit, in requests per second.
        warmth: The fraction that `warm_fraction` returns.
        share: This shield's quota share of the limit, as a fraction.
    """
    return even_rate * warmth * share


class PacingBucket:
    """Spaces requests evenly at a rate: a token bucket with a capacity of one token.

    Args:
        clock: Gives the time in seconds.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.bucket = token_bucket.TokenBucket(clock, BUCKET_CAPACITY, clock.now())

    def has_token(self, rate: float) -> bool:
        """Return whether a request may be sent now, at a rate in requests per second."""
        self.bucket.refill(rate, BUCKET_CAPACITY)
        return self.bucket.tokens >= 1.0

    def take(self) -> None:
        """Take the token of a request that is sent now."""
        self.bucket.tokens -= 1.0
