"""The quota share that this node owns: of each service's rate limit, and of what a cold origin may get.

The ledger records the units of each owner (`irisstand.balancing.rate_quota`). See docs/control/ceilings.md.
"""

import collections.abc
import math

from irisstand import node_context
from irisstand.balancing import rate_limiter, rate_quota, sliding_window

# A limit has the name of its service, or this prefix and the instance name of a cold origin.
COLD_PREFIX = "cold "
# After a start it is not known what the earlier process sent: no cold origin gets anything for this time.
SETTLING_SECONDS = 3.0
# A token for a cold origin counts for the second of its limit, the time of a lease, and the way there.
COLD_WINDOW_SECONDS = 1.25

LimitLookup = collections.abc.Callable[[str], float | None]


class OwnedQuota:
    """Tokens under the limits, within the share that this node owns.

    Args:
        context: The node's context.
        limit_of: Returns the limit over all nodes by its name, in requests per second; None without a limit.
    """

    def __init__(self, context: node_context.NodeContext, limit_of: LimitLookup) -> None:
        self.context = context
        self.limit_of = limit_of
        self.started_at = context.clock.now()
        self.rate_limiters: dict[str, rate_limiter.RateLimiter] = {}
        self.cold_windows: dict[str, sliding_window.SlidingWindow] = {}

    def units(self) -> dict[str, int]:
        """Return the recorded units by owner."""
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return row["units"] if row else {}

    def share_of(self, name: str) -> float:
        """Return this node's share of a limit, in requests per second.

        It is 0 where the node's replica of the ledger has not been confirmed for too long: another node may
        own the share by now.
        """
        age = self.context.ledger.age(self.context.clock.now())
        limit = self.limit_of(name)
        if limit is None or age is None or age > rate_quota.USABLE_SECONDS:
            return 0.0
        return limit * self.units().get(self.context.settings.name, 0) / rate_quota.TOTAL_UNITS

    def rate_limiter(self, service: str) -> rate_limiter.RateLimiter:
        """Return the limiter of a service's rate, which begins when this process did."""
        limiter = self.rate_limiters.get(service)
        if limiter is None:
            limiter = rate_limiter.RateLimiter(self.context.clock, self.started_at)
            self.rate_limiters[service] = limiter
        return limiter

    def window(self, name: str) -> sliding_window.SlidingWindow:
        """Return the window of the tokens taken for a cold origin."""
        window = self.cold_windows.get(name)
        if window is None:
            window = sliding_window.SlidingWindow(self.context.clock, COLD_WINDOW_SECONDS)
            self.cold_windows[name] = window
        return window

    def seconds_until_token(self, name: str) -> float | None:
        """Return how long until the next token; None where that is not known."""
        if not name.startswith(COLD_PREFIX):
            return self.rate_limiter(name).seconds_until_token(self.share_of(name))
        if self.context.clock.now() - self.started_at < SETTLING_SECONDS:
            return None
        return 0.0 if self.window(name).count() < math.floor(self.share_of(name)) else None

    def take(self, name: str, max_wait: float) -> float | None:
        """Take a token of a limit.

        Args:
            name: The limit's name.
            max_wait: The longest wait that the request accepts, in seconds.

        Returns:
            Seconds until the request may leave, or None where no token was taken.
        """
        if not name.startswith(COLD_PREFIX):
            return self.rate_limiter(name).take(self.share_of(name), max_wait)
        wait = self.seconds_until_token(name)
        if wait is not None:
            self.window(name).record()
        return wait
