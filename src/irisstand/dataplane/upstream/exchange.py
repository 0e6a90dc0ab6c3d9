"""A connection to an origin, one request at a time, that tells a surplus answer by its id.

aiohttp's client hands whatever comes on an idle connection to the next request, and opens a connection and
sends again by itself; here both would break a rule, so the answers are parsed by httptools and the connection
is our own (docs/platform.md).
"""

import asyncio
import collections.abc
import typing

import httptools

from irisstand import errors
from irisstand.dataplane.upstream import connection_state, transport_reset, upstream_request
from irisstand.http1 import grammar

BODY_LIMIT_BYTES = 64 * 1024 * 1024
# An idle connection is given up this long before its origin said it would close it.
IDLE_MARGIN_SECONDS = 1.0
IDLE_DEFAULT_SECONDS = 4.0
# Answers that belong to no request here, read past before the connection is given up.
SURPLUS_LIMIT = 3
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)

# The connection ended, or brought bytes that are no answer, before the answer was complete.
ConnectionBrokenError = errors.OriginFailedError


class Answer(typing.NamedTuple):
    """An origin's complete answer; header names in lower case, in the order in which they came."""

    status: int
    headers: dict[str, str]
    body: bytes


class Exchange(asyncio.Protocol):
    """One connection to an origin.

    `may_have_sent` is True from just before the first byte of a request may have left, until whoever manages
    the connection resets it.
    """

    def __init__(self, id_header: str) -> None:
        self.id_header = id_header
        self.state = connection_state.ConnectionState.OPEN
        self.may_have_sent = False
        # Set from the first request on: what comes after it may be a surplus answer to it.
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
        """Whether the connection may carry a further request, as far as is known."""
        return self.state is connection_state.ConnectionState.OPEN

    @property
    def is_waiting(self) -> bool:
        """Whether a request waits for its answer."""
        return self.waiting is not None and not self.waiting.done()

    def reset_parser(self) -> None:
        """Make ready for the answer to the next request."""
        self.parser: typing.Any = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    def stop_reuse(self) -> None:
        """Send no further request on this connection."""
        if self.state is connection_state.ConnectionState.OPEN:
            self.state = connection_state.ConnectionState.NOT_REUSABLE

    def end(self, error: Exception | None) -> None:
        """Close the connection, and fail the request that waits for an answer."""
        self.state = connection_state.ConnectionState.CLOSED
        if self.transport is not None:
            self.transport.close()
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(error or ConnectionBrokenError("the connection was given up"))

    def close(self) -> None:
        """Close the connection."""
        self.end(None)

    def abort(self) -> None:
        """Reset the connection, so that a request that is given up does not reach the origin later."""
        if self.transport is not None:
            transport_reset.reset(self.transport)
        self.end(None)

    def connection_made(self, transport: typing.Any) -> None:
        """Take over the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        # Nobody waits for an answer here: what comes belongs to no request.
        if not self.is_waiting:
            self.end(None)
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            text = f"the origin sent bytes that are no answer: {type(error).__name__}"
            self.end(ConnectionBrokenError(text))

    def connection_lost(self, error: Exception | None) -> None:
        """End the request in flight.

        An answer without length or chunks would end here, but then nothing shows that it is complete.
        """
        self.end(ConnectionBrokenError("the origin closed the connection before its answer was whole"))

    def on_message_begin(self) -> None:
        """Begin an answer."""
        # A second answer behind the first, in the same bytes: it belongs to no request.
        if not self.is_waiting:
            self.stop_reuse()
        self.headers = {}
        self.body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; repeated ones are joined (RFC 9110, section 5.3)."""
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_headers_complete(self) -> None:
        """Refuse an answer whose end could not be told."""
        status = self.parser.get_status_code()
        is_bodiless = self.method == "HEAD" or status in BODILESS_STATUSES or status < FIRST_FINAL_STATUS
        is_chunked = "chunked" in self.headers.get("transfer-encoding", "")
        if "content-length" not in self.headers and not is_chunked and not is_bodiless:
            raise ValueError("an answer without length or chunks")
        if status < FIRST_FINAL_STATUS:
            raise ValueError("not an answer that this connection can carry")
        # The parser waits for the body that the answer to a HEAD only announces.
        if self.method == "HEAD" and self.waiting is not None and not self.waiting.done():
            if not self.matches_request():
                raise ValueError("an answer that does not name its request")
            self.stop_reuse()
            self.waiting.set_result(Answer(status, self.headers, b""))

    def matches_request(self) -> bool:
        """Whether the answer is this request's. Without an id that is certain only of a connection's first.

        Believed of a surplus answer, "did not run" would have a request that is not idempotent sent twice.
        """
        found = self.headers.get(self.id_header)
        return self.is_first_request if found is None else found == self.request_id

    def on_body(self, body: bytes) -> None:
        """Add to the body."""
        self.body += body
        # An endless body must not fill this process's memory.
        if len(self.body) > BODY_LIMIT_BYTES:
            raise ValueError("an endless body")

    def on_message_complete(self) -> None:
        """Give the answer to the request that waits for it, if it is that request's."""
        if self.waiting is None or self.waiting.done():
            return
        found = self.headers.get(self.id_header)
        # A late answer to an earlier request in the place of this one's: the right one comes behind it.
        if found is not None and found != self.request_id:
            self.surplus_count += 1
            if self.surplus_count > SURPLUS_LIMIT:
                raise ValueError("too many answers to other requests")
            return
        if not self.matches_request():
            raise ValueError("an answer that does not name its request")
        self.update_reuse()
        self.waiting.set_result(Answer(self.parser.get_status_code(), self.headers, bytes(self.body)))

    def update_reuse(self) -> None:
        """Take from a complete answer whether and how long the connection may be used again."""
        # It was given before the request had left completely: what is left of that would go on after it.
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.stop_reuse()
        if "close" in self.headers.get("connection", "").lower() or not self.parser.should_keep_alive():
            self.stop_reuse()
        for part in self.headers.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and (seconds := grammar.whole_number(value)) is not None:
                self.idle_limit_seconds = max(0.0, seconds - IDLE_MARGIN_SECONDS)

    def is_usable(self) -> bool:
        """Whether a request may be sent: the connection is open, and not due to be closed by the origin."""
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
        """Send one request and return its answer; a cancelled one leaves the connection unusable.

        Raises:
            ConnectionBrokenError: no complete answer came; `may_have_sent` says whether the request left.
        """
        request = upstream_request.encode(method, target, headers, body)
        self.reset_parser()
        self.method = method
        self.request_id = request_id
        # Closed, but not yet told so: what is written now would go nowhere.
        if self.transport is None or self.transport.is_closing():
            self.end(None)
            raise ConnectionBrokenError("the connection was closed before the request could leave")
        self.waiting = asyncio.get_running_loop().create_future()
        self.may_have_sent = True
        self.is_first_request = not self.is_used
        self.is_used = True
        try:
            self.transport.write(request)
            return await self.waiting
        except BaseException:
            # Half an exchange cannot be carried on: the next request would read this one's answer.
            self.abort()
            raise
        finally:
            self.waiting = None
            self.idle_since = asyncio.get_running_loop().time()


Connect = collections.abc.Callable[[str, int], collections.abc.Awaitable[Exchange]]


def connector(id_header: str) -> Connect:
    """Return the function that opens connections whose answers name their request in `id_header`."""

    async def connect(host: str, port: int) -> Exchange:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: Exchange(id_header), host, port)
        return connection

    return connect
