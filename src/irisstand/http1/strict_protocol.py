"""Sanic's HTTP protocol with strict checks: an ambiguous or malformed request is rejected with status 400.

Sanic itself ends a line only at CRLF, passes on any other bytes inside the line, and skips the two bytes
after a chunk without checking that they are CRLF.
"""

import asyncio
import typing

import sanic.exceptions
import sanic.http
import sanic.http.http1
import sanic.server.protocols.http_protocol

from irisstand import errors, shared_bodies
from irisstand.http1 import chunked_coding, connection_budget, request_head

_HEAD_END = b"\r\n\r\n"
_CHUNKED = "chunked"
# A larger response is sent in slices of this size, each once the client has read most of the one before.
SLICE_BYTES = shared_bodies.LARGE_BODY_BYTES


class StrictHttp(sanic.http.Http):
    """Receives the requests of one connection and checks them against the grammar of HTTP/1.1.

    Attributes:
        head: The parsed head of the request that is being answered.
        decoder: Decodes the body of the request if it is chunked.
    """

    __slots__ = ("decoder", "head")

    head: request_head.RequestHead
    decoder: chunked_coding.ChunkedDecoder
    # A `StrictHttpProtocol`; sanic declares the class of its own protocol.
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
        parent: typing.Any = super()
        parent.init_for_request()
        self.decoder = chunked_coding.ChunkedDecoder()
        self.protocol.budget.end_body()

    async def http1_response_header(self, data: bytes, end_stream: bool) -> None:  # noqa: FBT001 - sanic's
        """Send the head of a response, with all of a small body or the slices of a large one."""
        parent: typing.Any = super()
        if self.head_only or not end_stream or data or not self._begin_large_response():
            await parent.http1_response_header(data, end_stream)
            return
        await parent.http1_response_header(b"", False)  # noqa: FBT003 - sanic's
        await self._send_slices()

    def _begin_large_response(self) -> bool:
        """Move the body of a large response from sanic's object to the budget; return whether it is large."""
        # Sanic declares no types for responses in progress.
        response: typing.Any = self.response
        if len(response.body or b"") < SLICE_BYTES:
            return False
        response.headers["content-length"] = str(len(response.body))
        self.protocol.budget.begin_response(response.body)
        # What refers to the response keeps its body no longer than it takes to send it.
        response.body = b""
        return True

    async def _send_slices(self) -> None:
        """Send a body, and hold no copy of more than a slice for a client that reads slowly."""
        budget = self.protocol.budget
        try:
            for piece in budget.slices(SLICE_BYTES):
                await self.protocol.wait_until_writable()
                await self.http1_response_normal(piece, len(piece) == self.response_bytes_left)
                budget.sent(len(piece))
        finally:
            budget.end_response()

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


class StrictHttpProtocol(sanic.server.protocols.http_protocol.HttpProtocol):
    """Sanic's HTTP protocol, with `StrictHttp` to receive the requests.

    Attributes:
        budget: What the connection holds of the budget of the process, `app.ctx.budget`.
        has_received: Whether bytes have arrived since the head of the last request was read.
    """

    __slots__ = ("budget", "has_received")

    HTTP_CLASS = StrictHttp
    budget: connection_budget.ConnectionBudget
    has_received: bool

    def connection_made(self, transport: typing.Any) -> None:
        """Serve a new connection, unless the process has too many."""
        parent: typing.Any = super()
        self.has_received = False
        parent.connection_made(transport)
        process_budget = self.app.ctx.budget
        holding = process_budget.open_connection(self)
        self.budget = connection_budget.ConnectionBudget(self, holding or process_budget.open())
        if holding is None:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass on the next bytes of the client, and count them."""
        self.has_received = True
        super().data_received(data)
        self.budget.receive(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Let go of all that the connection holds."""
        parent: typing.Any = super()
        parent.connection_lost(exc)
        self.budget.close()

    async def wait_until_writable(self) -> None:
        """Wait until the client has read most of what was sent; one that reads nothing is disconnected.

        Raises:
            sanic.exceptions.RequestCancelled: The client has read nothing for as long as it may be idle.
        """
        while not self._can_write.is_set():
            unsent = self.unsent_bytes()
            try:
                async with asyncio.timeout(self.keep_alive_timeout):
                    await self._can_write.wait()
            except TimeoutError:
                if self.unsent_bytes() >= unsent:
                    self.evict()
                    raise sanic.exceptions.RequestCancelled from None

    def is_evictable(self) -> bool:
        """Return whether the connection waits for its client: for a request, or to read a response."""
        http = self.http
        if http is None or self.unsent_bytes():
            return True
        return http.stage in (sanic.http.Stage.IDLE, sanic.http.Stage.REQUEST) or bool(http.request_body)

    def evict(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def unsent_bytes(self) -> int:
        """Return the bytes that are written and not sent yet."""
        if self.transport is None:
            return 0
        unsent: int = self.transport.get_write_buffer_size()
        return unsent
