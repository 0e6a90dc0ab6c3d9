"""Sanic's HTTP protocol with strict checks: an ambiguous or malformed request is rejected with status 400.

Sanic itself ends a line only at CRLF, passes on any other bytes inside the line, and skips the two bytes
after a chunk without checking that they are CRLF.
"""

import asyncio
import typing

import sanic.exceptions
import sanic.http
import sanic.http.http1

from irisstand import errors, shared_bodies
from irisstand.http1 import (
    body_source,
    chunked_coding,
    request_head,
    streamed_response,
)

_HEAD_END = b"\r\n\r\n"
_CHUNKED = "chunked"
_OLD_VERSION = "1.0"
STATUS_BAD_GATEWAY = 502
# Why the rest of a response's body does not come.
BODY_ERRORS = (errors.IrisError, OSError, TimeoutError)


class StrictHttp(sanic.http.Http):
    """Receives the requests of one connection and checks them against the grammar of HTTP/1.1.

    Attributes:
        head: The parsed head of the request that is being answered.
        decoder: Decodes the body of the request if it is chunked.
    """

    __slots__ = ("decoder", "head")

    head: request_head.RequestHead
    decoder: chunked_coding.ChunkedDecoder
    # A `strict_protocol.StrictHttpProtocol`; sanic declares the class of its own protocol.
    protocol: typing.Any

    async def http1_request_header(self) -> None:
        """Receive the head of a request and check it before Sanic parses it.

        Raises:
            sanic.exceptions.BadRequest: The head is malformed or ambiguous.
        """
        if not self.protocol.has_received:
            # The client has sent many requests at once: other connections have their turn before the next.
            await asyncio.sleep(0)
        self.protocol.has_received = False
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
        """Read a piece of the body.

        Raises:
            sanic.exceptions.BadRequest: The chunked body is malformed.
            sanic.exceptions.PayloadTooLarge: The body is over the size limit.
            sanic.exceptions.ServiceUnavailable: This process has no memory left for the piece.
        """
        body_kind: typing.Any = self.request_body
        piece: bytes | None = await (self._read_chunks() if body_kind == _CHUNKED else super().read())
        if piece and not self.protocol.budget.take_piece(len(piece)):
            # Otherwise sanic would read the rest of the body before it closes the connection.
            self.request_body = None
            self.keep_alive = False
            raise sanic.exceptions.ServiceUnavailable("this node has no memory left for the request's body")
        return piece

    def init_for_request(self) -> None:
        """Prepare for the next request; the body of the last one is held no more."""
        self.free_request()
        parent: typing.Any = super()
        parent.init_for_request()
        self.decoder = chunked_coding.ChunkedDecoder()
        self.protocol.budget.end_body()
        self.protocol.budget.end_response()

    def free_request(self) -> None:
        """Free the body of the last request, which sanic's objects refer to until they are collected."""
        last: typing.Any = getattr(self, "request", None)
        if last is not None:
            last.body = b""

    async def http1_response_header(self, data: bytes, end_stream: bool) -> None:  # noqa: FBT001 - sanic's
        """Send the head of a response, with all of a small body or the pieces of a large one."""
        parent: typing.Any = super()
        source = None if self.head_only or not end_stream or data else self._take_source()
        if source is None:
            await parent.http1_response_header(data, end_stream)
            return
        self.protocol.budget.begin_response(source)
        # Sanic declares no types for responses in progress.
        response: typing.Any = self.response
        if source.length is not None:
            response.headers["content-length"] = str(source.length)
        try:
            await parent.http1_response_header(b"", False)  # noqa: FBT003 - sanic's
            await self._send_pieces(source)
        finally:
            self.protocol.budget.end_response()

    def _take_source(self) -> body_source.BodySource | None:
        """Return the body of the response if it is sent in pieces; None if it is small."""
        response: typing.Any = self.response
        if isinstance(response, streamed_response.StreamedResponse):
            self._check_framing(response.source)
            return response.source
        if len(response.body or b"") < shared_bodies.LARGE_BODY_BYTES:
            return None
        source = shared_bodies.SharedBodyReader(self.protocol.budget.holding.budget.bodies, response.body)
        # What refers to the response keeps its body no longer than it takes to send it.
        response.body = b""
        return source

    def _check_framing(self, source: body_source.BodySource) -> None:
        """Check that the client can tell the end of a body.

        Raises:
            sanic.exceptions.SanicException: The length is not known, and HTTP/1.0 does not have chunks.
        """
        request: typing.Any = self.request
        if source.length is None and request.version == _OLD_VERSION:
            source.close()
            raise sanic.exceptions.SanicException(
                "the response has no length", status_code=STATUS_BAD_GATEWAY
            )

    async def _send_pieces(self, source: body_source.BodySource) -> None:
        """Send a body piece by piece, each once the client has read most of the one before.

        Raises:
            sanic.exceptions.RequestCancelled: The rest of the body does not come, or the client has read
                nothing for as long as it may be idle; the connection is reset.
        """
        # Sanic sets the function that frames the body, or None once a body of known length is complete.
        send_piece: typing.Any = self.response_func
        try:
            while await self._send_piece(source, send_piece):
                pass
            if self.response_func is not None:
                await send_piece(b"", True)  # noqa: FBT003 - sanic's
        except (*BODY_ERRORS, sanic.exceptions.ServerError):
            self.protocol.budget.holding.budget.counters.add("responses_cut_off")
            # A response that ends early must not look complete.
            self.protocol.evict()
            raise sanic.exceptions.RequestCancelled from None

    async def _send_piece(self, source: body_source.BodySource, send_piece: typing.Any) -> bool:
        """Send the next piece once the client has read most of what was sent; return whether there was one.

        No piece is held while this waits: the frames of a connection that ends may live on for a while.
        """
        await self.protocol.wait_until_writable()
        async with asyncio.timeout(self.protocol.keep_alive_timeout):
            piece = await source.read()
        if piece:
            await send_piece(piece, False)  # noqa: FBT003 - sanic's
            self.protocol.budget.sent(len(piece))
        return bool(piece)

    async def _read_chunks(self) -> bytes | None:
        """Read the content of the chunks that have arrived, up to a limit; None at the end of the body."""
        # A client that sent `Expect: 100-continue` waits for this response before it sends the body.
        if self.expecting_continue:
            self.expecting_continue = False
            await self._send(sanic.http.http1.HTTP_CONTINUE)
        while True:
            content = self._decode_chunks()
            if content:
                if self.recv_buffer:
                    # More chunks have arrived, and other connections have their turn first.
                    await asyncio.sleep(0)
                return content
            if self.decoder.is_complete:
                self.request_body = None
                return None
            await self._receive_more()

    def _decode_chunks(self) -> bytes:
        try:
            content = self.decoder.decode(self.recv_buffer)
        except errors.BadRequestError as error:
            self.keep_alive = False
            raise sanic.exceptions.BadRequest(str(error)) from None
        if self.decoder.declared_bytes > self.request_max_size:
            self.keep_alive = False
            raise sanic.exceptions.PayloadTooLarge("Request body exceeds the size limit")
        return content
