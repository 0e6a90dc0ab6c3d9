"""Sends one attempt of a request to one origin endpoint and classifies the response."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools

from irisstand import errors, event_log, node_context, transfer_speed
from irisstand.dataplane.http import header_names
from irisstand.dataplane.retry import attempt_policy, events, forwarding_policy
from irisstand.dataplane.upstream import (
    exchange,
    origin_endpoint,
    response_classifier,
    response_stream,
    streamed_body,
    upstream_request,
)

MINIMUM_CONNECT_SECONDS = 0.01
# How long an attempt that may be withdrawn goes on after the deadline of its request. An origin that is
# processing the request stops at the deadline, and its late response keeps the connection reusable. A request
# that still waits in the origin's queue may only start then, so waiting longer for it is of no use.
LATE_ANSWER_SECONDS = 0.1
# How long an attempt that may not be withdrawn goes on after the deadline of its request.
CARRIED_ON_SECONDS = 1.0

Result = response_classifier.Result


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one origin endpoint.

    Attributes:
        endpoint: The origin endpoint that the request is sent to.
        request: The client's request.
        headers: The end-to-end headers to send.
        retry_policy: The retry policy of the request; it holds the request's deadline.
        delay_seconds: How long to wait for a token of the rate limit before sending.
        check_again: Raises an IrisError if, after a wait, the endpoint may not be used any more.
        is_anonymous: Whether the client's request id is left out of the headers.
        is_copied: Whether the response becomes a copy of an object, for other clients too.
        connection_limit: How many connections this node may have to the endpoint.
        transfer_limit: How many large bodies may be passed on to and from the endpoint at a time.
        connection: The connection that carries the request; None until one is acquired.
    """

    endpoint: origin_endpoint.Endpoint
    request: upstream_request.Request
    headers: upstream_request.Headers
    retry_policy: attempt_policy.AttemptPolicy[exchange.Answer]
    delay_seconds: float
    check_again: collections.abc.Callable[[], None]
    is_anonymous: bool
    is_copied: bool
    connection_limit: int
    transfer_limit: int
    connection: exchange.Exchange | None = None

    @property
    def service(self) -> str:
        """The name of the service that the request is sent to."""
        return self.endpoint.origin.service

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have been sent to the origin."""
        return self.connection is not None and self.connection.may_have_sent

    @property
    def has_whole_request(self) -> bool:
        """Whether nothing more of the request has to come from its client."""
        body = self.request.body
        return isinstance(body, bytes) or body.is_complete


def end_attempt(attempt: Attempt, number: int) -> None:
    """Record the end of an attempt, and return its connection."""
    attempt.endpoint.finish(number)
    if attempt.connection is not None:
        attempt.endpoint.release(attempt.connection)


class Upload:
    """The large body of an attempt's request, while it is passed on to the origin (a `Transfer`).

    Args:
        sender: The sender of the attempt.
        attempt: The attempt.
        connection: The connection to the origin.
        number: The number of the attempt at its endpoint.
        time_limit: The timeout of the attempt.
    """

    def __init__(
        self,
        sender: "AttemptSender",
        attempt: Attempt,
        connection: exchange.Exchange,
        number: int,
        time_limit: asyncio.Timeout,
    ) -> None:
        self.sender = sender
        self.attempt = attempt
        self.connection = connection
        self.number = number
        self.time_limit = time_limit
        self.speed = transfer_speed.TransferSpeed(sender.context.clock.now)

    def on_progress(self, length: int) -> None:
        """Let the time for the response begin anew, as it counts from the end of the request's body."""
        self.speed.add(length)
        self.attempt.retry_policy.restart_deadline()
        timeout_seconds = self.sender.timeout_seconds(self.attempt)
        with contextlib.suppress(RuntimeError):
            # The timeout has expired, or the attempt has ended.
            self.time_limit.reschedule(asyncio.get_running_loop().time() + timeout_seconds)
        if self.attempt.has_whole_request:
            self.attempt.endpoint.await_response(self.number)

    def evict(self) -> None:
        """Reset the connection to the origin, to make room for others."""
        self.connection.abort()


