"""Policy of a read that was sent to an object holder: how long to wait for it, and what to do after that.

The holder works under the deadline of the request, and replies soon if it cannot send the request to an
origin. So if a holder is alive and has not replied, an origin is working on the request, and no timeout
shorter than the deadline may end that work.
"""

import typing

from irisstand import clocks, errors
from irisstand.dataplane.retry import actions, events, policy

# The fraction of the time until a request's deadline that passes before the holder is first checked.
FIRST_WAIT_FRACTION = 0.4
MAX_FIRST_WAIT_SECONDS = 0.6
# The time between two later checks whether the holder is alive.
CHECK_INTERVAL_SECONDS = 0.5
# The HTTP status of errors after which no origin has executed the request.
NOT_RUN_STATUS = 503

ResponseT = typing.TypeVar("ResponseT")
HolderAction = actions.FetchFromOrigin | actions.Wait
Action = HolderAction | actions.Respond[ResponseT] | actions.Reject
Event = (
    events.Started
    | events.OriginFetchStarted
    | events.ResponseReceived[ResponseT]
    | events.HolderFailed
    | events.HolderOverdue
    | events.AttemptFailed
)


class HolderReadPolicy(policy.DeadlinePolicy, typing.Generic[ResponseT]):
    """Waits until the deadline for a holder that is alive, and fetches from an origin if it is silent.

    If this node's fetch is refused, the client gets that error only after the holder has ended the read, too.

    Args:
        clock: Gives the time in seconds.
        remaining: Seconds until the deadline of the request.
        is_refusal_final: Whether a request for which the holder got no rate limit token is rejected, instead
            of being fetched from an origin by this node.
    """

    def __init__(self, clock: clocks.Clock, remaining: float, *, is_refusal_final: bool) -> None:
        super().__init__(clock, clock.now() + remaining)
        self.is_refusal_final = is_refusal_final
        self.first_wait_seconds = min(MAX_FIRST_WAIT_SECONDS, FIRST_WAIT_FRACTION * remaining)
        self.is_holder_asked = True
        self.is_fetching = False
        self.origin_fetch_error: errors.IrisError | None = None

    def decide(self, event: Event[ResponseT]) -> Action[ResponseT]:
        """Update the state of the request by `event` and return the next action."""
        match event:
            case events.Started():
                return actions.Wait(self.first_wait_seconds)
            case events.OriginFetchStarted():
                self.is_fetching = True
                return self.wait()
            case events.ResponseReceived():
                return actions.Respond(event.response)
            case events.HolderFailed():
                return self.on_holder_failed(event.error)
            case events.HolderOverdue():
                return self.on_holder_overdue(event)
            case events.AttemptFailed():
                return self.on_origin_fetch_failed(event.error)

    def wait(self) -> Action[ResponseT]:
        """Wait for the calls in flight until the next check of the holder or the deadline."""
        if self.remaining() <= 0:
            return policy.deadline_rejection("an origin")
        return actions.Wait(min(self.remaining(), CHECK_INTERVAL_SECONDS))

    def on_holder_failed(self, error: errors.IrisError) -> Action[ResponseT]:
        """Fetch from an origin, unless a fetch is in flight, has failed, or the holder's refusal is final."""
        self.is_holder_asked = False
        if self.is_fetching:
            return self.wait()
        if self.origin_fetch_error is not None:
            return actions.Reject(self.origin_fetch_error)
        if self.is_refusal_final and isinstance(error, errors.LimitExceededError):
            return actions.Reject(error)
        return actions.FetchFromOrigin()

    def on_holder_overdue(self, event: events.HolderOverdue) -> Action[ResponseT]:
        """Wait on for a holder that is alive; fetch from an origin if it is silent or declared failed.

        The call to the holder stays open in any case: the failure detector may be wrong about a busy machine.
        """
        has_run = self.origin_fetch_error is not None and self.origin_fetch_error.status != NOT_RUN_STATUS
        is_alive = not event.is_silent and not event.is_failed
        return self.wait() if self.is_fetching or has_run or is_alive else actions.FetchFromOrigin()

    def on_origin_fetch_failed(self, error: errors.IrisError) -> Action[ResponseT]:
        """Reject the request, unless the holder has not replied: its origin may still send a response."""
        self.is_fetching = False
        self.origin_fetch_error = error
        return self.wait() if self.is_holder_asked else actions.Reject(error)
