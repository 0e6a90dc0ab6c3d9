"""Policy of idempotent requests at a node that connects to origins itself.

A request is retried at another endpoint when an attempt fails. When an attempt is slow, a hedged request is
sent beside it (Dean and Barroso, "The Tail at Scale", 2013).
"""

import typing

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import actions, attempt_policy, events
from irisstand.dataplane.routing import routes

# A hedged request is sent once an attempt has taken both this multiple of the endpoint's usual response time
# and, by the second constant, this fraction of the route's target response time.
HEDGE_USUAL_FACTOR = 2.5
HEDGE_TARGET_FACTOR = 0.5
SERVER_ERROR_STATUS = 500

ResponseT = typing.TypeVar("ResponseT", bound=attempt_policy.HasStatus)
Action = attempt_policy.Action[ResponseT]


class IdempotentAttemptPolicy(attempt_policy.AttemptPolicy[ResponseT]):
    """Retries a request that may be executed more than once, and hedges it when an attempt is slow.

    Args:
        clock: Gives the time in seconds.
        route: The route of the request, with its limit of attempts and its target response time.
        remaining: Seconds for which the client still waits.
        budget: Limits the retries and hedged requests of this node.
    """

    def __init__(
        self, clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
    ) -> None:
        super().__init__(clock, route, remaining, budget)
        self.in_flight = 0
        self.hedge_at: float | None = None
        self.error_response: ResponseT | None = None

    def on_attempt_sent(self, event: events.AttemptSent) -> Action[ResponseT]:
        """Count the attempt, and set the time at which a hedged request follows it."""
        self.tried.add(event.endpoint)
        self.attempts_sent += 1
        self.in_flight += 1
        self.hedge_at = self.next_hedge(event.usual_seconds)
        return self.wait()

    def next_hedge(self, usual_seconds: float) -> float | None:
        """Return the time from which the newest attempt counts as slow; None if that has no consequence."""
        now = self.clock.now()
        if self.attempts_sent < self.route.attempts:
            usual = HEDGE_USUAL_FACTOR * usual_seconds
            return now + max(usual, HEDGE_TARGET_FACTOR * self.route.target)
        if self.error_response is not None:
            # The first attempt ended with a server error, which the client gets if the retry is slow, too.
            return now + HEDGE_USUAL_FACTOR * usual_seconds + self.route.target
        return None

    def wait(self) -> Action[ResponseT]:
        """Wait for the attempts in flight until a hedged request is due or the deadline has passed."""
        if self.remaining() <= 0:
            return self.give_up(
                errors.DeadlineExceededError("no origin sent a complete response before the deadline")
            )
        until = self.deadline if self.hedge_at is None else min(self.hedge_at, self.deadline)
        return actions.Wait(max(0.0, until - self.clock.now()))

    def on_timer_expired(self) -> Action[ResponseT]:
        """Send the hedged request when it is due, or give the client a server error that came before."""
        if self.hedge_at is not None and self.clock.now() >= self.hedge_at:
            self.hedge_at = None
            if self.error_response is not None:
                return actions.Respond(self.error_response)
            if self.may_retry():
                return self.send()
        return self.wait()

    def on_response(self, response: ResponseT) -> Action[ResponseT]:
        """Respond to the client, but retry after a server error if another attempt is allowed."""
        self.in_flight -= 1
        # The client gets this server error if no other response comes.
        if response.status >= SERVER_ERROR_STATUS:
            self.error_response = response
            if self.in_flight:
                return self.wait()
            if self.may_retry():
                return self.send()
        return actions.Respond(response)

    def on_attempt_failed(self, event: events.AttemptFailed) -> Action[ResponseT]:
        """Retry within the retry budget; an attempt that was not sent is not counted and costs no retry."""
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
        """Wait for the attempts in flight; without any, end the request with the last error."""
        if self.in_flight:
            self.hedge_at = None
            return self.wait()
        return self.give_up(self.last_error or error)

    def give_up(self, error: errors.IrisError) -> Action[ResponseT]:
        """Respond with a server error that an origin sent before, or reject the request with `error`."""
        if self.error_response is not None:
            return actions.Respond(self.error_response)
        return actions.Reject(error)
