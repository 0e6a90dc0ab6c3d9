"""A connection to an origin that carries one request at a time and matches responses to requests by their id.

aiohttp's client passes bytes that arrive on an idle connection to the next request, and reconnects and sends
again by itself. A request could get a wrong response or run twice, so this module keeps its own connections
and parses responses with httptools (docs/platform.md).
"""

import asyncio
import collections.abc
import typing

import httptools

from irisstand import errors, resource_budget
from irisstand.dataplane.upstream import (
    connection_state,
    response_budget,
    response_framing,
    transport_reset,
    upstream_request,
)
from irisstand.http1 import grammar, keep_alive

BODY_LIMIT_BYTES = 64 * 1024 * 1024
# A request with a larger body is sent in two writes, so that the body is not copied.
JOINED_BODY_BYTES = 64 * 1024
# An idle connection is discarded this long before the time at which its origin announced to close it.
IDLE_MARGIN_SECONDS = 1.0
IDLE_DEFAULT_SECONDS = 4.0
# How many responses that bear the id of another request are skipped before the connection is closed.
SURPLUS_LIMIT = 3

# Raised when a connection ends or brings malformed bytes before the response is complete.
ConnectionBrokenError = errors.OriginFailedError


class Answer(typing.NamedTuple):
    """An origin's complete response; header names are in lower case and in the order of their arrival."""

    status: int
    headers: dict[str, str]
    body: bytes


