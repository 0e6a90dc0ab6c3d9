"""What the policies of a node that reaches origins by itself share: a deadline and a limit of attempts."""

import typing

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import actions, events, policy
from irisstand.dataplane.routing import routes

# The part of a deadline that is kept for the response's way back to the client.
RETURN_TRIP_SECONDS = 0.015
# With less time left than this, no further attempt is sent.
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
    """What all requests have in common: one deadline, and a limit of attempts."""

    def __init__(
        self, clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
    ) -> None:
        super().__init__(clock, clock.now() + min(remaining, route.timeout) - RETURN_TRIP_SECONDS)
        self.route = route
        self.budget = budget
        self.attempts_sent = 0
        self.tried: set[str] = set()
        self.last_error: errors.IrisError | None = None

    def decide(self, event: Event[ResponseT]) -> Action[ResponseT]:
        """Take note of `event` and return what to do next."""
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
        """Send the first attempt if there is time."""
        self.budget.record_first_attempt()
        if self.remaining() <= policy.MINIMUM_SEND_SECONDS:
            return policy.deadline_rejection("an origin")
        return self.send()

    def on_attempt_sent(self, event: events.AttemptSent) -> Action[ResponseT]:
        """Count the attempt and wait for its end."""
        raise NotImplementedError

    def on_timer_expired(self) -> Action[ResponseT]:
        """Decide what to do while no attempt has ended."""
        raise NotImplementedError

    def on_response(self, response: ResponseT) -> Action[ResponseT]:
        """Decide whether the response is given to the client."""
        raise NotImplementedError

    def on_attempt_failed(self, event: events.AttemptFailed) -> Action[ResponseT]:
        """Decide whether the request may be sent again."""
        raise NotImplementedError

    def on_no_endpoint(self, error: errors.IrisError) -> Action[ResponseT]:
        """Decide what to do when no endpoint may be used now."""
        raise NotImplementedError

    def send(self) -> actions.SendAttempt:
        """Send one more attempt, to an endpoint that had none yet."""
        return actions.SendAttempt(self.tried)

    def may_retry(self) -> bool:
        """Take a retry from the budget, if the route's limit and the deadline allow one more attempt."""
        return (
            self.attempts_sent < self.route.attempts
            and self.remaining() > MINIMUM_RETRY_SECONDS
            and self.budget.take()
        )