class AttemptSender:
    """Sends attempts to origin endpoints and reports their results as events of the retry policy."""

    def __init__(self, context: node_context.NodeContext, names: header_names.HeaderNames) -> None:
        self.context = context
        self.header_names = names
        self.classifier = response_classifier.ResponseClassifier(context, names)

    async def run(self, attempt: Attempt) -> Result:
        """Send one attempt after its delay, and return its result."""
        endpoint = attempt.endpoint
        number = endpoint.begin()
        is_passing_on = False
        try:
            if attempt.delay_seconds:
                await asyncio.sleep(attempt.delay_seconds)
                attempt.check_again()
            given_id = attempt.request.headers.get(self.header_names.request_id, "")
            request_id = "" if attempt.is_anonymous else given_id
            timeout = max(MINIMUM_CONNECT_SECONDS, attempt.retry_policy.remaining())
            limit = attempt.connection_limit if request_id else None
            attempt.connection = await endpoint.acquire(timeout, request_id, limit)
            # A new connection took time to open, and the configuration may have changed meanwhile.
            if not attempt.connection.is_used:
                attempt.check_again()
            answer = await self.send(attempt.connection, attempt, number, request_id)
            sent = response_classifier.SentRequest(attempt.headers, request_id, attempt.is_anonymous)
            result = self.classifier.classify(endpoint, sent, answer)
            endpoint.note_answered(number)
            self.record_taken(attempt, attempt.connection, answer)
            is_passing_on = self.begin_passing_on(attempt, number, answer, result)
        except (OSError, TimeoutError, ValueError, errors.IrisError) as error:
            may_have_sent = attempt.may_have_sent
            self.context.counters.add("origin_failures", service=attempt.service, touched=str(may_have_sent))
            iris_error = forwarding_policy.as_iris_error(error).without_frames()
            return events.AttemptFailed(iris_error, endpoint.instance, may_have_sent, may_have_sent)
        except asyncio.CancelledError:
            if attempt.may_have_sent:
                endpoint.note_unanswered(number)
            raise
        else:
            return result
        finally:
            if not is_passing_on:
                end_attempt(attempt, number)

    def record_taken(self, attempt: Attempt, connection: exchange.Exchange, answer: exchange.Answer) -> None:
        """Record on which connection the response came that becomes a copy of an object."""
        if not attempt.is_copied:
            return
        event_log.record(
            "response-taken",
            origin=attempt.endpoint.instance,
            local_port=connection.local_port,
            request_id=attempt.request.headers.get(self.header_names.request_id, ""),
            anonymous=attempt.is_anonymous,
            status=answer.status,
            carried=connection.history.carried_count,
        )

    def begin_passing_on(
        self, attempt: Attempt, number: int, answer: exchange.Answer, result: Result
    ) -> bool:
        """Keep the attempt's connection for a response that is still arriving; return whether it is.

        Raises:
            errors.OriginFailedError: The response has ended early already.
        """
        stream = answer.body
        if not isinstance(stream, response_stream.ResponseStream):
            return False
        if not isinstance(result, events.ResponseReceived):
            stream.close(response_stream.GiveUpReason.ATTEMPT_ENDED)
            return False
        if stream.error is not None:
            stream.close(response_stream.GiveUpReason.ATTEMPT_ENDED)
            raise stream.error.copy()
        if stream.has_ended:
            # The connection is free, while the client has yet to read what the stream holds.
            return False
        stream.on_end = functools.partial(end_attempt, attempt, number)
        attempt.endpoint.begin_transfer(number, stream, attempt.transfer_limit)
        return True

    async def send(
        self, connection: exchange.Exchange, attempt: Attempt, number: int, request_id: str
    ) -> exchange.Answer:
        """Send the request over a connection and return the response, whatever its status."""
        request, names = attempt.request, self.header_names
        remaining_ms = max(1, int(attempt.retry_policy.remaining() * 1000))
        left_out = (
            names.remaining,
            names.expected_instance,
            names.request_id if attempt.is_anonymous else "",
        )
        headers = [("host", request.host), *((n, v) for n, v in attempt.headers if n not in left_out)]
        headers += [
            (names.remaining, str(remaining_ms)),
            (names.expected_instance, attempt.endpoint.instance),
        ]
        # The retry policy enforces the request's deadline; this timeout bounds an attempt that outlasts it.
        async with asyncio.timeout(self.timeout_seconds(attempt)) as time_limit:
            if isinstance(request.body, streamed_body.StreamedBody):
                upload = Upload(self, attempt, connection, number, time_limit)
                request.body.on_progress = upload.on_progress
                attempt.endpoint.begin_transfer(number, upload, attempt.transfer_limit)
            return await connection.send(request.method, request.target, headers, request.body, request_id)

    def timeout_seconds(self, attempt: Attempt) -> float:
        """Return the seconds that an attempt may take from now on until its response is complete."""
        retry_policy = attempt.retry_policy
        is_withdrawn = retry_policy.may_withdraw(may_have_sent=True)
        return retry_policy.remaining() + (LATE_ANSWER_SECONDS if is_withdrawn else CARRIED_ON_SECONDS)
