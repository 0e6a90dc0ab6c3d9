"""What a node owns of a bound over the whole fleet, by its recorded units: of a service's rate, and of what a
cold origin may get in a second.
"""

import collections.abc
import math

from irisstand import node_context
from irisstand.balancing import fleet_limits, rate_quota

# A name of a bound is a service's, or this and the instance of a cold origin.
COLD_PREFIX = "cold "
# After a start, what the forerunner sent is not known: no cold origin gets anything.
SETTLING_SECONDS = 3.0
# Seconds for which a cold place is taken up: one, and for how long a lent one is good, and the way to go.
COLD_WINDOW_SECONDS = 1.25

LimitLookup = collections.abc.Callable[[str], float | None]


class OwnedQuota:
    """`whole` tells the bound over all by its name, None where there is none."""

    def __init__(self, context: node_context.NodeContext, whole: LimitLookup) -> None:
        self.context, self.limit_of = context, whole
        self.opened_at = context.clock.now()
        self.rate_limiters: dict[str, fleet_limits.RateLimiter] = {}
        self.cold_windows: dict[str, fleet_limits.SlidingWindow] = {}

    def units(self) -> dict[str, int]:
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return row["units"] if row else {}

    def share_of(self, name: str) -> float:
        """This node's part, none where its copy of the ledger was not confirmed for too long."""
        age = self.context.ledger.age(self.context.clock.now())
        whole = self.limit_of(name)
        if whole is None or age is None or age > rate_quota.USABLE_SECONDS:
            return 0.0
        return whole * self.units().get(self.context.settings.name, 0) / rate_quota.TOTAL_UNITS

    def rate_limiter(self, service: str) -> fleet_limits.RateLimiter:
        return self.rate_limiters.setdefault(
            service, fleet_limits.RateLimiter(self.context.clock, self.opened_at)
        )

    def window(self, name: str) -> fleet_limits.SlidingWindow:
        return self.cold_windows.setdefault(
            name, fleet_limits.SlidingWindow(self.context.clock, COLD_WINDOW_SECONDS)
        )

    def seconds_until_token(self, name: str) -> float | None:
        """Seconds until the next place; None where that can't be said."""
        if not name.startswith(COLD_PREFIX):
            return self.rate_limiter(name).seconds_until_token(self.share_of(name))
        if self.context.clock.now() - self.opened_at < SETTLING_SECONDS:
            return None
        return 0.0 if self.window(name).count() < math.floor(self.share_of(name)) else None

    def take(self, name: str, patience: float) -> float | None:
        """Seconds until a request may leave, which then has its place; None if that is over `patience`."""
        if not name.startswith(COLD_PREFIX):
            return self.rate_limiter(name).take(self.share_of(name), patience)
        wait = self.seconds_until_token(name)
        if wait is not None:
            self.window(name).record()
        return wait
