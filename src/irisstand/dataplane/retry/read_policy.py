"""Policies of reads at edges and shields: where a read is sent next, and when it is rejected."""

import typing

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import actions, events, forwarding_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.membership import updates

ResponseT = typing.TypeVar("ResponseT")
SERVER_ERROR_STATUS = 500


class EdgeReadPolicy(forwarding_policy.ToShieldPolicy[ResponseT]):
    """Sends a read from an edge to the next shield if one failed without a reply.

    Args:
        clock: Gives the time in seconds.
        allowed: What the configuration says about the request.
        shields: The shields in the order in which they get the read.
        budget: Limits the retries of this edge.
        deadline: The time by the clock at which the read is given up.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        allowed: configuration_view.AllowedRequest,
        shields: list[updates.Update],
        budget: budgets.RetryBudget,
        deadline: float,
    ) -> None:
        super().__init__(clock, allowed, shields, deadline)
        self.budget = budget

    def on_attempt_failed(self, error: errors.IrisError) -> actions.SendToShield | actions.Reject:
        """Send the read to the next shield if the error and the retry budget allow it."""
        # After a NotSentError nothing has left this node, so the next shield gets the first attempt.
        if type(error) is errors.NotSentError or self.may_try_next(error):
            return self.send_to_next()
        if type(error) is errors.UnansweredError and self.may_retry_at_next_shield():
            return self.send_to_next()
        return actions.Reject(error)

    def may_retry_at_next_shield(self) -> bool:
        """Return whether the next shield gets a retry, which is then taken from the retry budget."""
        has_time = self.remaining() > forwarding_policy.MINIMUM_RETRY_SECONDS
        return bool(self.shields) and has_time and self.budget.take()


class ShieldReadPolicy(forwarding_policy.ToOriginPolicy):
    """Retries a read at another origin within the retry budget of a shield.

    Args:
        clock: Gives the time in seconds.
        allowed: What the configuration says about the request, with its deadline.
        remaining: Seconds for which the edge still waits.
        budget: Limits the retries of this shield.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        allowed: configuration_view.AllowedRequest,
        remaining: float,
        budget: budgets.RetryBudget,
    ) -> None:
        super().__init__(clock, allowed, remaining)
        self.budget = budget
        self.last_error: errors.IrisError | None = None
        self.error_response: objects.CachedObject | None = None
        self.is_counted = False

    def decide(
        self, event: events.Started | forwarding_policy.ToOriginEvent[objects.CachedObject]
    ) -> forwarding_policy.ToOriginAction[objects.CachedObject]:
        """Update the state of the read by `event` and return the next action."""
        match event:
            case events.Started():
                return self.send()
            case events.ResponseReceived():
                return self.on_response(event)
            case events.AttemptFailed():
                return self.on_attempt_failed(event)
            case events.NoEndpoint():
                return self.on_no_endpoint(event.error)

    def on_response(
        self, event: events.ResponseReceived[objects.CachedObject]
    ) -> forwarding_policy.ToOriginAction[objects.CachedObject]:
        """Respond to the edge, but retry after a server error if time and the retry budget allow it."""
        self.count_first_attempt()
        response = event.response
        # The edge gets this server error if no other origin is available.
        if response.status >= SERVER_ERROR_STATUS and self.may_retry(event.endpoint):
            self.error_response = response
            return self.send()
        return actions.Respond(response)

    def on_attempt_failed(self, event: events.AttemptFailed) -> actions.SendAttempt | actions.Reject:
        """Retry within the retry budget; after an attempt that no origin has executed, at no cost to it."""
        if event.may_have_run:
            self.count_first_attempt()
        self.last_error = event.error
        self.tried.add(event.endpoint)
        if not event.may_have_run or self.may_retry(event.endpoint):
            return self.send()
        return actions.Reject(event.error)

    def on_no_endpoint(
        self, error: errors.IrisError
    ) -> actions.Respond[objects.CachedObject] | actions.Reject:
        """End the read with an earlier origin's response or error, which says more than that none is left."""
        if self.error_response is not None:
            return actions.Respond(self.error_response)
        return actions.Reject(self.last_error or error)

    def count_first_attempt(self) -> None:
        """Count this read as a first attempt in the retry budget, once.

        A read counts only when an origin may have executed it. If it counted from the start, a read that went
        from shield to shield because no origin was available would raise the retry budget of each shield.
        """
        if not self.is_counted:
            self.is_counted = True
            self.budget.record_first_attempt()

    def may_retry(self, origin: str) -> bool:
        """Return whether the read may be retried after `origin`; a retry is taken from the retry budget."""
        self.tried.add(origin)
        return self.remaining() > forwarding_policy.MINIMUM_RETRY_SECONDS and self.budget.take()
