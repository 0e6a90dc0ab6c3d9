"""The budget of second tries: a share of the first tries of the last ten seconds, and a small allowance."""

import collections

from irisstand import clocks

WINDOW = 10.0


class Budget:
    """The shares that edges and shields are given add up to less than the fifth that is allowed in all."""

    def __init__(self, clock: clocks.Clock, share: float, allowance: int) -> None:
        self.clock, self.share, self.allowance = clock, share, allowance
        self.first: collections.deque[float] = collections.deque()
        self.second: collections.deque[float] = collections.deque()

    def trim(self) -> None:
        oldest = self.clock.now() - WINDOW
        for times in (self.first, self.second):
            while times and times[0] <= oldest:
                times.popleft()

    def note_first(self) -> None:
        self.first.append(self.clock.now())

    def take(self) -> bool:
        """True if one more second try fits into the window, which it then takes up."""
        self.trim()
        if len(self.second) + 1 > self.share * len(self.first) + self.allowance:
            return False
        self.second.append(self.clock.now())
        return True
