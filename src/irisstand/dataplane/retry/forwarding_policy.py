"""What the policies of reads and writes share: shields in order at an edge, untried origins at a shield."""

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

# Errors are matched by their exact class: an IncarnationEndedError is a NotSentError, too, but it has a code
# of its own and is not retried.
# A shield answers with these only when no byte of the request has gone towards an origin, and another shield
# may be able to send it.
RETRIABLE_ERRORS: tuple[type[errors.IrisError], ...] = (
    errors.NotSentError,
    errors.LimitExceededError,
    errors.NoQuotaShareError,
    errors.NoOriginError,
    errors.StaleConfigurationError,
    errors.DrainingError,
    errors.SlowStartError,
)
# These, too, say that no byte of the request has gone towards an origin; another shield would say the same.
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
# A service at its limit must not be asked for at all shields in turn for long.
MAX_SHIELDS_AT_LIMIT = 2
# With less time left than this, a request that has reached an origin is not sent to another.
MINIMUM_RETRY_SECONDS = 0.05


class ToShieldPolicy(policy.DeadlinePolicy, typing.Generic[ResponseT]):
    """Policy of a request at an edge: sends it to shields in order until the deadline."""

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
        """Take note of `event` and return what to do next."""
        match event:
            case events.Started():
                return self.send_to_next()
            case events.ResponseReceived():
                return actions.Respond(event.response)
            case events.AttemptFailed():
                return self.on_attempt_failed(event.error)

    def on_attempt_failed(self, error: errors.IrisError) -> actions.SendToShield | actions.Reject:
        """Decide what follows the failure at a shield: up to the kind of request."""
        raise NotImplementedError

    def may_try_next(self, error: errors.IrisError) -> bool:
        """Whether another shield may take a request that this one certainly did not send on."""
        if type(error) in LIMIT_ERRORS:
            self.shields_at_limit += 1
            self.shields = self.shields[: MAX_SHIELDS_AT_LIMIT - self.shields_at_limit + 1]
        return type(error) in RETRIABLE_ERRORS and bool(self.shields)

    def send_to_next(self) -> actions.SendToShield | actions.Reject:
        """Send the request to the next shield if there is one, and time for it."""
        if self.remaining() <= policy.MINIMUM_SEND_SECONDS:
            return policy.deadline_rejection("a shield")
        if not self.shields:
            return actions.Reject(errors.NoShieldError("no shield can be asked"))
        return actions.SendToShield(self.shields.pop(0), self.remaining())


class ToOriginPolicy(policy.DeadlinePolicy):
    """Policy of a request at a shield: sends it to origins that it has not tried yet until the deadline."""

    def __init__(
        self, clock: clocks.Clock, allowed: configuration_view.AllowedRequest, remaining: float
    ) -> None:
        super().__init__(clock, clock.now() + min(remaining, allowed.deadline))
        self.tried: set[str] = set()

    def send(self) -> actions.SendAttempt | actions.Reject:
        """Send the request to one more origin if there is time."""
        if self.remaining() <= policy.MINIMUM_SEND_SECONDS:
            return policy.deadline_rejection("an origin")
        return actions.SendAttempt(self.tried)


def as_iris_error(error: BaseException) -> errors.IrisError:
    """Return any failure on the way to an origin as an error that may travel between nodes."""
    if isinstance(error, errors.IrisError):
        return error
    if isinstance(error, TimeoutError):
        return errors.DeadlineExceededError("the origin gave no whole answer in time")
    kind = getattr(error, "kind", type(error).__name__)
    return errors.OriginFailedError(f"the origin failed: {kind}")
