"""The actions that a retry policy returns: what its executor does next for a request."""

import collections.abc
import typing

from irisstand import errors
from irisstand.membership import updates
from irisstand.state import versions

ResponseT = typing.TypeVar("ResponseT")


class SendAttempt(typing.NamedTuple):
    """Send one more attempt of the request, to an endpoint that is not among the names in `tried`."""

    tried: collections.abc.Set[str]


class SendToShield(typing.NamedTuple):
    """Send the request to the node `shield`, and wait for its reply for at most `timeout_seconds`."""

    shield: updates.Update
    timeout_seconds: float


class FetchAgain(typing.NamedTuple):
    """Fetch the object again, at `minimum_version` of the ledger or a later version."""

    minimum_version: versions.Version


class FetchFromOrigin(typing.NamedTuple):
    """Fetch the object from an origin without its object holder, before the request's deadline."""


class Wait(typing.NamedTuple):
    """Wait until an attempt in flight ends, but for at most `seconds`."""

    seconds: float


class Respond(typing.NamedTuple, typing.Generic[ResponseT]):
    """End the request with `response`, which goes to the client or node that sent it."""

    response: ResponseT


class Reject(typing.NamedTuple):
    """End the request with `error`, which goes to the client or node that sent it."""

    error: errors.IrisError
