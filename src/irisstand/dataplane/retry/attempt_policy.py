"""Base class of the retry policies at a node that connects to origins itself."""

import typing

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import actions, events, policy
from irisstand.dataplane.routing import routes

# Subtracted from a request's deadline, so that the response has time to reach the client.
RETURN_TRIP_SECONDS = 0.015
# No retry is sent with less time than this until the deadline.
MINIMUM_RETRY_SECONDS = 0.03


class HasStatus(typing.Protocol):
    """A response with an HTTP status code."""

    @property
    def status(self) -> int:
        """The HTTP status code."""
        ...


ResponseT = typing.TypeVar("ResponseT", bound=HasStatus)
AttemptAction = actions.SendAttempt | actions.Wait
Action = AttemptAction | actions.Respond[ResponseT] | actions.Reject
AttemptEvent = (
    events.AttemptSent
    | events.TimerExpired
    | events.ResponseReceived[ResponseT]
    | events.AttemptFailed
    | events.NoEndpoint
)
Event = events.Started | AttemptEvent[ResponseT]


class AttemptPolicy(policy.DeadlinePolicy, typing.Generic[ResponseT]):
    """Bounds a request by one deadline over all attempts, and by its route's limit of attempts.

    Args:
        clock: Gives the time in seconds.
        route: The route of the request, with its timeout and its limit of attempts.
        remaining: Seconds for which the client still waits.
        budget: Limits the retries of this node.

    Attributes:
        is_repeat: Whether an earlier call has sent the request, so that it adds nothing to the retry budget.
    """

    def __init__(
        self, clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
    ) -> None:
        super().__init__(clock, clock.now() + min(remaining, route.timeout) - RETURN_TRIP_SECONDS)
        self.route = route
        self.budget = budget
        self.attempts_sent = 0
        self.is_repeat = False
        self.tried: set[str] = set()
        self.last_error: errors.IrisError | None = None

    def decide(self, event: Event[ResponseT]) -> Action[ResponseT]:
        """Update the state of the request by `event` and return the next action."""
        match event:
            case events.Started():
                return self.on_started()
            case events.AttemptSent():
                return self.on_attempt_sent(event)
            case events.TimerExpired():
                return self.on_timer_expired()
            case events.ResponseReceived():
                return self.on_response(event.response)
            case events.AttemptFailed():
                return self.on_attempt_failed(event)
            case events.NoEndpoint():
                return self.on_no_endpoint(event.error)

    def on_started(self) -> Action[ResponseT]:
        """Send the first attempt, or reject a request whose deadline is too close."""
        if not self.is_repeat:
            self.budget.record_first_attempt()
        if self.remaining() <= policy.MINIMUM_SEND_SECONDS:
            return policy.deadline_rejection("an origin")
        return self.send()

    def on_attempt_sent(self, event: events.AttemptSent) -> Action[ResponseT]:
        """Count the attempt that was sent and wait for it to end."""
        raise NotImplementedError

    def on_timer_expired(self) -> Action[ResponseT]:
        """Decide what to do when a wait ended before any attempt did."""
        raise NotImplementedError

    def on_response(self, response: ResponseT) -> Action[ResponseT]:
        """Decide whether the client gets this response or the request is retried."""
        raise NotImplementedError

    def on_attempt_failed(self, event: events.AttemptFailed) -> Action[ResponseT]:
        """Decide whether a request whose attempt failed is sent again."""
        raise NotImplementedError

    def on_no_endpoint(self, error: errors.IrisError) -> Action[ResponseT]:
        """Decide what to do when no origin endpoint may be used now."""
        raise NotImplementedError

    def send(self) -> actions.SendAttempt:
        """Return the action that sends one more attempt, to an endpoint that had no attempt yet."""
        return actions.SendAttempt(self.tried)

    def may_retry(self) -> bool:
        """Take a retry from the retry budget if the route's limit and the deadline allow one more attempt.

        Returns:
            Whether a retry was taken and may be sent.
        """
        return (
            self.attempts_sent < self.route.attempts
            and self.remaining() > MINIMUM_RETRY_SECONDS
            and self.budget.take()
        )
