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
    connection_history,
    connection_state,
    idle_time,
    request_sender,
    response_reader,
    response_reports,
    streamed_body,
    transport_reset,
    upstream_request,
)

# A request with a larger body is sent in two writes, so that the body is not copied.
JOINED_BODY_BYTES = 64 * 1024

# Raised when a connection ends or brings malformed bytes before the response is complete.
ConnectionBrokenError = errors.OriginFailedError
Answer = response_reader.Answer


class Exchange(asyncio.Protocol):
    """A connection to an origin, for one request at a time.

    `may_have_sent` is set just before a byte of a request may be sent; the connection's owner clears it.
    """

    def __init__(
        self,
        id_header: str,
        budget: resource_budget.ResourceBudget | None = None,
        report: response_reports.Report = response_reports.ignore,
    ) -> None:
        self.reader = response_reader.ResponseReader(id_header, self, budget, report)
        self.state = connection_state.ConnectionState.OPEN
        self.may_have_sent = False
        self.history = connection_history.ConnectionHistory()
        self.transport: asyncio.Transport | None = None
        self.is_paused = False
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.sender: request_sender.RequestSender | None = None
        self.waiting: asyncio.Future[Answer] | None = None
        self.idle_time = idle_time.IdleTime()

    @property
    def is_used(self) -> bool:
        """Whether the connection has carried a request: later bytes may be a surplus response to that one."""
        return self.history.carried_count > 0

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry another request, as far as is known."""
        return self.state is connection_state.ConnectionState.OPEN

    @property
    def local_port(self) -> int:
        """The port of this node's end of the connection; 0 if it is not known."""
        address = None if self.transport is None else self.transport.get_extra_info("sockname")
        return address[1] if isinstance(address, tuple) else 0

    @property
    def is_waiting(self) -> bool:
        """Whether a request waits for its response."""
        return self.waiting is not None and not self.waiting.done()

    def stop_reuse(self) -> None:
        """Mark the connection as unusable for further requests; the response in flight is still read."""
        if self.state is connection_state.ConnectionState.OPEN:
            self.state = connection_state.ConnectionState.NOT_REUSABLE

    def end(self, error: errors.IrisError | None) -> None:
        """Close the connection, and fail the request that waits for a response or passes one on."""
        self.state = connection_state.ConnectionState.CLOSED
        self.reader.discard()
        if self.sender is not None:
            self.sender.stop()
        if self.transport is not None:
            self.transport.close()
        reason = error or ConnectionBrokenError("this node closed the connection")
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(reason)
        if self.reader.stream is not None:
            self.reader.stream.fail(reason)

    def close(self) -> None:
        """Close the connection; a request that waits for its response fails."""
        self.end(None)

    def abort(self) -> None:
        """Reset the connection, so that an abandoned request does not reach the origin later."""
        if self.transport is not None:
            transport_reset.reset(self.transport)
        self.end(None)

    def pause_reading(self) -> None:
        """Stop reading from the origin."""
        if self.transport is not None and not self.transport.is_closing():
            self.is_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on from the origin if reading is paused."""
        if self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = False
            self.transport.resume_reading()

    # -- callbacks of the transport ------------------------------------------------------------------
    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the next bytes of a response."""
        # No request waits for a response, so these bytes belong to none.
        if not self.is_waiting and not self.reader.is_streaming:
            self.reader.report_refusal(response_reports.RefusalReason.NO_REQUEST)
            self.end(None)
            return
        try:
            self.reader.feed(data)
        except (httptools.HttpParserError, ValueError) as error:
            self.reader.report_refusal(self.reader.refusal_reason)
            text = f"the origin sent bytes that are no valid response: {type(error).__name__}"
            self.end(ConnectionBrokenError(text))

    def pause_writing(self) -> None:
        """Note that the origin reads more slowly than the request's body arrives."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Note that the origin has read most of what was sent."""
        self.can_write.set()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight; a response that only the close would end could be incomplete."""
        self.reader.budget.close()
        self.can_write.set()
        self.end(ConnectionBrokenError("the origin closed the connection before its response was complete"))

    # -- responses -----------------------------------------------------------------------------------
    def deliver(self, answer: Answer) -> None:
        """Give a response to the request that waits for it."""
        if self.waiting is not None:
            self.waiting.set_result(answer)

    def end_response(self) -> None:
        """Determine from a complete response whether the connection may be reused."""
        # The end may have come together with so much that reading had stopped.
        self.resume_reading()
        self.update_reuse()
        self.idle_time.restart()

    def update_reuse(self) -> None:
        """Determine from a complete response whether and how long the connection may be reused."""
        headers = self.reader.headers
        # The response came before the whole request was sent: the rest would be sent before the next request.
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.stop_reuse()
        if self.sender is not None and not self.sender.is_done:
            self.stop_reuse()
        if "close" in headers.get("connection", "").lower() or not self.reader.parser.should_keep_alive():
            self.stop_reuse()
        self.idle_time.take_limit(headers.get("keep-alive", ""))

    def is_usable(self) -> bool:
        """Return whether a request may be sent: the connection is open and not about to time out."""
        return self.is_open and not self.history.is_full and not self.idle_time.is_over

    async def send(
        self,
        method: str,
        target: bytes,
        headers: collections.abc.Iterable[tuple[str, str]],
        body: bytes | streamed_body.StreamedBody,
        request_id: str,
    ) -> Answer:
        """Send one request and return the response with its id; cancelling leaves the connection unusable.

        The body of a large response is a stream that is still arriving; until its end, the connection
        carries no other request.

        Raises:
            errors.NotSentError: The connection has carried a request with this id, or one without an id.
            ConnectionBrokenError: No complete response came; `may_have_sent` tells if it may have run.
        """
        if not self.history.may_carry(request_id):
            raise errors.NotSentError("a late response on the connection could pass for that to the request")
        head = upstream_request.encode_head(method, target, headers, upstream_request.body_length(body))
        self.reader.begin(method, request_id, is_first=not self.is_used)
        # The transport is closing although `connection_lost` was not called yet; written bytes would be lost.
        if self.transport is None or self.transport.is_closing():
            self.end(None)
            raise ConnectionBrokenError("the connection was closed before the request could be sent")
        self.waiting = asyncio.get_running_loop().create_future()
        self.may_have_sent = True
        self.history.add(request_id)
        try:
            self._write(self.transport, head, body)
            return await self.waiting
        except BaseException:
            # After an incomplete exchange, the next request would read the response to this one.
            self.abort()
            raise
        finally:
            self.reader.budget.release()
            self.waiting = None
            self.idle_time.restart()

    def _write(
        self, transport: asyncio.Transport, head: bytes, body: bytes | streamed_body.StreamedBody
    ) -> None:
        """Send a request, or the head of one whose body is sent while it arrives."""
        self.sender = None
        if isinstance(body, streamed_body.StreamedBody):
            transport.write(head)
            self.sender = request_sender.RequestSender(transport, self.can_write, self._fail_sending)
            self.sender.start(body)
        elif len(body) <= JOINED_BODY_BYTES:
            transport.write(head + body)
        else:
            transport.write(head)
            transport.write(body)

    def _fail_sending(self) -> None:
        """Reset the connection, as the origin will not get the rest of the request."""
        if self.transport is not None:
            transport_reset.reset(self.transport)
        self.end(ConnectionBrokenError("the client did not send the whole body of the request"))
