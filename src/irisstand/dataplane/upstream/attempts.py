"""One attempt at one endpoint: a request goes out over one connection, and its answer is judged."""

import asyncio
import collections.abc
import dataclasses

from irisstand import errors, node_context
from irisstand.dataplane.http import header_names
from irisstand.dataplane.retry import attempt_policy, events, forwarding_policy
from irisstand.dataplane.upstream import exchange, origin_endpoint, upstream_request

MINIMUM_CONNECT_SECONDS = 0.01
# How long an attempt goes on after the deadline of its request. An origin that works on a request ends it
# with its deadline, and its answer keeps the connection usable; in a queue it may only begin then.
LATE_ANSWER_SECONDS = 0.1
# The same for an attempt that is not withdrawn.
CARRIED_ON_SECONDS = 1.0
# How long an endpoint that did not run a request gets no other.
FULL_SECONDS = 0.05
# Clients take these to say that the request has not run, so they are not passed on from an origin that did
# not say so itself.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MISDIRECTED_STATUS = 421
BAD_REQUEST_STATUS = 400
FIRST_REDIRECT_STATUS = 300

Result = events.ResponseReceived[exchange.Answer] | events.AttemptFailed


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """What is sent to which endpoint; an anonymous attempt goes without the client's request id.

    Attributes:
        check_again: Raises an IrisError if, after a wait, the endpoint may not be used any more.
        connection: What the request is sent over; None until there is one.
    """

    endpoint: origin_endpoint.Endpoint
    request: upstream_request.Request
    headers: upstream_request.Headers
    retry_policy: attempt_policy.AttemptPolicy[exchange.Answer]
    delay_seconds: float
    check_again: collections.abc.Callable[[], None]
    is_anonymous: bool
    connection: exchange.Exchange | None = None

    @property
    def service(self) -> str:
        """The name of the service that is asked."""
        return self.endpoint.origin.service

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have left for the origin."""
        return self.connection is not None and self.connection.may_have_sent


class AttemptSender:
    """Makes attempts and says what became of them."""

    def __init__(self, context: node_context.NodeContext, words: header_names.HeaderNames) -> None:
        self.context = context
        self.header_names = words

    async def run(self, attempt: Attempt) -> Result:
        """Make one attempt, after its delay."""
        endpoint = attempt.endpoint
        number = endpoint.begin()
        is_answered = False
        try:
            if attempt.delay_seconds:
                await asyncio.sleep(attempt.delay_seconds)
                attempt.check_again()
            given_id = attempt.request.headers.get(self.header_names.request_id, "")
            request_id = "" if attempt.is_anonymous else given_id
            # Without an id nothing would tell a surplus answer to an earlier request from this one's.
            timeout = max(MINIMUM_CONNECT_SECONDS, attempt.retry_policy.remaining())
            attempt.connection = await endpoint.acquire(timeout, is_fresh=not request_id)
            # A new one took time to open.
            if not attempt.connection.is_used:
                attempt.check_again()
            answer = await self.send(attempt.connection, attempt, request_id)
            is_answered = True
            return self.judge(endpoint, answer, request_id)
        except (OSError, TimeoutError, ValueError, errors.IrisError) as error:
            touched = attempt.may_have_sent
            self.context.counters.add("origin_failures", service=attempt.service, touched=str(touched))
            known = forwarding_policy.as_iris_error(error)
            return events.AttemptFailed(known, endpoint.instance, touched, touched)
        except asyncio.CancelledError:
            if attempt.may_have_sent:
                endpoint.note_unanswered(number)
            raise
        finally:
            endpoint.finish(number, is_answered=is_answered)
            if attempt.connection is not None:
                endpoint.release(attempt.connection)

    async def send(self, connection: exchange.Exchange, attempt: Attempt, request_id: str) -> exchange.Answer:
        """Send the request over a connection and return the answer, which may have any status."""
        request, words = attempt.request, self.header_names
        remaining_ms = max(1, int(attempt.retry_policy.remaining() * 1000))
        left_out = (
            words.remaining,
            words.expected_instance,
            words.request_id if attempt.is_anonymous else "",
        )
        headers = [("host", request.host), *((n, v) for n, v in attempt.headers if n not in left_out)]
        headers += [
            (words.remaining, str(remaining_ms)),
            (words.expected_instance, attempt.endpoint.instance),
        ]
        # The policy has its own deadline; this one is for what goes on after it.
        async with asyncio.timeout(self.timeout_seconds(attempt)):
            return await connection.send(request.method, request.target, headers, request.body, request_id)

    def timeout_seconds(self, attempt: Attempt) -> float:
        """Return how long an attempt that is about to be sent may take."""
        retry_policy = attempt.retry_policy
        is_withdrawn = retry_policy.may_withdraw(may_have_sent=True)
        return retry_policy.remaining() + (LATE_ANSWER_SECONDS if is_withdrawn else CARRIED_ON_SECONDS)

    def judge(self, endpoint: origin_endpoint.Endpoint, answer: exchange.Answer, request_id: str) -> Result:
        """Return what an origin's complete answer means for the request."""
        words, instance = self.header_names, endpoint.instance
        if answer.status == MISDIRECTED_STATUS:
            # Another instance has the address: nothing more goes there until the list says so.
            endpoint.mark_down("another instance answers")
            error = errors.NoOriginError(f"{instance} is not at its address any more", retry_after=0.2)
            return events.AttemptFailed(error, instance, may_have_run=False)
        if words.not_run in answer.headers and answer.status in (*NOT_RUN_STATUSES, BAD_REQUEST_STATUS):
            endpoint.full_until = self.context.clock.now() + FULL_SECONDS
            full = errors.LimitExceededError(f"{instance} did not run the request", retry_after=0.15)
            return events.AttemptFailed(full, instance, may_have_run=False)
        if answer.status in NOT_RUN_STATUSES:
            text = f"{instance} answered {answer.status}, and may have run the request"
            return events.AttemptFailed(errors.OriginFailedError(text), instance)
        if request_id and answer.headers.get(words.request_id) != request_id:
            unnamed = errors.UnsealedResultError("the answer does not name the request")
            return events.AttemptFailed(unnamed, instance)
        if answer.status < FIRST_REDIRECT_STATUS and words.digest not in answer.headers:
            unsealed = errors.UnsealedResultError("the answer bears no seal")
            return events.AttemptFailed(unsealed, instance)
        return events.ResponseReceived(answer, instance)
