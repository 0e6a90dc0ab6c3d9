"""Classifies an origin's complete response as the result of an attempt, or as its failure."""

import typing

from irisstand import errors, node_context
from irisstand.dataplane.http import header_names
from irisstand.dataplane.retry import events
from irisstand.dataplane.upstream import exchange, not_modified, origin_endpoint, upstream_request

# How long an endpoint that refused to run a request gets no further request.
REFUSAL_PAUSE_SECONDS = 0.05
# Clients take these statuses to mean that the request has not run. They are only passed on from an origin
# that also sets the header that says so.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MISDIRECTED_STATUS = 421
BAD_REQUEST_STATUS = 400
FIRST_REDIRECT_STATUS = 300
# An object, and the confirmation of a copy, are the same for all requests. Any other response to a retry of
# which the id was left out belongs to no client.
ANONYMOUS_STATUSES = (200, 304)

Result = events.ResponseReceived[exchange.Answer] | events.AttemptFailed


class SentRequest(typing.NamedTuple):
    """What a response is compared with.

    Attributes:
        headers: The end-to-end headers of the request.
        request_id: The id that the request bore; empty if it bore none.
        is_anonymous: Whether the id of the client's request was left out.
    """

    headers: upstream_request.Headers
    request_id: str
    is_anonymous: bool


class ResponseClassifier:
    """Decides what a response means for the attempt that it belongs to.

    Args:
        context: The node's context.
        names: The names of the headers between this node and origins.
    """

    def __init__(self, context: node_context.NodeContext, names: header_names.HeaderNames) -> None:
        self.context = context
        self.header_names = names

    def classify(
        self,
        endpoint: origin_endpoint.Endpoint,
        sent: SentRequest,
        answer: exchange.Answer,
    ) -> Result:
        """Classify an origin's complete response as the result of the attempt or as a failure.

        Args:
            endpoint: The endpoint that sent the response.
            sent: The request.
            answer: The response.
        """
        names, instance = self.header_names, endpoint.instance
        if answer.status == MISDIRECTED_STATUS:
            # Another instance has taken over the address: it gets no request until the origin list names it.
            endpoint.mark_down("another instance answers")
            error = errors.NoOriginError(
                f"origin {instance} is not at its address any more: another instance answers there",
                retry_after=0.2,
            )
            return events.AttemptFailed(error, instance, may_have_run=False)
        if names.not_run in answer.headers and answer.status in (*NOT_RUN_STATUSES, BAD_REQUEST_STATUS):
            endpoint.paused_until = self.context.clock.now() + REFUSAL_PAUSE_SECONDS
            full = errors.LimitExceededError(
                f"origin {instance} refused the request without running it", retry_after=0.15
            )
            return events.AttemptFailed(full, instance, may_have_run=False)
        if answer.status in NOT_RUN_STATUSES:
            text = f"origin {instance} answered with status {answer.status} and may have run the request"
            return events.AttemptFailed(errors.OriginFailedError(text), instance)
        fault = self.integrity_fault(sent, answer)
        if fault:
            return events.AttemptFailed(errors.ResponseIntegrityError(fault), instance)
        if sent.is_anonymous and answer.status not in ANONYMOUS_STATUSES:
            text = f"origin {instance} answered a retry without an id with status {answer.status}"
            return events.AttemptFailed(errors.OriginFailedError(text), instance)
        return events.ResponseReceived(answer, instance)

    def integrity_fault(self, sent: SentRequest, answer: exchange.Answer) -> str:
        """Return what a response lacks that proves it to be the one to its request; empty if nothing."""
        names = self.header_names
        if sent.request_id and answer.headers.get(names.request_id) != sent.request_id:
            return "the origin's response does not bear the request's id"
        if not_modified.is_unasked(answer, sent.headers):
            return "the origin's 304 is not about the copy that was asked for"
        if answer.status < FIRST_REDIRECT_STATUS and names.digest not in answer.headers:
            return "the origin's response lacks the digest header that confirms it"
        return ""
