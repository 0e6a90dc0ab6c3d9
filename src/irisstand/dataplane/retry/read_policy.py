"""Policies of reads: which shield or origin is asked next, and when a read is given up."""

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
    """Policy of a read at an edge: a read that a shield did not answer may be sent to the next one."""

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
        # Nothing has left this node, so asking the next shield is still the first attempt.
        if type(error) is errors.NotSentError or self.may_try_next(error):
            return self.send_to_next()
        if type(error) is errors.UnansweredError and self.may_retry_at_next_shield():
            return self.send_to_next()
        return actions.Reject(error)

    def may_retry_at_next_shield(self) -> bool:
        """Take a retry from the budget, if there is another shield and time for it."""
        has_time = self.remaining() > forwarding_policy.MINIMUM_RETRY_SECONDS
        return bool(self.shields) and has_time and self.budget.take()


class ShieldReadPolicy(forwarding_policy.ToOriginPolicy):
    """Policy of a read at a shield: retried at another origin within the retry budget."""

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
        """Take note of `event` and return what to do next."""
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
        """Respond, but retry once a response that is a server error."""
        self.count_first_attempt()
        response = event.response
        # The origin's error is still its response if no other comes.
        if response.status >= SERVER_ERROR_STATUS and self.may_retry(event.endpoint):
            self.error_response = response
            return self.send()
        return actions.Respond(response)

    def on_attempt_failed(self, event: events.AttemptFailed) -> actions.SendAttempt | actions.Reject:
        """Retry within the budget; an attempt that reached no origin is followed by another at no cost."""
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
        """Report what the first origin did, which says more than that there is no second one."""
        if self.error_response is not None:
            return actions.Respond(self.error_response)
        return actions.Reject(self.last_error or error)

    def count_first_attempt(self) -> None:
        """Let the request earn its part of the retry budget, once.

        It counts only when it has gone to an origin: counted at the start, requests that are passed from
        shield to shield for want of an origin would each earn retries.
        """
        if not self.is_counted:
            self.is_counted = True
            self.budget.record_first_attempt()

    def may_retry(self, origin: str) -> bool:
        """Take a retry from the budget, if there is time for it."""
        self.tried.add(origin)
        return self.remaining() > forwarding_policy.MINIMUM_RETRY_SECONDS and self.budget.take()
