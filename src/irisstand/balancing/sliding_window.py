"""Counts the events within a sliding time window, by the time of each event."""

import collections

from irisstand import clocks


class SlidingWindow:
    """Keeps the times of all events that are not older than the window.

    Args:
        clock: Gives the time of each event, in seconds.
        seconds: The length of the window; an event exactly that old is not counted any more.

    >>> class Clock:
    ...     time = 0.0
    ...     def now(self): return self.time
    >>> clock = Clock()
    >>> window = SlidingWindow(clock, 2.0)
    >>> window.record(); clock.time = 1.0; window.record(); clock.time = 2.0
    >>> window.count()
    1
    """

    def __init__(self, clock: clocks.Clock, seconds: float) -> None:
        self.clock = clock
        self.seconds = seconds
        self.event_times: collections.deque[float] = collections.deque()

    def count(self) -> int:
        """Return the number of events in the window, and drop older ones."""
        oldest = self.clock.now() - self.seconds
        event_times = self.event_times
        while event_times and event_times[0] <= oldest:
            event_times.popleft()
        return len(event_times)

    def record(self) -> None:
        """Record one event at the current time."""
        self.event_times.append(self.clock.now())

    def withdraw(self, event_time: float) -> None:
        """Remove the event that was recorded at `event_time`, if it is still in the window."""
        if event_time in self.event_times:
            self.event_times.remove(event_time)
