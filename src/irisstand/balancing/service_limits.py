"""Limits a shield to its quota share of a service's rate limit and concurrency limit."""

from irisstand import clocks
from irisstand.balancing import sliding_window

# Longer than the second over which an origin counts requests, because their travel times differ.
WINDOW_SECONDS = 1.05
# A request that was admitted this long ago and is still not sent has to be admitted again.
ADMISSION_VALID_SECONDS = 0.03
# An origin is assumed to work at a request for at least this long, however short its deadline.
MIN_ORIGIN_WORK_SECONDS = 3.0


def origin_work_seconds(deadline: float) -> float:
    """Return the seconds for which an origin may work at a request, even at an abandoned one.

    Args:
        deadline: The time that requests to the service may take, in seconds.
    """
    return max(MIN_ORIGIN_WORK_SECONDS, 2 * deadline)


class QuotaShareLimiter:
    """Admits requests to one service at one shield, within the quota share that the caller passes in.

    Args:
        clock: Gives the time in seconds.
        started_at: The time at which this process started; requests of an earlier one may still be in flight.
    """

    def __init__(self, clock: clocks.Clock, started_at: float) -> None:
        self.clock = clock
        self.started_at = started_at
        self.recent_starts = sliding_window.SlidingWindow(clock, WINDOW_SECONDS)
        self.active = 0
        # For each abandoned request, the time from which certainly no origin works at it any more.
        self.abandoned_work_ends: list[float] = []

    def may_have_earlier_requests(self, deadline: float) -> bool:
        """Return whether requests of an earlier process of this shield may still use up the quota share."""
        return self.clock.now() - self.started_at < max(MIN_ORIGIN_WORK_SECONDS, deadline)

    def in_flight(self) -> int:
        """Return the number of requests at which origins may be working, with abandoned ones."""
        now = self.clock.now()
        self.abandoned_work_ends = [until for until in self.abandoned_work_ends if until > now]
        return self.active + len(self.abandoned_work_ends)

    def admit(self, rate: int, concurrency: int) -> bool:
        """Admit one request if the quota share allows it, and return whether it does.

        Args:
            rate: Requests that may start within `WINDOW_SECONDS`.
            concurrency: Requests that may be in flight at the same time.
        """
        if self.recent_starts.count() >= rate or self.in_flight() >= concurrency:
            return False
        self.recent_starts.record()
        self.active += 1
        return True

    def is_admission_valid(self, admitted_at: float) -> bool:
        """Return whether a request that was admitted at `admitted_at` may still be sent."""
        return self.clock.now() - admitted_at <= ADMISSION_VALID_SECONDS

    def withdraw(self, admitted_at: float) -> None:
        """Undo the admission of a request that was not sent."""
        self.active -= 1
        self.recent_starts.withdraw(admitted_at)

    def finish(self, works_until: float = 0.0) -> None:
        """Count an admitted request as ended.

        Args:
            works_until: The time until which an origin may work at an abandoned request; 0 for others.
        """
        self.active -= 1
        if works_until:
            self.abandoned_work_ends.append(works_until)
