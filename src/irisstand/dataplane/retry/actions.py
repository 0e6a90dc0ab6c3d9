"""What a retry policy tells its executor to do next."""

import collections.abc
import typing

from irisstand import errors
from irisstand.membership import updates
from irisstand.state import versions

ResponseT = typing.TypeVar("ResponseT")


class SendAttempt(typing.NamedTuple):
    """Send the request to one more endpoint that is not among `tried`."""

    tried: collections.abc.Set[str]


class SendToShield(typing.NamedTuple):
    """Send the request to `shield`, and give up after `timeout_seconds`."""

    shield: updates.Update
    timeout_seconds: float


class FetchAgain(typing.NamedTuple):
    """Fetch the object again, at least as new as `minimum_version`."""

    minimum_version: versions.Version


class FetchFromOrigin(typing.NamedTuple):
    """Fetch the object from an origin without the holder, in the time that is left."""


class Wait(typing.NamedTuple):
    """Wait until an attempt in flight ends, or for `seconds`."""

    seconds: float


class Respond(typing.NamedTuple, typing.Generic[ResponseT]):
    """Give `response` to whoever sent the request."""

    response: ResponseT


class Reject(typing.NamedTuple):
    """Give `error` to whoever sent the request."""

    error: errors.IrisError
