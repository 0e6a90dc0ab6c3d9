"""Counts events of the last seconds, one moment for each event."""

import collections

from irisstand import clocks


class SlidingWindow:
    """The moments of all events that are not older than the window.

    Args:
        clock: Gives the moment of each event.
        seconds: Length of the window; an event exactly that old counts no more.

    >>> class Clock:
    ...     moment = 0.0
    ...     def now(self): return self.moment
    >>> clock = Clock()
    >>> window = SlidingWindow(clock, 2.0)
    >>> window.record(); clock.moment = 1.0; window.record(); clock.moment = 2.0
    >>> window.count()
    1
    """

    def __init__(self, clock: clocks.Clock, seconds: float) -> None:
        self.clock = clock
        self.seconds = seconds
        self.event_times: collections.deque[float] = collections.deque()

    def count(self) -> int:
        """Return the number of events in the window, and forget the older ones."""
        oldest = self.clock.now() - self.seconds
        event_times = self.event_times
        while event_times and event_times[0] <= oldest:
            event_times.popleft()
        return len(event_times)

    def record(self) -> None:
        """Count one event now."""
        self.event_times.append(self.clock.now())

    def withdraw(self, event_time: float) -> None:
        """Take back the event recorded at that moment, if it is still in the window."""
        if event_time in self.event_times:
            self.event_times.remove(event_time)
