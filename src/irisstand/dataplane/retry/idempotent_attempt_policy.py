"""Policy of idempotent requests at a node that reaches origins by itself.

A request is retried at another endpoint when an attempt fails, and a second attempt is sent beside the first
when that is slow (a hedged request; Dean and Barroso, "The Tail at Scale", 2013).
"""

import typing

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import actions, attempt_policy, events
from irisstand.dataplane.routing import routes

# A hedged request is sent after this many times the endpoint's usual time, and at least this part of the
# route's target.
HEDGE_USUAL_FACTOR = 2.5
HEDGE_TARGET_FACTOR = 0.5
SERVER_ERROR_STATUS = 500

ResponseT = typing.TypeVar("ResponseT", bound=attempt_policy.HasStatus)
Action = attempt_policy.Action[ResponseT]


class IdempotentAttemptPolicy(attempt_policy.AttemptPolicy[ResponseT]):
    """Policy of a request that may run more than once: it is retried, and hedged when it is slow."""

    def __init__(
        self, clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
    ) -> None:
        super().__init__(clock, route, remaining, budget)
        self.in_flight = 0
        self.hedge_at: float | None = None
        self.error_response: ResponseT | None = None

    def on_attempt_sent(self, event: events.AttemptSent) -> Action[ResponseT]:
        """Count the attempt, and set the time at which a hedged request is sent."""
        self.tried.add(event.endpoint)
        self.attempts_sent += 1
        self.in_flight += 1
        self.hedge_at = self.next_hedge(event.usual_seconds)
        return self.wait()

    def next_hedge(self, usual_seconds: float) -> float | None:
        """Return when the attempt that was just sent is taken to be slow; None if nothing follows from it."""
        now = self.clock.now()
        if self.attempts_sent < self.route.attempts:
            usual = HEDGE_USUAL_FACTOR * usual_seconds
            return now + max(usual, HEDGE_TARGET_FACTOR * self.route.target)
        if self.error_response is not None:
            # There is a response already, though an error: the retry need not be waited for to the end.
            return now + HEDGE_USUAL_FACTOR * usual_seconds + self.route.target
        return None

    def wait(self) -> Action[ResponseT]:
        """Wait for the attempts in flight until the time of a hedged request or the deadline."""
        if self.remaining() <= 0:
            return self.give_up(errors.DeadlineExceededError("no origin gave a whole answer in time"))
        until = self.deadline if self.hedge_at is None else min(self.hedge_at, self.deadline)
        return actions.Wait(max(0.0, until - self.clock.now()))

    def on_timer_expired(self) -> Action[ResponseT]:
        """Send a hedged request when its time has come."""
        if self.hedge_at is not None and self.clock.now() >= self.hedge_at:
            self.hedge_at = None
            if self.error_response is not None:
                return actions.Respond(self.error_response)
            if self.may_retry():
                return self.send()
        return self.wait()

    def on_response(self, response: ResponseT) -> Action[ResponseT]:
        """Respond, but retry once a response that is a server error."""
        self.in_flight -= 1
        # The origin's error is still its response if no other comes.
        if response.status >= SERVER_ERROR_STATUS:
            self.error_response = response
            if self.in_flight:
                return self.wait()
            if self.may_retry():
                return self.send()
        return actions.Respond(response)

    def on_attempt_failed(self, event: events.AttemptFailed) -> Action[ResponseT]:
        """Retry within the budget; an attempt that reached nobody is not counted as one."""
        self.in_flight -= 1
        self.last_error = event.error
        if not event.was_sent:
            self.attempts_sent -= 1
            if self.remaining() > attempt_policy.MINIMUM_RETRY_SECONDS:
                return self.send()
        if self.in_flight:
            return self.wait()
        if self.may_retry():
            return self.send()
        return self.give_up(event.error)

    def on_no_endpoint(self, error: errors.IrisError) -> Action[ResponseT]:
        """Wait for the attempts in flight, or give up."""
        if self.in_flight:
            self.hedge_at = None
            return self.wait()
        return self.give_up(self.last_error or error)

    def give_up(self, error: errors.IrisError) -> Action[ResponseT]:
        """Respond with an origin's server error if there is one, else reject with `error`."""
        if self.error_response is not None:
            return actions.Respond(self.error_response)
        return actions.Reject(error)
