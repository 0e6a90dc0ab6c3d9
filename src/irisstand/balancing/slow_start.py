"""What a cold origin may get: a part of its even share of the ceiling that grows while it warms up."""

from irisstand import clocks

# Of an origin's even share, from the start on; all of it when it is warm.
MIN_WARM_FRACTION = 0.05


def warm_fraction(elapsed: float, warmup: float) -> float:
    """
    >>> warmth(0, 10), warmth(5, 10), warmth(99, 10), warmth(3, 0)
    (0.05, 0.5, 1.0, 1.0)
    """
    if warmup <= 0:
        return 1.0
    return min(1.0, max(MIN_WARM_FRACTION, elapsed / warmup))


def allowed_rate(even: float, warm: float, share: float) -> float:
    """Requests a second that one shield may send: its part of the ceiling is its part of the origin, too.

    The shares add up to no more than one, so over the fleet an origin gets no more than `even` times `warm`.
    """
    return even * warm * share


class PacingBucket:
    """Paces requests: at the most one at once, and the allowed rate over time."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.tokens, self.at = 1.0, clock.now()

    def has_room(self, rate: float) -> bool:
        now = self.clock.now()
        self.tokens = min(1.0, self.tokens + rate * (now - self.at))
        self.at = now
        return self.tokens >= 1.0

    def take(self) -> None:
        self.tokens -= 1.0
