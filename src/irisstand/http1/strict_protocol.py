"""Sanic's HTTP protocol, held to the grammar: a message that can be read in two ways is refused with 400.

Sanic ends a line at CRLF alone, hands on whatever stands inside it, and skips the two bytes behind a chunk
unread.
"""

import typing

import sanic.exceptions
import sanic.http
import sanic.http.http1
import sanic.server.protocols.http_protocol

from irisstand import errors
from irisstand.http1 import grammar, request_head

_HEAD_END = b"\r\n\r\n"
_CHUNKED = "chunked"
# The longest line before a chunk, with its extensions.
CHUNK_LINE_LIMIT_BYTES = 256


class StrictHttp(sanic.http.Http):
    """One connection's requests.

    Attributes:
        head: The head of the request that is being answered.
    """

    __slots__ = ("head",)

    head: request_head.RequestHead

    async def http1_request_header(self) -> None:
        """Receive a request's head, and check it before sanic reads it.

        Raises:
            sanic.exceptions.BadRequest: The head is malformed.
        """
        end = await self._receive_head()
        if end >= 0:
            try:
                self.head = request_head.parse(bytes(self.recv_buffer[:end]))
            except errors.BadRequestError as error:
                raise sanic.exceptions.BadRequest(str(error)) from None
        # Sanic's stream has no types.
        parent: typing.Any = super()
        await parent.http1_request_header()

    def create_empty_request(self) -> None:
        """Make the request that stands in for a malformed one, so that it is answered.

        Sanic would make it of the target, which fails where that is what is malformed.
        """
        self.url = None
        super().create_empty_request()

    async def _receive_head(self) -> int:
        """Return the length of the head that comes next, or -1 for one that is over sanic's limit."""
        searched = 0
        while True:
            end = self.recv_buffer.find(_HEAD_END, searched)
            if end >= 0:
                return end if end < self.HEADER_MAX_SIZE else -1
            searched = max(0, len(self.recv_buffer) - len(_HEAD_END) + 1)
            if searched >= self.HEADER_MAX_SIZE:
                return -1
            await self._receive_more()

    async def read(self) -> bytes | None:
        """Read a piece of the body; the line before a chunk is checked before sanic reads it.

        Raises:
            sanic.exceptions.BadRequest: The chunks are malformed.
            sanic.exceptions.PayloadTooLarge: The body is over the limit.
        """
        body_kind: typing.Any = self.request_body
        if body_kind == _CHUNKED and self.request_bytes_left == 0:
            await self._check_chunk_line()
        piece: bytes | None = await super().read()
        return piece

    async def _check_chunk_line(self) -> None:
        """Receive the line before a chunk, and check it with the line break before it."""
        # The client may wait for this before it sends any of the body.
        if self.expecting_continue:
            self.expecting_continue = False
            await self._send(sanic.http.http1.HTTP_CONTINUE)
        while self.recv_buffer.find(b"\n", len(b"\r\n")) < 0:
            if len(self.recv_buffer) > CHUNK_LINE_LIMIT_BYTES:
                break
            await self._receive_more()
        if grammar.CHUNK_LINE.match(self.recv_buffer) is None:
            self.keep_alive = False
            raise sanic.exceptions.BadRequest("the chunks of the body are malformed")


class StrictHttpProtocol(sanic.server.protocols.http_protocol.HttpProtocol):
    """Sanic's protocol with the requests of `StrictHttp`."""

    HTTP_CLASS = StrictHttp
