"""Policies of writes: sent on only while it is certain that the write has not run."""

import typing

from irisstand import errors
from irisstand.dataplane.retry import actions, events, forwarding_policy

ResponseT = typing.TypeVar("ResponseT")


class EdgeWritePolicy(forwarding_policy.ToShieldPolicy[ResponseT]):
    """Policy of a write at an edge: sent to another shield only if the last one certainly did not send it."""

    def on_attempt_failed(self, error: errors.IrisError) -> actions.SendToShield | actions.Reject:
        """Send the write to the next shield if the error says that it has not run."""
        if self.may_try_next(error):
            return self.send_to_next()
        if type(error) in forwarding_policy.NOT_RUN_ERRORS:
            return actions.Reject(error)
        # Once a shield may have sent it on, nobody here can say that it did not run.
        return actions.Reject(errors.OutcomeUnknownError(f"the request left this node and then: {error}"))


class ShieldWritePolicy(forwarding_policy.ToOriginPolicy, typing.Generic[ResponseT]):
    """Policy of a write at a shield: the next origin gets it only if the last one certainly did not."""

    def may_withdraw(self, may_have_sent: bool) -> bool:  # noqa: FBT001 - as in the base class
        """Return whether nothing was sent: what an origin has begun is not undone by cutting it off."""
        return not may_have_sent

    def decide(
        self, event: events.Started | forwarding_policy.ToOriginEvent[ResponseT]
    ) -> forwarding_policy.ToOriginAction[ResponseT]:
        """Take note of `event` and return what to do next."""
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
        """Send the write to another origin if it certainly did not reach this one."""
        if event.may_have_run:
            error = f"the request went to an origin and then: {event.error}"
            return actions.Reject(errors.OutcomeUnknownError(error))
        self.tried.add(event.endpoint)
        return self.send()
