"""The protocol of all retry policies, and the loop that carries out what a policy decides."""

import collections.abc
import typing

from irisstand import clocks, errors
from irisstand.dataplane.retry import actions, events

ResponseT = typing.TypeVar("ResponseT")
ActionT = typing.TypeVar("ActionT")
EventT = typing.TypeVar("EventT")
EventT_contra = typing.TypeVar("EventT_contra", contravariant=True)
ActionT_co = typing.TypeVar("ActionT_co", covariant=True)

# With less time left than this, nothing is sent: the answer could not be back in time.
MINIMUM_SEND_SECONDS = 0.005


class Policy(typing.Protocol[EventT_contra, ActionT_co]):
    """Decides on one request, for reads, writes and forwarding alike; does no I/O."""

    def remaining(self) -> float:
        """Return the seconds that are left until the request's deadline."""
        ...

    def decide(self, event: EventT_contra) -> ActionT_co:
        """Take note of `event` and return what to do next."""
        ...


class DeadlinePolicy:
    """What all policies have in common: a clock and one deadline over all attempts."""

    def __init__(self, clock: clocks.Clock, deadline: float) -> None:
        self.clock = clock
        self.deadline = deadline

    def remaining(self) -> float:
        """Return the seconds that are left until the deadline."""
        return self.deadline - self.clock.now()

    def may_withdraw(self, may_have_sent: bool) -> bool:  # noqa: FBT001 - the one thing that is asked about
        """Return whether an attempt may be cut off once nobody waits for the request any more.

        Args:
            may_have_sent: Whether a byte of the request may have left for the origin.
        """
        return True


def deadline_rejection(receiver: str) -> actions.Reject:
    """Reject a request whose deadline passed before `receiver` could be asked."""
    return actions.Reject(
        errors.DeadlineExceededError(f"the deadline passed before {receiver} could be asked")
    )


async def execute(
    policy: Policy[EventT | events.Started, ActionT | actions.Respond[ResponseT] | actions.Reject],
    perform: collections.abc.Callable[[ActionT], collections.abc.Awaitable[EventT]],
) -> actions.Respond[ResponseT] | actions.Reject:
    """Carry out what `policy` decides until it responds or rejects.

    Args:
        policy: decides on one request.
        perform: carries out one action, such as sending an attempt, and returns the event that it led to.
    """
    action = policy.decide(events.STARTED)
    while not isinstance(action, (actions.Respond, actions.Reject)):
        action = policy.decide(await perform(action))
    return action


def response_of(decision: actions.Respond[ResponseT] | actions.Reject) -> ResponseT:
    """Return the response that a policy decided on.

    Raises:
        IrisError: the policy rejected the request.
    """
    if isinstance(decision, actions.Reject):
        raise decision.error
    return decision.response
