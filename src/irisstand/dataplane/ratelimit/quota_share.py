"""The quota share that this node owns of fleet-wide limits: service rates, and requests to cold origins.

The ledger records the units of the quota that each node owns (`irisstand.balancing.rate_quota`). See
docs/control/ceilings.md.
"""

import collections.abc
import math

from irisstand import node_context
from irisstand.balancing import rate_limiter, rate_quota, sliding_window

# A limit is named by its service, or by this prefix and the instance name of a cold origin.
COLD_PREFIX = "cold "
# For this time after its start a process issues no tokens for cold origins, as it does not know how many an
# earlier process of the node issued just before.
SETTLING_SECONDS = 3.0
# How long a token for a cold origin counts against the limit: the one-second window of the limit, the time of
# a lease, and the time that the request takes to reach the origin.
COLD_WINDOW_SECONDS = 1.25

LimitLookup = collections.abc.Callable[[str], float | None]


class OwnedQuota:
    """Issues tokens of fleet-wide limits, within the quota share that this node owns.

    Args:
        context: The node's context.
        limit_of: Returns a fleet-wide limit by its name, in requests per second; None if there is no limit.
    """

    def __init__(self, context: node_context.NodeContext, limit_of: LimitLookup) -> None:
        self.context = context
        self.limit_of = limit_of
        self.started_at = context.clock.now()
        self.rate_limiters: dict[str, rate_limiter.RateLimiter] = {}
        self.cold_windows: dict[str, sliding_window.SlidingWindow] = {}

    def units(self) -> dict[str, int]:
        """Return the quota units that the ledger records, by the owner's node name."""
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return row["units"] if row else {}

    def share_of(self, name: str) -> float:
        """Return this node's share of a limit, in requests per second.

        The share is 0 if the node's replica of the ledger was not confirmed for `USABLE_SECONDS`: by then it
        may have been given to another node.
        """
        age = self.context.ledger.age(self.context.clock.now())
        limit = self.limit_of(name)
        if limit is None or age is None or age > rate_quota.USABLE_SECONDS:
            return 0.0
        return limit * self.units().get(self.context.settings.name, 0) / rate_quota.TOTAL_UNITS

    def rate_limiter(self, service: str) -> rate_limiter.RateLimiter:
        """Return the rate limiter of a service; its tokens accrue from the start of this process."""
        limiter = self.rate_limiters.get(service)
        if limiter is None:
            limiter = rate_limiter.RateLimiter(self.context.clock, self.started_at)
            self.rate_limiters[service] = limiter
        return limiter

    def window(self, name: str) -> sliding_window.SlidingWindow:
        """Return the sliding window that counts the tokens taken for a cold origin."""
        window = self.cold_windows.get(name)
        if window is None:
            window = sliding_window.SlidingWindow(self.context.clock, COLD_WINDOW_SECONDS)
            self.cold_windows[name] = window
        return window

    def seconds_until_token(self, name: str) -> float | None:
        """Return the seconds until this node's next token of a limit; None if it has none to expect."""
        if not name.startswith(COLD_PREFIX):
            return self.rate_limiter(name).seconds_until_token(self.share_of(name))
        if self.context.clock.now() - self.started_at < SETTLING_SECONDS:
            return None
        return 0.0 if self.window(name).count() < math.floor(self.share_of(name)) else None

    def take(self, name: str, max_wait: float) -> float | None:
        """Take a token of a limit from this node's share.

        Args:
            name: The limit's name.
            max_wait: The longest wait that the request accepts, in seconds.

        Returns:
            Seconds until the request may be sent, or None if no token was taken.
        """
        if not name.startswith(COLD_PREFIX):
            return self.rate_limiter(name).take(self.share_of(name), max_wait)
        wait = self.seconds_until_token(name)
        if wait is not None:
            self.window(name).record()
        return wait
