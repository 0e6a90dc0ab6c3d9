"""Policy of a read that an object holder was asked for: how long it is waited for, and what follows then.

The holder works with the request's own deadline. It says soon if it can send nothing; so one that is alive
and has not answered has an origin at work on the request, which no shorter time-out may break off.
"""

import typing

from irisstand import clocks, errors
from irisstand.dataplane.retry import actions, events, policy

# Of the time that a request has left, what passes before the holder is looked at.
FIRST_WAIT_FRACTION = 0.4
MAX_FIRST_WAIT_SECONDS = 0.6
# How often it is looked at after that.
CHECK_INTERVAL_SECONDS = 0.5
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
    """Waits for a holder that is alive until the deadline; fetches beside one that is silent.

    A refusal of this node's own fetch is given to the client only once the holder has ended the read, too.

    Args:
        clock: Moments in seconds.
        remaining: Seconds until the deadline of the request.
        is_refusal_final: Whether this node does not fetch by itself after the holder got no token.
    """

    def __init__(self, clock: clocks.Clock, remaining: float, *, is_refusal_final: bool) -> None:
        super().__init__(clock, clock.now() + remaining)
        self.is_refusal_final = is_refusal_final
        self.first_wait_seconds = min(MAX_FIRST_WAIT_SECONDS, FIRST_WAIT_FRACTION * remaining)
        self.is_holder_asked = True
        self.is_fetching = False
        self.origin_fetch_error: errors.IrisError | None = None

    def decide(self, event: Event[ResponseT]) -> Action[ResponseT]:
        """Take note of `event` and return what to do next."""
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
        """Wait for whatever is in flight; the holder is looked at now and then."""
        if self.remaining() <= 0:
            return policy.deadline_rejection("an origin")
        return actions.Wait(min(self.remaining(), CHECK_INTERVAL_SECONDS))

    def on_holder_failed(self, error: errors.IrisError) -> Action[ResponseT]:
        """Fetch by itself, unless that is under way or the holder's refusal holds for this node, too."""
        self.is_holder_asked = False
        if self.is_fetching:
            return self.wait()
        if self.origin_fetch_error is not None:
            return actions.Reject(self.origin_fetch_error)
        if self.is_refusal_final and isinstance(error, errors.LimitExceededError):
            return actions.Reject(error)
        return actions.FetchFromOrigin()

    def on_holder_overdue(self, event: events.HolderOverdue) -> Action[ResponseT]:
        """Go on waiting for a holder that is alive, and fetch beside one that is silent or declared failed.

        The call to it stays open also then: the failure detector may be wrong about a busy machine.
        """
        has_run = self.origin_fetch_error is not None and self.origin_fetch_error.status != NOT_RUN_STATUS
        is_alive = not event.is_silent and not event.is_failed
        return self.wait() if self.is_fetching or has_run or is_alive else actions.FetchFromOrigin()

    def on_origin_fetch_failed(self, error: errors.IrisError) -> Action[ResponseT]:
        """Wait for the holder, which may have an origin at work, or give up."""
        self.is_fetching = False
        self.origin_fetch_error = error
        return self.wait() if self.is_holder_asked else actions.Reject(error)
