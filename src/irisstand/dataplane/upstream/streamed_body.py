"""The body of a large request that is passed on to an origin while it arrives."""

import collections.abc

Receive = collections.abc.Callable[[], collections.abc.Awaitable[bytes]]


class StreamedBody:
    """A request's body of which the beginning has arrived; it can be read once.

    Args:
        beginning: What has arrived so far.
        length: The announced length in bytes; None for a chunked body.
        receive: Returns the next bytes of the client, or nothing at the end of the body. It raises an error
            if the client stops sending or sends something malformed.

    Attributes:
        is_complete: Whether all of the body has been read.
        error: Why the rest of the body will not come.
        on_progress: Called with the length of each piece that has been read, and with 0 at the end.
    """

    def __init__(self, beginning: bytes, length: int | None, receive: Receive) -> None:
        self.beginning = beginning
        self.length = length
        self.receive = receive
        self.is_complete = False
        self.error: Exception | None = None
        self.on_progress: collections.abc.Callable[[int], None] = lambda _: None

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end of the body.

        Raises:
            Exception: The error of `receive`, which is kept as `error`.
        """
        if self.error is not None:
            raise self.error
        if self.is_complete:
            return b""
        piece, self.beginning = self.beginning, b""
        if not piece:
            try:
                piece = await self.receive()
            except Exception as error:
                self.error = error
                raise
        self.is_complete = not piece
        self.on_progress(len(piece))
        return piece
