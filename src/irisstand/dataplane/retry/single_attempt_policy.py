"""Policy of requests that are not idempotent, at a node that reaches origins by itself."""

import typing

from irisstand import errors
from irisstand.dataplane.retry import actions, attempt_policy, events

ResponseT = typing.TypeVar("ResponseT", bound=attempt_policy.HasStatus)
Action = attempt_policy.Action[ResponseT]


class SingleAttemptPolicy(attempt_policy.AttemptPolicy[ResponseT]):
    """Policy of a request that may run at most once: sent again only while it certainly has not run."""

    def may_withdraw(self, may_have_sent: bool) -> bool:  # noqa: FBT001 - as in the base class
        """Return whether nothing was sent: what an origin has begun is not undone by cutting it off."""
        return not may_have_sent

    def on_attempt_sent(self, event: events.AttemptSent) -> Action[ResponseT]:
        """Count the attempt and wait for its end."""
        self.tried.add(event.endpoint)
        self.attempts_sent += 1
        return self.wait()

    def wait(self) -> Action[ResponseT]:
        """Wait for the attempt in flight until the deadline."""
        if self.remaining() <= 0:
            return actions.Reject(errors.OutcomeUnknownError("the origin gave no whole answer in time"))
        return actions.Wait(self.remaining())

    def on_timer_expired(self) -> Action[ResponseT]:
        """Reject the request once its deadline has passed."""
        return self.wait()

    def on_response(self, response: ResponseT) -> Action[ResponseT]:
        """Respond, whatever the status."""
        return actions.Respond(response)

    def on_attempt_failed(self, event: events.AttemptFailed) -> Action[ResponseT]:
        """Send again only a request that has not run."""
        if event.may_have_run:
            error = f"the request went to an origin and then: {event.error}"
            return actions.Reject(errors.OutcomeUnknownError(error))
        self.last_error = event.error
        if not event.was_sent:
            self.attempts_sent -= 1
            if self.remaining() > attempt_policy.MINIMUM_RETRY_SECONDS:
                return self.send()
        elif self.may_retry():
            return self.send()
        return actions.Reject(event.error)

    def on_no_endpoint(self, error: errors.IrisError) -> Action[ResponseT]:
        """Reject the request: nothing of it is in flight."""
        return actions.Reject(self.last_error or error)
