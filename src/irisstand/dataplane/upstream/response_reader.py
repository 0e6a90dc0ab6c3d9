"""Reads the responses on one connection to an origin, with httptools as the parser."""

import typing

import httptools

from irisstand import resource_budget
from irisstand.dataplane.upstream import (
    response_budget,
    response_framing,
    response_reports,
    response_stream,
)
from irisstand.http1 import body_source, grammar

# How many responses that bear the ids of other requests are skipped while one request waits.
SURPLUS_LIMIT = 8


class Answer(typing.NamedTuple):
    """An origin's response; header names are in lower case and in the order of their arrival.

    The body is complete, or a stream if it is larger than `body_source.HELD_BODY_BYTES`.
    """

    status: int
    headers: dict[str, str]
    body: bytes | body_source.BodySource


class Receiver(response_stream.OriginConnection, typing.Protocol):
    """The connection that gets the responses."""

    @property
    def is_waiting(self) -> bool:
        """Whether a request waits for its response."""
        ...

    def deliver(self, answer: Answer) -> None:
        """Take the response to the request that waits."""
        ...

    def end_response(self) -> None:
        """Note that the response to the request is complete, before it is delivered unless it is a stream."""
        ...

    def stop_reuse(self) -> None:
        """Note that the connection cannot carry another request."""
        ...

    @property
    def local_port(self) -> int:
        """The port of this node's end of the connection; 0 if it is not known."""
        ...


class ResponseReader:
    """Reads the response to one request at a time; it must bear the request's id.

    Args:
        id_header: The header in which responses bear the id of their request.
        receiver: The connection.
        budget: The budget of the process; None if responses do not count.
        report: Gets the responses that are not taken.

    Attributes:
        headers: The headers of the newest response.
        stream: The body that is being passed on; None if there is none.
    """

    def __init__(
        self,
        id_header: str,
        receiver: Receiver,
        budget: resource_budget.ResourceBudget | None,
        report: response_reports.Report,
    ) -> None:
        self.report = report
        self.id_header = id_header
        self.receiver = receiver
        self.process_budget = budget
        self.budget = response_budget.ResponseBudget(budget, receiver)
        self.begin("", "", is_first=True)

    def begin(self, method: str, request_id: str, *, is_first: bool) -> None:
        """Prepare for the response to the next request, which may be the first one on the connection."""
        self.method = method
        self.request_id = request_id
        self.is_first_request = is_first
        self.surplus_count = 0
        self.parser: typing.Any = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.stream: response_stream.ResponseStream | None = None
        # Why the response is refused, if it is refused now.
        self.refusal_reason = response_reports.RefusalReason.MALFORMED

    @property
    def is_streaming(self) -> bool:
        """Whether a body is being passed on that is not complete."""
        return self.stream is not None and not self.stream.has_ended

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises:
            httptools.HttpParserError, ValueError: The bytes are no valid response.
        """
        self.parser.feed_data(data)
        self.budget.hold(len(self.body), len(self.body))

    def discard(self) -> None:
        """Drop what has arrived of a response that will not be complete."""
        self.body = bytearray()

    # -- callbacks of the parser ---------------------------------------------------------------------
    def on_message_begin(self) -> None:
        """Start a response."""
        # A second response that follows the first in the same bytes belongs to no request.
        if not self.receiver.is_waiting:
            self.receiver.stop_reuse()
        self.headers = {}
        self.body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; the values of a repeated header are joined with commas (RFC 9110, section 5.3)."""
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_headers_complete(self) -> None:
        """Reject a response whose end can't be determined, and deliver what needs no body or is large."""
        status = self.parser.get_status_code()
        response_framing.check(self.method, status, self.headers)
        has_body = status not in response_framing.BODILESS_STATUSES
        length = grammar.whole_number(self.headers.get("content-length", "")) if has_body else None
        # The parser would wait for the body whose length the response to a HEAD only announces.
        if self.method == "HEAD":
            if self.receiver.is_waiting:
                self.check_request()
                self.receiver.stop_reuse()
                self.receiver.deliver(Answer(status, self.headers, b""))
        elif length is not None and length > response_stream.BODY_LIMIT_BYTES:
            raise ValueError("the response body is over the size limit")
        elif length is not None and length > body_source.HELD_BODY_BYTES:
            self.begin_stream(length)
        elif length is not None:
            self.budget.hold(length, 0)

    def on_body(self, body: bytes) -> None:
        """Pass on or hold a piece of the body; drop that of a surplus response."""
        if self.stream is not None:
            self.stream.feed(body)
        elif self.receiver.is_waiting and not self.is_surplus():
            self.body += body
            if len(self.body) > body_source.HELD_BODY_BYTES:
                self.begin_stream(None)

    def on_message_complete(self) -> None:
        """Deliver the complete response to the request that waits for it, if the ids match."""
        if self.is_streaming and self.stream is not None:
            self.receiver.end_response()
            self.stream.finish()
            return
        if not self.receiver.is_waiting:
            return
        if self.is_surplus():
            # This is a late response to an earlier request.
            self.surplus_count += 1
            self._report(response_reports.ResponseFate.SKIPPED, response_reports.RefusalReason.OTHER_ID)
            if self.surplus_count > SURPLUS_LIMIT:
                self.refusal_reason = response_reports.RefusalReason.TOO_MANY
                raise ValueError("too many responses bear the ids of other requests")
            return
        self.check_request()
        self.receiver.end_response()
        body = bytes(self.body)
        self.body = bytearray()
        self.budget.hand_over(body)
        self.receiver.deliver(Answer(self.parser.get_status_code(), self.headers, body))

    # -- reports -------------------------------------------------------------------------------------
    def report_refusal(self, reason: response_reports.RefusalReason) -> None:
        """Report that a response, or bytes that belong to none, closed the connection."""
        self._report(response_reports.ResponseFate.REFUSED, reason)

    def _report(self, fate: response_reports.ResponseFate, reason: response_reports.RefusalReason) -> None:
        has_head = reason in response_reports.REASONS_WITH_HEAD
        self.report(
            response_reports.ResponseReport(
                fate,
                reason,
                self.receiver.local_port,
                self.request_id if self.receiver.is_waiting else "",
                (self.found_id() or "") if has_head else "",
                self.parser.get_status_code() if has_head else 0,
            )
        )

    # -- ids and streams -----------------------------------------------------------------------------
    def found_id(self) -> str | None:
        """Return the id that the response bears; None if it bears none."""
        return self.headers.get(self.id_header)

    def is_surplus(self) -> bool:
        """Return whether the response bears the id of another request."""
        found = self.found_id()
        return found is not None and found != self.request_id

    def check_request(self) -> None:
        """Check that the response is for this request: it has its id, or none on an unused connection.

        A surplus response that says "did not run" would have a request that is not idempotent sent twice.

        Raises:
            ValueError: The response may be for another request.
        """
        found = self.found_id()
        is_for_request = self.is_first_request if found is None else found == self.request_id
        if not is_for_request:
            reasons = response_reports.RefusalReason
            self.refusal_reason = reasons.NO_ID if found is None else reasons.OTHER_ID
            raise ValueError("the response does not bear the id of the request")

    def begin_stream(self, length: int | None) -> None:
        """Deliver a large response whose body is passed on while it arrives."""
        if not self.receiver.is_waiting or self.is_surplus():
            return
        self.check_request()
        self.budget.release()
        self.stream = response_stream.ResponseStream(length, self.receiver, self.process_budget)
        beginning, self.body = bytes(self.body), bytearray()
        self.stream.feed(beginning)
        self.receiver.deliver(Answer(self.parser.get_status_code(), self.headers, self.stream))
