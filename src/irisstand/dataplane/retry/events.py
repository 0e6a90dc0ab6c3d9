"""Events that an executor reports to a retry policy: what has happened to one request.

The events are named tuples, which are cheap to create: each request that a node serves creates several.
"""

import typing

from irisstand import errors

ResponseT = typing.TypeVar("ResponseT")


class Started(typing.NamedTuple):
    """The request has arrived; no attempt has been sent yet."""


class AttemptSent(typing.NamedTuple):
    """An attempt has begun at `endpoint`, whose usual response time is `usual_seconds`."""

    endpoint: str
    usual_seconds: float


class TimerExpired(typing.NamedTuple):
    """The time of the last `Wait` action has passed, and no attempt has ended."""


class ResponseReceived(typing.NamedTuple, typing.Generic[ResponseT]):
    """An attempt at `endpoint` ended with a complete response, of any HTTP status."""

    response: ResponseT
    endpoint: str


class AttemptFailed(typing.NamedTuple):
    """An attempt at `endpoint` ended without a usable response.

    Attributes:
        error: Why the attempt failed.
        endpoint: The name of the endpoint.
        may_have_run: False only if the endpoint has certainly not executed the request.
        was_sent: False only if the request has certainly not reached the endpoint; such an attempt does not
            count towards the route's limit of attempts.
    """

    error: errors.IrisError
    endpoint: str
    may_have_run: bool = True
    was_sent: bool = True


class NoEndpoint(typing.NamedTuple):
    """No endpoint may be used now, for the reason in `error`; the attempt has not been sent."""

    error: errors.IrisError


class HolderFailed(typing.NamedTuple):
    """The object holder replied to the read with an error, or the call to it failed."""

    error: errors.IrisError


class HolderOverdue(typing.NamedTuple):
    """The time of the last `Wait` action has passed, and the object holder has not replied.

    Attributes:
        is_silent: Whether no message at all came from the holder during the wait.
        is_failed: Whether the failure detector has declared the holder failed.
    """

    is_silent: bool
    is_failed: bool


class OriginFetchStarted(typing.NamedTuple):
    """This node has begun to fetch the object from an origin, without the object holder."""


STARTED = Started()
ORIGIN_FETCH_STARTED = OriginFetchStarted()
TIMER_EXPIRED = TimerExpired()
