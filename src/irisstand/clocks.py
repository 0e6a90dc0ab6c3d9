"""Monotonic clocks only: wall clocks jump at some sites, so nothing here ever reads one."""

import asyncio
import time
import typing

# Seconds since an arbitrary moment; only differences have a meaning.
Moment = typing.NewType("Moment", float)


class Clock(typing.Protocol):
    """Tells the time to everything that measures durations."""

    def now(self) -> Moment:
        """Return the present moment, in seconds."""
        ...


class MonotonicClock:
    """The operating system's monotonic clock; not the event loop's, which lags behind a busy loop."""

    def now(self) -> Moment:
        """Return the operating system's monotonic time."""
        return Moment(time.monotonic())


class LoopClock:
    """The running loop's own time: virtual under the simulator."""

    def now(self) -> Moment:
        """Return the running loop's time."""
        return Moment(asyncio.get_running_loop().time())
