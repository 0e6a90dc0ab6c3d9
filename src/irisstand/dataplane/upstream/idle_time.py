"""How long a connection to an origin may stay idle before the origin closes it."""

import asyncio

from irisstand.http1 import keep_alive

# An idle connection is discarded this long before the time at which its origin announced to close it.
MARGIN_SECONDS = 1.0
DEFAULT_LIMIT_SECONDS = 4.0


class IdleTime:
    """The time since a connection was last in use, and its limit as the origin announced it."""

    def __init__(self) -> None:
        self.limit_seconds = DEFAULT_LIMIT_SECONDS
        self.since = asyncio.get_running_loop().time()

    @property
    def is_over(self) -> bool:
        """Whether the origin may be about to close the connection."""
        return asyncio.get_running_loop().time() - self.since >= self.limit_seconds

    def restart(self) -> None:
        """Note that the connection is in use now."""
        self.since = asyncio.get_running_loop().time()

    def take_limit(self, header: str) -> None:
        """Take over the limit in the value of a Keep-Alive header, if it has one."""
        timeout_seconds = keep_alive.timeout_seconds(header)
        if timeout_seconds is not None:
            self.limit_seconds = max(0.0, timeout_seconds - MARGIN_SECONDS)