class Exchange(asyncio.Protocol):
    """A connection to an origin, for one request at a time.

    `may_have_sent` is set just before a byte of a request may be sent; the connection's owner clears it.
    """

    def __init__(self, id_header: str, budget: resource_budget.ResourceBudget | None = None) -> None:
        self.id_header = id_header
        self.budget = response_budget.ResponseBudget(budget)
        self.state = connection_state.ConnectionState.OPEN
        self.may_have_sent = False
        # Whether the connection has carried a request: later bytes may be a surplus response to that request.
        self.is_used = False
        self.is_first_request = True
        self.transport: asyncio.Transport | None = None
        self.request_id = ""
        self.method = ""
        self.waiting: asyncio.Future[Answer] | None = None
        self.surplus_count = 0
        self.idle_limit_seconds = IDLE_DEFAULT_SECONDS
        self.idle_since = asyncio.get_running_loop().time()
        self.reset_parser()

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry another request, as far as is known."""
        return self.state is connection_state.ConnectionState.OPEN

    @property
    def is_waiting(self) -> bool:
        """Whether a request waits for its response."""
        return self.waiting is not None and not self.waiting.done()

    def reset_parser(self) -> None:
        """Create a new parser for the response to the next request."""
        self.parser: typing.Any = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def stop_reuse(self) -> None:
        """Mark the connection as unusable for further requests; the response in flight is still read."""
        if self.state is connection_state.ConnectionState.OPEN:
            self.state = connection_state.ConnectionState.NOT_REUSABLE

    def end(self, error: Exception | None) -> None:
        """Close the connection, and fail the request that waits for a response."""
        self.state = connection_state.ConnectionState.CLOSED
        self.body = bytearray()
        if self.transport is not None:
            self.transport.close()
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(error or ConnectionBrokenError("this node closed the connection"))

    def close(self) -> None:
        """Close the connection; a request that waits for its response fails."""
        self.end(None)

    def abort(self) -> None:
        """Reset the connection, so that an abandoned request does not reach the origin later."""
        if self.transport is not None:
            transport_reset.reset(self.transport)
        self.end(None)

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport of the new connection."""
        self.transport = transport
        self.budget.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes of a response."""
        # No request waits for a response, so these bytes belong to none.
        if not self.is_waiting:
            self.end(None)
            return
        try:
            self.parser.feed_data(data)
            self.budget.hold(len(self.body), len(self.body))
        except (httptools.HttpParserError, ValueError) as error:
            text = f"the origin sent bytes that are no valid response: {type(error).__name__}"
            self.end(ConnectionBrokenError(text))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight; a response that only the close would end could be incomplete."""
        self.budget.close()
        self.end(ConnectionBrokenError("the origin closed the connection before its response was complete"))

    def on_message_begin(self) -> None:
        """Start a response."""
        # A second response that follows the first in the same bytes belongs to no request.
        if not self.is_waiting:
            self.stop_reuse()
        self.headers = {}
        self.body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the values of a repeated header are joined with commas (RFC 9110, section 5.3)."""
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_headers_complete(self) -> None:
        """Reject a response whose end can't be determined, and complete the response to a HEAD request."""
        status = self.parser.get_status_code()
        response_framing.check(self.method, status, self.headers)
        # The parser would wait for the body whose length the response to a HEAD only announces.
        if self.method == "HEAD" and self.waiting is not None and not self.waiting.done():
            if not self.matches_request():
                raise ValueError("the response does not bear the id of the request")
            self.stop_reuse()
            self.waiting.set_result(Answer(status, self.headers, b""))
        elif (length := grammar.whole_number(self.headers.get("content-length", ""))) is not None:
            self.budget.hold(length, 0)

    def matches_request(self) -> bool:
        """Return whether the response is for this request: it has its id, or none on an unused connection.

        A surplus response that says "did not run" would have a request that is not idempotent sent twice.
        """
        found = self.headers.get(self.id_header)
        return self.is_first_request if found is None else found == self.request_id

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body; a body over the size limit is an error."""
        self.body += body
        # An endless body must not exhaust the memory of this process.
        if len(self.body) > BODY_LIMIT_BYTES:
            raise ValueError("the response body is over the size limit")

    def on_message_complete(self) -> None:
        """Pass the complete response to the request that waits for it, if the ids match."""
        if self.waiting is None or self.waiting.done():
            return
        found = self.headers.get(self.id_header)
        # This is a late response to an earlier request.
        if found is not None and found != self.request_id:
            self.surplus_count += 1
            if self.surplus_count > SURPLUS_LIMIT:
                raise ValueError("too many responses bear the ids of other requests")
            return
        if not self.matches_request():
            raise ValueError("the response does not bear the id of the request")
        self.update_reuse()
        body = bytes(self.body)
        self.body = bytearray()
        self.budget.hand_over(body)
        self.waiting.set_result(Answer(self.parser.get_status_code(), self.headers, body))

    def update_reuse(self) -> None:
        """Determine from a complete response whether and how long the connection may be reused."""
        # The response came before the whole request was sent: the rest would be sent before the next request.
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.stop_reuse()
        if "close" in self.headers.get("connection", "").lower() or not self.parser.should_keep_alive():
            self.stop_reuse()
        timeout_seconds = keep_alive.timeout_seconds(self.headers.get("keep-alive", ""))
        if timeout_seconds is not None:
            self.idle_limit_seconds = max(0.0, timeout_seconds - IDLE_MARGIN_SECONDS)

    def is_usable(self) -> bool:
        """Return whether a request may be sent: the connection is open and not about to time out."""
        now = asyncio.get_running_loop().time()
        return (
            self.state is connection_state.ConnectionState.OPEN
            and now - self.idle_since < self.idle_limit_seconds
        )

    async def send(
        self,
        method: str,
        target: bytes,
        headers: collections.abc.Iterable[tuple[str, str]],
        body: bytes,
        request_id: str,
    ) -> Answer:
        """Send one request and return the response with its id; cancelling leaves the connection unusable.

        Raises:
            ConnectionBrokenError: No complete response came; `may_have_sent` tells if it may have run.
        """
        head = upstream_request.encode_head(method, target, headers, len(body))
        if len(body) <= JOINED_BODY_BYTES:
            head, body = head + body, b""
        self.reset_parser()
        self.method = method
        self.request_id = request_id
        # The transport is closing although `connection_lost` was not called yet; written bytes would be lost.
        if self.transport is None or self.transport.is_closing():
            self.end(None)
            raise ConnectionBrokenError("the connection was closed before the request could be sent")
        self.waiting = asyncio.get_running_loop().create_future()
        self.may_have_sent = True
        self.is_first_request = not self.is_used
        self.is_used = True
        try:
            self.transport.write(head)
            if body:
                self.transport.write(body)
            return await self.waiting
        except BaseException:
            # After an incomplete exchange, the next request would read the response to this one.
            self.abort()
            raise
        finally:
            self.budget.release()
            self.waiting = None
            self.idle_since = asyncio.get_running_loop().time()
