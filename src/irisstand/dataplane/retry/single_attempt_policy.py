"""Policy of requests that are not idempotent, at a node that connects to origins itself."""

import typing

from irisstand import errors
from irisstand.dataplane.retry import actions, attempt_policy, events

ResponseT = typing.TypeVar("ResponseT", bound=attempt_policy.HasStatus)
Action = attempt_policy.Action[ResponseT]


class SingleAttemptPolicy(attempt_policy.AttemptPolicy[ResponseT]):
    """Sends a request that may be executed at most once; retries it only if it has certainly not run."""

    def may_withdraw(self, may_have_sent: bool) -> bool:  # noqa: FBT001 - as in the base class
        """Return whether nothing was sent: aborting an attempt does not undo what an origin has begun."""
        return not may_have_sent

    def on_attempt_sent(self, event: events.AttemptSent) -> Action[ResponseT]:
        """Count the attempt that was sent and wait for it to end."""
        self.tried.add(event.endpoint)
        self.attempts_sent += 1
        return self.wait()

    def wait(self) -> Action[ResponseT]:
        """Wait for the attempt in flight until the deadline, after which the outcome is unknown."""
        if self.remaining() <= 0:
            return actions.Reject(
                errors.OutcomeUnknownError("the origin sent no complete response before the deadline")
            )
        return actions.Wait(self.remaining())

    def on_timer_expired(self) -> Action[ResponseT]:
        """Reject the request once its deadline has passed."""
        return self.wait()

    def on_response(self, response: ResponseT) -> Action[ResponseT]:
        """Respond to the client with any response of the origin: a server error is not retried."""
        return actions.Respond(response)

    def on_attempt_failed(self, event: events.AttemptFailed) -> Action[ResponseT]:
        """Retry a request that no origin has executed; the outcome of any other is unknown."""
        if event.may_have_run:
            error = f"the request may have run, as it failed after it was sent to an origin: {event.error}"
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
        """Reject the request with its last error: it has no attempt in flight that could still succeed."""
        return actions.Reject(self.last_error or error)
