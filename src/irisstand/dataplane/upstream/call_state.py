"""The state of a request while it is sent to origins."""

import asyncio
import typing

from irisstand import drain_guard
from irisstand.dataplane.retry import attempt_policy, events
from irisstand.dataplane.routing import routes
from irisstand.dataplane.upstream import (
    attempts,
    exchange,
    origin_endpoint,
    response_stream,
    upstream_request,
)

# The fraction of a route's target response time that a request may wait for tokens of a rate limit.
RATE_WAIT_TARGET_FACTOR = 0.4
# The fraction of a request's remaining time that it may wait for tokens of a rate limit.
RATE_WAIT_REMAINING_FACTOR = 0.25

AttemptTask = asyncio.Task[attempts.Result]


class Call:
    """A request that is being processed, with its retry policy and its attempts in flight."""

    def __init__(
        self,
        route: routes.Route,
        service: str,
        request: upstream_request.Request,
        headers: upstream_request.Headers,
        retry_policy: attempt_policy.AttemptPolicy[exchange.Answer],
    ) -> None:
        self.route = route
        self.service = service
        self.request = request
        self.headers = headers
        self.retry_policy = retry_policy
        self.running: dict[AttemptTask, attempts.Attempt] = {}
        # The large responses of attempts that have ended, of which the retry policy chooses one.
        self.streams: list[response_stream.ResponseStream] = []

    def take(self, result: attempts.Result) -> None:
        """Keep the body of a response for as long as the retry policy may choose it."""
        if isinstance(result, events.ResponseReceived):
            body = result.response.body
            if isinstance(body, response_stream.ResponseStream):
                body.hold()
                self.streams.append(body)

    def offer_chosen(self, chosen: exchange.Answer | None) -> None:
        """Offer the body of the chosen response to its reader, and give up all others."""
        for stream in self.streams:
            if chosen is not None and stream is chosen.body:
                stream.offer()
            else:
                stream.close(response_stream.GiveUpReason.UNUSED)
        self.streams.clear()

    def drop_attempts(self) -> None:
        """Forget the attempts in flight, whose responses nobody waits for any more."""
        for task, attempt in self.running.items():
            task.add_done_callback(close_unused_response)
            if not attempt.has_whole_request:
                # What is left of the request belongs to its client's connection, which may drop it.
                task.cancel()
        # Attempts refer to this call: as long as it refers to them, too, only the garbage collector would
        # free their responses.
        self.running.clear()

    def rate_wait_seconds(self) -> float:
        """Return the seconds that the request may wait for a token of a rate limit from now on."""
        by_target = RATE_WAIT_TARGET_FACTOR * self.route.target
        return min(by_target, RATE_WAIT_REMAINING_FACTOR * self.retry_policy.remaining())

    def work_state(self) -> drain_guard.WorkState:
        """Return how far the request is, which decides what the drain guard may answer in its place.

        A request with an attempt that has ended counts as finished: the result only has to be read.
        """
        if any(task.done() for task in self.running):
            return drain_guard.WorkState.FINISHED
        sent = [attempt.may_have_sent for attempt in self.running.values()]
        if not any(sent):
            return drain_guard.WorkState.UNSENT
        if all(map(self.retry_policy.may_withdraw, sent)):
            return drain_guard.WorkState.WITHDRAWABLE
        return drain_guard.WorkState.BEGUN


def close_unused_response(task: AttemptTask) -> None:
    """Give up the response of an attempt that has ended if it is still arriving."""
    if task.cancelled() or task.exception() is not None:
        return
    result = task.result()
    if not isinstance(result, events.ResponseReceived):
        return
    body = result.response.body
    if isinstance(body, response_stream.ResponseStream):
        body.close(response_stream.GiveUpReason.UNUSED)
    elif not isinstance(body, bytes):
        body.close()


class Choice(typing.NamedTuple):
    """The endpoint for an attempt, and the seconds that the attempt waits under the service's rate limit."""

    endpoint: origin_endpoint.Endpoint
    upstream: routes.Upstream
    delay_seconds: float
