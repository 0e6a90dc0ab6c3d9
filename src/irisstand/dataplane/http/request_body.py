"""Reads the body of a client's request: whole, or while it is passed on if it is large."""

import asyncio
import typing

import sanic.exceptions
import sanic.response

from irisstand import errors
from irisstand.dataplane.upstream import streamed_body
from irisstand.http1 import body_source, streamed_response

# The timeout for an idle client is at most this much longer. It is not extended at each piece: a great many
# may have arrived at once, and each would leave a timer behind.
TIMEOUT_RESOLUTION_SECONDS = 0.25


class IncompleteRequestError(errors.BadRequestError, is_registered=False):
    """The end of a request's body was reached without all of its bytes: they went elsewhere."""


class RequestBodyReader:
    """Reads the body of one request.

    Args:
        stream: Sanic's stream of the request, for which sanic declares no types.
        limit_bytes: The largest body.
        idle_seconds: How long the client may send nothing.
    """

    def __init__(self, stream: typing.Any, limit_bytes: int, idle_seconds: float) -> None:
        self.stream = stream
        self.limit_bytes = limit_bytes
        self.idle_seconds = idle_seconds
        self.received = 0
        self.length: int | None = None
        self.decoder: typing.Any = None

    async def read(self) -> bytes | streamed_body.StreamedBody:
        """Return the complete body, or one that is passed on while it arrives if it is large.

        Raises:
            sanic.exceptions.RequestTimeout: The client sent nothing for as long as a connection may be idle.
            sanic.exceptions.PayloadTooLarge: The body is larger than the limit.
            sanic.exceptions.ServiceUnavailable: This process has no memory left for the body.
        """
        if not self.stream.request_body:
            return b""
        if self.stream.request_bytes > self.limit_bytes:
            raise _too_large()
        # The stream has another one for the next request.
        self.decoder = self.stream.decoder
        # Sanic marks a chunked body with another value than True.
        self.length = self.stream.request_bytes if self.stream.request_body is True else None
        body = await self._read_beginning()
        if not self.stream.request_body:
            return body
        self.stream.protocol.budget.pass_on_body()
        return streamed_body.StreamedBody(body, self.length, self._read_piece)

    async def _read_beginning(self) -> bytes:
        """Read up to the end of the body, or until it is too large to be held whole."""
        allowed_seconds = self.idle_seconds + TIMEOUT_RESOLUTION_SECONDS
        body = bytearray()
        loop = asyncio.get_running_loop()
        extended_at = loop.time()
        try:
            async with asyncio.timeout(allowed_seconds) as idle_timeout:
                while self.stream.request_body and len(body) <= body_source.HELD_BODY_BYTES:
                    body += await self._receive()
                    if loop.time() - extended_at > TIMEOUT_RESOLUTION_SECONDS:
                        extended_at = loop.time()
                        idle_timeout.reschedule(extended_at + allowed_seconds)
        except TimeoutError:
            raise self._end_idle() from None
        except BaseException:
            # The frames of a request that is broken off may live on for a while.
            body.clear()
            raise
        return bytes(body)

    async def _read_piece(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        Raises:
            IncompleteRequestError: Not all bytes of the body have come to this reader.
            sanic.exceptions.RequestTimeout: The client sent nothing for as long as a connection may be idle.
        """
        piece = b""
        try:
            async with asyncio.timeout(self.idle_seconds + TIMEOUT_RESOLUTION_SECONDS):
                while self.stream.request_body and not piece:
                    piece = await self._receive()
        except TimeoutError:
            raise self._end_idle() from None
        if not piece and not self._is_whole():
            raise IncompleteRequestError("not all of the request's body came to its reader")
        return piece

    def _is_whole(self) -> bool:
        """Return whether this reader has received each byte of the body."""
        if self.length is None:
            is_whole: bool = self.decoder.is_complete and self.received == self.decoder.declared_bytes
            return is_whole
        return self.received == self.length

    async def _receive(self) -> bytes:
        piece = await self.stream.read() or b""
        self.received += len(piece)
        if self.received > self.limit_bytes:
            raise _too_large()
        return piece

    def _end_idle(self) -> sanic.exceptions.RequestTimeout:
        # Otherwise sanic would wait for the rest of the body again before it closes the connection.
        self.stream.request_body = None
        return sanic.exceptions.RequestTimeout(
            "the client stopped sending before the request body was complete"
        )


def _too_large() -> sanic.exceptions.PayloadTooLarge:
    return sanic.exceptions.PayloadTooLarge("the request body is larger than the limit")


def end_unread(
    stream: typing.Any, body: bytes | streamed_body.StreamedBody, response: sanic.response.HTTPResponse
) -> None:
    """Prepare for the response to a request whose body may not have been read whole.

    Raises:
        sanic.exceptions.BadRequest: The rest of the body was malformed.
        sanic.exceptions.PayloadTooLarge: The body turned out to be larger than the limit.
    """
    if isinstance(body, bytes) or body.is_complete:
        return
    # What follows on the connection is not the next request.
    stream.keep_alive = False
    is_malformed = isinstance(body.error, (sanic.exceptions.BadRequest, sanic.exceptions.PayloadTooLarge))
    if is_malformed and not isinstance(response, streamed_response.StreamedResponse):
        raise typing.cast(Exception, body.error)
