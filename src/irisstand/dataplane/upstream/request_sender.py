"""Sends the body of a request to an origin while it arrives, as fast as the origin reads."""

import asyncio
import collections.abc

from irisstand.dataplane.upstream import streamed_body


class RequestSender:
    """Sends one streamed body over a connection.

    Args:
        transport: The connection to the origin.
        can_write: Set while the origin reads fast enough.
        on_failed: Called if the rest of the body does not come; the origin has an incomplete request then.

    Attributes:
        is_done: Whether the complete body has been written.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        can_write: asyncio.Event,
        on_failed: collections.abc.Callable[[], None],
    ) -> None:
        self.transport = transport
        self.can_write = can_write
        self.on_failed = on_failed
        self.is_done = False
        self.task: asyncio.Task[None] | None = None

    def start(self, body: streamed_body.StreamedBody) -> None:
        """Begin to send a body, behind the head of its request."""
        self.task = asyncio.get_running_loop().create_task(self._send(body))

    def stop(self) -> None:
        """Send no more."""
        if self.task is not None:
            self.task.cancel()

    async def _send(self, body: streamed_body.StreamedBody) -> None:
        is_chunked = body.length is None
        try:
            while piece := await body.read():
                await self.can_write.wait()
                if self.transport.is_closing():
                    return
                self.transport.write(encode_chunk(piece) if is_chunked else piece)
        except Exception:  # noqa: BLE001 - the error is kept with the body, whose reader raises it
            self.on_failed()
            return
        if is_chunked:
            self.transport.write(encode_chunk(b""))
        self.is_done = True


def encode_chunk(piece: bytes) -> bytes:
    r"""Return a piece as a chunk (RFC 9112, section 7.1); nothing is the end of the body.

    >>> encode_chunk(b"abc"), encode_chunk(b"")
    (b'3\r\nabc\r\n', b'0\r\n\r\n')
    """
    return b"%x\r\n%b\r\n" % (len(piece), piece)
