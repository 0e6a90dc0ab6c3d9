"""Sanic's HTTP protocol with strict checks: an ambiguous or malformed request is rejected with status 400.

Sanic itself ends a line only at CRLF, passes on any other bytes inside the line, and skips the two bytes
after a chunk without checking that they are CRLF.
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
# The greatest length of the line with a chunk's size and extensions.
CHUNK_LINE_LIMIT_BYTES = 256


class StrictHttp(sanic.http.Http):
    """Receives the requests of one connection and checks them against the grammar of HTTP/1.1.

    Attributes:
        head: The parsed head of the request that is being answered.
    """

    __slots__ = ("head",)

    head: request_head.RequestHead

    async def http1_request_header(self) -> None:
        """Receive the head of a request and check it before Sanic parses it.

        Raises:
            sanic.exceptions.BadRequest: The head is malformed or ambiguous.
        """
        end = await self._receive_head()
        if end >= 0:
            try:
                self.head = request_head.parse(bytes(self.recv_buffer[:end]))
            except errors.BadRequestError as error:
                raise sanic.exceptions.BadRequest(str(error)) from None
        # Sanic's `Http` class has no type annotations here, so `super()` is handled as untyped.
        parent: typing.Any = super()
        await parent.http1_request_header()

    def create_empty_request(self) -> None:
        """Create the placeholder request that lets Sanic answer a malformed request.

        Sanic would create it from the target of the request, which fails when the target is malformed.
        """
        self.url = None
        super().create_empty_request()

    async def _receive_head(self) -> int:
        """Receive up to the end of the next head; return its length, or -1 if it is over Sanic's limit."""
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
        """Read a piece of the body, and check each chunk's size line before Sanic parses it.

        Raises:
            sanic.exceptions.BadRequest: The chunked body is malformed.
            sanic.exceptions.PayloadTooLarge: The body is over the size limit.
        """
        body_kind: typing.Any = self.request_body
        if body_kind == _CHUNKED and self.request_bytes_left == 0:
            await self._check_chunk_line()
        piece: bytes | None = await super().read()
        return piece

    async def _check_chunk_line(self) -> None:
        """Receive the size line of a chunk, and check it together with the line break in front of it."""
        # A client that sent `Expect: 100-continue` waits for this response before it sends the body.
        if self.expecting_continue:
            self.expecting_continue = False
            await self._send(sanic.http.http1.HTTP_CONTINUE)
        while self.recv_buffer.find(b"\n", len(b"\r\n")) < 0:
            if len(self.recv_buffer) > CHUNK_LINE_LIMIT_BYTES:
                break
            await self._receive_more()
        if grammar.CHUNK_LINE.match(self.recv_buffer) is None:
            self.keep_alive = False
            raise sanic.exceptions.BadRequest("the chunked request body is malformed")


class StrictHttpProtocol(sanic.server.protocols.http_protocol.HttpProtocol):
    """Sanic's HTTP protocol, with `StrictHttp` to receive the requests."""

    HTTP_CLASS = StrictHttp
