"""The protocol of all retry policies, and the loop that performs the actions of a policy."""

import collections.abc
import typing

from irisstand import clocks, errors
from irisstand.dataplane.retry import actions, events

ResponseT = typing.TypeVar("ResponseT")
ActionT = typing.TypeVar("ActionT")
EventT = typing.TypeVar("EventT")
EventT_contra = typing.TypeVar("EventT_contra", contravariant=True)
ActionT_co = typing.TypeVar("ActionT_co", covariant=True)

# Nothing is sent with less time than this until the deadline: the response could not arrive in time.
MINIMUM_SEND_SECONDS = 0.005


class Policy(typing.Protocol[EventT_contra, ActionT_co]):
    """Decides what happens to one request, from event to event; it does no I/O."""

    def remaining(self) -> float:
        """Return the seconds until the request's deadline."""
        ...

    def decide(self, event: EventT_contra) -> ActionT_co:
        """Update the state of the request by `event` and return the next action."""
        ...


class DeadlinePolicy:
    """Base class of all policies, with one deadline over all attempts of a request.

    Args:
        clock: Gives the time in seconds.
        deadline: The time by that clock at which the request is given up.
    """

    def __init__(self, clock: clocks.Clock, deadline: float) -> None:
        self.clock = clock
        self.deadline = deadline
        self.allowed_seconds = deadline - clock.now()

    def remaining(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - self.clock.now()

    def restart_deadline(self) -> None:
        """Let the time for the request begin anew, as more of its body has arrived."""
        self.deadline = self.clock.now() + self.allowed_seconds

    def may_withdraw(self, may_have_sent: bool) -> bool:  # noqa: FBT001 - callers map it over several
        """Return whether an attempt may be aborted once no client waits for the request any more.

        Args:
            may_have_sent: Whether a byte of the request may have left for the origin.
        """
        return True


def deadline_rejection(receiver: str) -> actions.Reject:
    """Return the rejection of a request whose deadline passed before it could be sent to `receiver`."""
    return actions.Reject(
        errors.DeadlineExceededError(f"the deadline passed before the request could be sent to {receiver}")
    )


async def execute(
    policy: Policy[EventT | events.Started, ActionT | actions.Respond[ResponseT] | actions.Reject],
    perform: collections.abc.Callable[[ActionT], collections.abc.Awaitable[EventT]],
) -> actions.Respond[ResponseT] | actions.Reject:
    """Perform the actions of `policy` until it responds to the request or rejects it.

    Args:
        policy: The policy of one request.
        perform: Performs one action, such as sending an attempt, and returns the event that followed.
    """
    action = policy.decide(events.STARTED)
    while not isinstance(action, (actions.Respond, actions.Reject)):
        action = policy.decide(await perform(action))
    return action


def response_of(decision: actions.Respond[ResponseT] | actions.Reject) -> ResponseT:
    """Return the response with which a policy ended a request.

    Raises:
        errors.IrisError: The policy rejected the request with this error.
    """
    if isinstance(decision, actions.Reject):
        raise decision.error.copy()
    return decision.response
