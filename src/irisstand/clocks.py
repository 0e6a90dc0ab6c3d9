"""Monotonic clocks; wall clocks jump at some sites, so no node ever reads a wall clock."""

import asyncio
import time
import typing

# A point in time as seconds since an arbitrary start; only differences between two of them have a meaning.
Moment = typing.NewType("Moment", float)


class Clock(typing.Protocol):
    """The interface of a monotonic clock, for code that measures durations."""

    def now(self) -> Moment:
        """Return the current time of this clock, in seconds."""
        ...


class MonotonicClock:
    """Reads the operating system's monotonic clock; the event loop's own clock lags when the loop is busy."""

    def now(self) -> Moment:
        """Return the operating system's monotonic time, in seconds."""
        return Moment(time.monotonic())


class LoopClock:
    """Reads the clock of the running event loop, which is virtual time under the simulator."""

    def now(self) -> Moment:
        """Return the time of the running event loop, in seconds."""
        return Moment(asyncio.get_running_loop().time())
