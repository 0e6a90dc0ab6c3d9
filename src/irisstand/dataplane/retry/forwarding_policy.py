"""Base classes of the policies for reads and writes: at an edge, and at a shield.

An edge sends a request to shields in order; a shield sends it to origins that it has not tried yet.
"""

import typing

from irisstand import clocks, errors
from irisstand.dataplane.retry import actions, events, policy
from irisstand.dataplane.routing import configuration_view
from irisstand.membership import updates

ResponseT = typing.TypeVar("ResponseT")
ToShieldEvent = events.ResponseReceived[ResponseT] | events.AttemptFailed
ToOriginEvent = events.ResponseReceived[ResponseT] | events.AttemptFailed | events.NoEndpoint
ToShieldAction = actions.SendToShield | actions.Respond[ResponseT] | actions.Reject
ToOriginAction = actions.SendAttempt | actions.Respond[ResponseT] | actions.Reject

# A shield replies with these errors only if no byte of the request has gone towards an origin, and another
# shield may be able to send it. Policies compare exact classes: an IncarnationEndedError is a subclass of
# NotSentError, but has a code of its own and is not retried.
RETRIABLE_ERRORS: tuple[type[errors.IrisError], ...] = (
    errors.NotSentError,
    errors.LimitExceededError,
    errors.NoQuotaShareError,
    errors.NoOriginError,
    errors.StaleConfigurationError,
    errors.DrainingError,
    errors.SlowStartError,
)
# Errors after which no byte of the request has gone towards an origin. For those that are not retriable,
# another shield would reply with the same error.
NOT_RUN_ERRORS: tuple[type[errors.IrisError], ...] = (
    *RETRIABLE_ERRORS,
    errors.UnknownPathError,
    errors.MethodNotAllowedError,
    errors.DeadlineExceededError,
    errors.KeyReusedError,
    errors.KeyNotClaimedError,
    errors.TableFullError,
)
LIMIT_ERRORS: tuple[type[errors.IrisError], ...] = (errors.LimitExceededError, errors.SlowStartError)
# After a first refusal over a rate or concurrency limit, at most this many further shields get the request:
# requests for an overloaded service must not go through all shields.
MAX_SHIELDS_AFTER_LIMIT = 2
# A request that has reached an origin is not retried with less time than this until its deadline.
MINIMUM_RETRY_SECONDS = 0.05


class ToShieldPolicy(policy.DeadlinePolicy, typing.Generic[ResponseT]):
    """Sends a client's request from an edge to one shield after the other until the deadline.

    Args:
        clock: Gives the time in seconds.
        allowed: What the configuration says about the request, with its deadline.
        shields: The shields in the order in which they get the request.
        deadline: The time at which the request is given up; None for the deadline of `allowed` from now on.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        allowed: configuration_view.AllowedRequest,
        shields: list[updates.Update],
        deadline: float | None = None,
    ) -> None:
        super().__init__(clock, clock.now() + allowed.deadline if deadline is None else deadline)
        self.shields = shields
        self.shields_at_limit = 0

    def decide(self, event: events.Started | ToShieldEvent[ResponseT]) -> ToShieldAction[ResponseT]:
        """Update the state of the request by `event` and return the next action."""
        match event:
            case events.Started():
                return self.send_to_next()
            case events.ResponseReceived():
                return actions.Respond(event.response)
            case events.AttemptFailed():
                return self.on_attempt_failed(event.error)

    def on_attempt_failed(self, error: errors.IrisError) -> actions.SendToShield | actions.Reject:
        """Decide whether a request that failed at a shield goes to the next one; reads and writes differ."""
        raise NotImplementedError

    def may_try_next(self, error: errors.IrisError) -> bool:
        """Return whether `error` allows the next shield: the request must certainly not have been sent on."""
        if type(error) in LIMIT_ERRORS:
            self.shields_at_limit += 1
            self.shields = self.shields[: MAX_SHIELDS_AFTER_LIMIT - self.shields_at_limit + 1]
        return type(error) in RETRIABLE_ERRORS and bool(self.shields)

    def send_to_next(self) -> actions.SendToShield | actions.Reject:
        """Send the request to the next shield, or reject it for want of time or of shields."""
        if self.remaining() <= policy.MINIMUM_SEND_SECONDS:
            return policy.deadline_rejection("a shield")
        if not self.shields:
            return actions.Reject(errors.NoShieldError("no shield is left that could take the request"))
        return actions.SendToShield(self.shields.pop(0), self.remaining())


class ToOriginPolicy(policy.DeadlinePolicy):
    """Sends a request from a shield to origins that it has not tried yet until the deadline.

    Args:
        clock: Gives the time in seconds.
        allowed: What the configuration says about the request, with its deadline.
        remaining: Seconds for which the edge still waits.
    """

    def __init__(
        self, clock: clocks.Clock, allowed: configuration_view.AllowedRequest, remaining: float
    ) -> None:
        super().__init__(clock, clock.now() + min(remaining, allowed.deadline))
        self.tried: set[str] = set()

    def send(self) -> actions.SendAttempt | actions.Reject:
        """Send the request to one more origin, or reject it if its deadline is too close."""
        if self.remaining() <= policy.MINIMUM_SEND_SECONDS:
            return policy.deadline_rejection("an origin")
        return actions.SendAttempt(self.tried)


def as_iris_error(error: BaseException) -> errors.IrisError:
    """Convert an exception of an attempt at an origin to an error that can be sent between nodes."""
    if isinstance(error, errors.IrisError):
        return error
    if isinstance(error, TimeoutError):
        return errors.DeadlineExceededError("the origin sent no complete response before the deadline")
    kind = getattr(error, "kind", type(error).__name__)
    return errors.OriginFailedError(f"the attempt at the origin failed: {kind}")
