"""The budget of second tries: a share of the first tries of the last ten seconds, and a small allowance."""

import collections

from irisstand import clocks

WINDOW_SECONDS = 10.0


class RetryBudget:
    """The shares that edges and shields are given add up to less than the fifth that is allowed in all."""

    def __init__(self, clock: clocks.Clock, share: float, allowance: float) -> None:
        self.clock, self.share, self.allowance = clock, share, allowance
        self.first_attempts: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def trim(self) -> None:
        oldest = self.clock.now() - WINDOW_SECONDS
        for times in (self.first_attempts, self.retries):
            while times and times[0] <= oldest:
                times.popleft()

    def record_first_attempt(self) -> None:
        self.first_attempts.append(self.clock.now())

    def take(self) -> bool:
        """True if one more second try fits into the window, which it then takes up."""
        self.trim()
        if len(self.retries) + 1 > self.share * len(self.first_attempts) + self.allowance:
            return False
        self.retries.append(self.clock.now())
        return True
