"""Clients' connections that are being closed: each is kept while its client still takes in the answer.

Sanic would abort one some seconds after its close, however much of an answer is still on its way.
"""

import asyncio
import collections.abc
import typing

CHECK_INTERVAL_SECONDS = 1.0


class ClosingConnections:
    """Watches the write buffers of connections that are being closed.

    Args:
        now: Returns the moment in seconds.
        connections: Returns sanic's open connections, which have no types.
        stall_seconds: Returns how long a client may take in nothing.
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
        # By connection: the bytes that were left when its buffer last shrank, and when that was.
        self.progress: dict[typing.Any, tuple[int, float]] = {}

    async def run(self) -> None:
        """Check the connections again and again, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check()

    def check(self) -> None:
        """Abort the connections whose clients have taken in nothing for too long."""
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
