"""Policies of writes at edges and shields: a write is retried only if it has certainly not run."""

import typing

from irisstand import errors
from irisstand.dataplane.retry import actions, events, forwarding_policy

ResponseT = typing.TypeVar("ResponseT")


class EdgeWritePolicy(forwarding_policy.ToShieldPolicy[ResponseT]):
    """Sends a write from an edge to the next shield only if the last one has certainly not forwarded it."""

    def on_attempt_failed(self, error: errors.IrisError) -> actions.SendToShield | actions.Reject:
        """Send the write to the next shield, or reject it; the outcome is unknown if it may have run."""
        if self.may_try_next(error):
            return self.send_to_next()
        if type(error) in forwarding_policy.NOT_RUN_ERRORS:
            return actions.Reject(error)
        # The shield may have forwarded the write to an origin, so this node cannot say that it has not run.
        return actions.Reject(
            errors.OutcomeUnknownError(
                f"the request may have run, as it failed after it was sent to a shield: {error}"
            )
        )


class ShieldWritePolicy(forwarding_policy.ToOriginPolicy, typing.Generic[ResponseT]):
    """Sends a write from a shield to another origin only if the last one has certainly not executed it."""

    def may_withdraw(self, may_have_sent: bool) -> bool:  # noqa: FBT001 - as in the base class
        """Return whether nothing was sent: aborting an attempt does not undo what an origin has begun."""
        return not may_have_sent

    def decide(
        self, event: events.Started | forwarding_policy.ToOriginEvent[ResponseT]
    ) -> forwarding_policy.ToOriginAction[ResponseT]:
        """Update the state of the write by `event` and return the next action."""
        match event:
            case events.Started():
                return self.send()
            case events.ResponseReceived():
                return actions.Respond(event.response)
            case events.AttemptFailed():
                return self.on_attempt_failed(event)
            case events.NoEndpoint():
                return actions.Reject(event.error)

    def on_attempt_failed(self, event: events.AttemptFailed) -> actions.SendAttempt | actions.Reject:
        """Send the write to another origin if this one has certainly not executed it."""
        if event.may_have_run:
            error = f"the request may have run, as it failed after it was sent to an origin: {event.error}"
            return actions.Reject(errors.OutcomeUnknownError(error))
        self.tried.add(event.endpoint)
        return self.send()
