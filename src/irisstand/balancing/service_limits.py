"""Holds a shield to its quota share of a service's rate limit and concurrency limit."""

from irisstand import clocks
from irisstand.balancing import sliding_window

# Longer than the second in which the origin counts: two requests do not travel equally long.
WINDOW_SECONDS = 1.05
# A request that was admitted longer ago without being sent has to be admitted again.
ADMISSION_VALID_SECONDS = 0.03
# An origin may work on for at least this long, however short the deadline of the request.
MIN_ORIGIN_WORK_SECONDS = 3.0


def origin_work_seconds(deadline: float) -> float:
    """Return how long an origin may work at a request, also at one that was abandoned.

    Args:
        deadline: The service's deadline, in seconds.
    """
    return max(MIN_ORIGIN_WORK_SECONDS, 2 * deadline)


class QuotaShareLimiter:
    """Admits requests of one service at one shield, within the share that the caller hands in.

    Args:
        clock: Moments in seconds.
        started_at: When this process began; requests of an earlier process may be in flight still.
    """

    def __init__(self, clock: clocks.Clock, started_at: float) -> None:
        self.clock = clock
        self.started_at = started_at
        self.recent_starts = sliding_window.SlidingWindow(clock, WINDOW_SECONDS)
        self.active = 0
        # For each abandoned request, the moment from which no origin works at it any more.
        self.abandoned_work_ends: list[float] = []

    def may_have_earlier_requests(self, deadline: float) -> bool:
        """Tell whether an earlier process of this shield may still fill the share."""
        return self.clock.now() - self.started_at < max(MIN_ORIGIN_WORK_SECONDS, deadline)

    def in_flight(self) -> int:
        """Return the number of requests at which an origin may be working."""
        now = self.clock.now()
        self.abandoned_work_ends = [until for until in self.abandoned_work_ends if until > now]
        return self.active + len(self.abandoned_work_ends)

    def admit(self, rate: int, concurrency: int) -> bool:
        """Admit one request if the share allows it, and return whether it does.

        Args:
            rate: Requests that may start within `WINDOW_SECONDS`.
            concurrency: Requests that may be in flight.
        """
        if self.recent_starts.count() >= rate or self.in_flight() >= concurrency:
            return False
        self.recent_starts.record()
        self.active += 1
        return True

    def is_admission_valid(self, admitted_at: float) -> bool:
        """Tell whether a request admitted at that moment may still be sent."""
        return self.clock.now() - admitted_at <= ADMISSION_VALID_SECONDS

    def withdraw(self, admitted_at: float) -> None:
        """Take back the admission of a request that was not sent."""
        self.active -= 1
        self.recent_starts.withdraw(admitted_at)

    def finish(self, works_until: float = 0.0) -> None:
        """End a request.

        Args:
            works_until: Of an abandoned request, until when an origin may work at it; 0 for others.
        """
        self.active -= 1
        if works_until:
            self.abandoned_work_ends.append(works_until)
