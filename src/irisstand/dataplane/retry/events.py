"""What an executor reports to a retry policy: one event for each thing that happened to a request.

The events are named tuples because several are made for each request that a node serves.
"""

import typing

from irisstand import errors

ResponseT = typing.TypeVar("ResponseT")


class Started(typing.NamedTuple):
    """The request has arrived, and nothing has been sent for it."""


class AttemptSent(typing.NamedTuple):
    """An attempt has begun at `endpoint`, which usually answers within `usual_seconds`."""

    endpoint: str
    usual_seconds: float


class TimerExpired(typing.NamedTuple):
    """The time of the last `Wait` has passed, and no attempt has ended."""


class ResponseReceived(typing.NamedTuple, typing.Generic[ResponseT]):
    """An attempt at `endpoint` ended with a complete response, whatever its status."""

    response: ResponseT
    endpoint: str


class AttemptFailed(typing.NamedTuple):
    """An attempt at `endpoint` ended without a response that may be used.

    `may_have_run` is False only if it is certain that the endpoint has not executed the request. `was_sent`
    is False only if it is certain that the request did not reach the endpoint; such an attempt is not
    counted.
    """

    error: errors.IrisError
    endpoint: str
    may_have_run: bool = True
    was_sent: bool = True


class NoEndpoint(typing.NamedTuple):
    """No endpoint may be used now, for the reason that `error` gives; nothing has been sent."""

    error: errors.IrisError


class HolderFailed(typing.NamedTuple):
    """The object holder that was asked ended the read with an error, or the call to it broke."""

    error: errors.IrisError


class HolderOverdue(typing.NamedTuple):
    """The time of the last `Wait` has passed, and the holder has not answered.

    `is_silent` is True if nothing came from the holder meanwhile, `is_failed` if it is declared failed.
    """

    is_silent: bool
    is_failed: bool


class OriginFetchStarted(typing.NamedTuple):
    """This node has begun to fetch the object by itself."""


STARTED = Started()
ORIGIN_FETCH_STARTED = OriginFetchStarted()
TIMER_EXPIRED = TimerExpired()
