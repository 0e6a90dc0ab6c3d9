"""Shares of a service's ceiling: what one shield may have under way, and start in any one second."""

import collections

from irisstand import clocks

# A little over the second that is counted at the origin: two requests do not travel equally long.
WINDOW_SECONDS = 1.05
# A place is taken for now. Whoever needed longer to get a line asks for a place again.
FRESH_SECONDS = 0.03
# An origin may work on for this long at the least, however short the deadline of those who asked.
MIN_ORIGIN_WORK_SECONDS = 3.0


def origin_work_seconds(deadline: float) -> float:
    """For how long an origin is taken to work at a request, wanted or not."""
    return max(MIN_ORIGIN_WORK_SECONDS, 2 * deadline)


class QuotaShareLimiter:
    """`opened` is when this process began: what its forerunner left under way is not known to it."""

    def __init__(self, clock: clocks.Clock, opened: float) -> None:
        self.clock, self.opened_at = clock, opened
        self.started: collections.deque[float] = collections.deque()
        self.active = 0
        # Abandoned requests at which an origin may still be working, by when it no longer can be.
        self.abandoned_until: list[float] = []

    def is_opening(self, deadline: float) -> bool:
        """A restarted shield's forerunner may have used all of the share until just now."""
        return self.clock.now() - self.opened_at < max(MIN_ORIGIN_WORK_SECONDS, deadline)

    def in_flight(self) -> int:
        now = self.clock.now()
        self.abandoned_until = [until for until in self.abandoned_until if until > now]
        return self.active + len(self.abandoned_until)

    def enter(self, rate: int, inflight: int) -> bool:
        oldest = self.clock.now() - WINDOW_SECONDS
        while self.started and self.started[0] <= oldest:
            self.started.popleft()
        if len(self.started) >= rate or self.in_flight() >= inflight:
            return False
        self.started.append(self.clock.now())
        self.active += 1
        return True

    def is_fresh(self, entered_at: float) -> bool:
        return self.clock.now() - entered_at <= FRESH_SECONDS

    def withdraw(self, entered_at: float) -> None:
        """The place was not used: nothing was sent under it."""
        self.active -= 1
        if entered_at in self.started:
            self.started.remove(entered_at)

    def leave(self, works_until: float = 0.0) -> None:
        self.active -= 1
        if works_until:
            self.abandoned_until.append(works_until)
