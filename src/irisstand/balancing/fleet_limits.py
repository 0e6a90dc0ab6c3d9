"""Bounds over the whole fleet, split over the edges that reach origins: each keeps to its part by itself.

Nobody counts for all. Connections are even parts that add up to less than the bound, so that a member more or
less on one edge's list does no harm. Parts of a rate, and of what a cold origin may get, are recorded: see
`rate_parts`.
"""

import collections
import math
import typing

from irisstand import clocks
from irisstand.balancing import rendezvous

# Of a bound over all: the rest is for lists that differ and for requests that do not travel equally long.
USABLE_FRACTION = 0.85
# Of an origin's connections, what holders have of those that they use. Fewer than two are not worth having:
# one is busy while the next is needed.
HOLDER_FRACTION, MIN_CONNECTIONS = 0.86, 2
# Seconds of a rate that may be used at once; and the least: ten of these make up the slack of five.
BURST_SECONDS, MIN_BURST_TOKENS = 0.2, 0.5
# Below this part of the burst a rate is scarce, and counts as such for some seconds.
SCARCE_FRACTION, SCARCE_SECONDS = 0.3, 6.0


class Member(typing.NamedTuple):
    """A node that reaches origins: an edge (`direct`), or a `holder`, which fetches for its site's edges."""

    name: str
    role: str
    site: str


def connection_limit(own: str, members: list[Member], origin: str, limit: int, is_held: bool) -> int:
    """How many connections this node may have to an origin that accepts `limit` from all; 0 for none.

    What is held belongs mostly to the holders. Where there are too few for all, an order of the origin's own
    says who has some, so that each node has some to some origins.

    >>> listed = [Member(f"e{number}", "direct", "n") for number in range(8)] + [Member("h", "holder", "n")]
    >>> connections("e1", listed, "o", 100, False), connections("h", listed, "o", 100, True)
    (10, 73)
    >>> sum(connections(member.name, listed, "o", 10, False) for member in listed)
    8
    """
    holders = [member.name for member in members if member.role == "holder"]
    edges = [member.name for member in members if member.role != "holder"]
    total = math.floor(limit * USABLE_FRACTION)
    group = holders if own in holders else edges
    if holders and is_held:
        kept = math.floor(total * HOLDER_FRACTION)
        total = kept if own in holders else total - kept
    elif own in holders:
        return 0
    each = total // len(group)
    if each >= MIN_CONNECTIONS:
        return each
    first = rendezvous.ranked(origin, [(name, 1.0) for name in group])[: max(1, total // MIN_CONNECTIONS)]
    return MIN_CONNECTIONS if own in first else 0


class SlidingWindow:
    """How much was sent in the last `seconds`."""

    def __init__(self, clock: clocks.Clock, seconds: float) -> None:
        self.clock, self.seconds = clock, seconds
        self.moments: collections.deque[float] = collections.deque()

    def count(self) -> int:
        while self.moments and self.moments[0] <= self.clock.now() - self.seconds:
            self.moments.popleft()
        return len(self.moments)

    def record(self) -> None:
        self.moments.append(self.clock.now())


class RateLimiter:
    """A part of a rate, with a burst so short that no window of five seconds goes over.

    It begins with nothing at `opened_at`, when this process did: what the forerunner used up just before is
    not known to it.
    """

    def __init__(self, clock: clocks.Clock, opened_at: float) -> None:
        self.clock, self.at = clock, opened_at
        self.tokens = 0.0
        self.scarce_at = -1e9

    def is_scarce(self) -> bool:
        return self.clock.now() - self.scarce_at < SCARCE_SECONDS

    def seconds_until_token(self, rate: float) -> float | None:
        """Seconds until the next request might leave; None if there is no rate."""
        now = self.clock.now()
        if rate <= 0.0:
            # What was saved up belongs to the part, and goes with it.
            self.tokens, self.at = min(0.0, self.tokens), now
            return None
        most = max(MIN_BURST_TOKENS, rate * BURST_SECONDS)
        self.tokens, self.at = min(most, self.tokens + rate * (now - self.at)), now
        # What is borrowed from the next moments is waited for.
        return max(0.0, (1.0 - self.tokens) / rate)

    def take(self, rate: float, patience: float = 0.0) -> float | None:
        """Seconds until a request may leave, which then has its place; None if that is over `patience`."""
        wait = self.seconds_until_token(rate)
        if wait is None:
            return None
        if self.tokens < SCARCE_FRACTION * max(MIN_BURST_TOKENS, rate * BURST_SECONDS):
            self.scarce_at = self.clock.now()
        if wait > patience:
            return None
        self.tokens -= 1.0
        return wait
