"""Keeps a closing connection open for as long as its client still reads the response.

Sanic by itself would abort a connection some seconds after its close, even while a response is being sent.
"""

import asyncio
import collections.abc
import typing

CHECK_INTERVAL_SECONDS = 1.0


class ClosingConnections:
    """Watches the write buffers of closing connections, and aborts those whose clients stopped reading.

    Args:
        now: Returns the time in seconds.
        connections: Returns sanic's open connections; sanic declares no types for them.
        stall_seconds: Returns the seconds for which a client may read nothing.
    """

    def __init__(
        self,
        now: collections.abc.Callable[[], float],
        connections: collections.abc.Callable[[], collections.abc.Iterable[typing.Any]],
        stall_seconds: collections.abc.Callable[[], float],
    ) -> None:
        self.now = now
        self.connections = connections
        self.stall_seconds = stall_seconds
        # For each closing connection, the unsent bytes after its buffer last shrank, and the time of that.
        self.progress: dict[typing.Any, tuple[int, float]] = {}

    async def run(self) -> None:
        """Check the closing connections at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Abort the closing connections whose clients have read nothing for too long."""
        now = self.now()
        previous, self.progress = self.progress, {}
        for connection in list(self.connections()):
            transport = connection.transport
            if transport is None or not transport.is_closing():
                continue
            unsent = transport.get_write_buffer_size()
            known_unsent, shrunk_at = previous.get(connection, (unsent, now))
            if unsent < known_unsent:
                known_unsent, shrunk_at = unsent, now
            if now - shrunk_at > self.stall_seconds():
                transport.abort()
            else:
                self.progress[connection] = (known_unsent, shrunk_at)
