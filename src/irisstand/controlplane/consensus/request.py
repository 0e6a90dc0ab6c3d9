"""The base class of all consensus requests between control plane nodes, and the function that sends them."""

import abc
import enum
import typing

from irisstand.transport import network, peers

WireBody: typing.TypeAlias = tuple[typing.Any, ...]
ReplyT = typing.TypeVar("ReplyT")


class MessageKind(enum.StrEnum):
    """Kinds of requests, with the values used on the wire and in the label `kind` of counters."""

    PREPARE = "promise"
    ACCEPT = "accept"
    COMMIT = "commit"
    BOOTSTRAP = "found"
    VOTER_STATE = "stand"
    REACHABILITY = "hears"
    DURABILITY_CHECK = "hold"
    NODE_STATE = "core-state"
    ORDER = "order"


class Request(abc.ABC, typing.Generic[ReplyT]):
    """A request to another control plane node; `ReplyT` is the type of its decoded reply."""

    kind: typing.ClassVar[MessageKind]

    @abc.abstractmethod
    def to_wire(self) -> WireBody:
        """Return the body of the request as plain tuples."""

    @abc.abstractmethod
    def decode_reply(self, body: typing.Any) -> ReplyT:
        """Decode the body of the reply to this request.

        Raises:
            ValueError: A field has a wrong type or value, or the number of fields is wrong.
            TypeError: A field is not a sequence.
        """


async def call(
    transport: peers.Transport,
    address: network.Address,
    name: str,
    request: Request[ReplyT],
    timeout_seconds: float,
) -> ReplyT:
    """Send a request to a node and return its decoded reply.

    Raises:
        irisstand.errors.IrisError: The node could not be reached, did not reply or refused.
        ValueError: A field of the reply has a wrong type or value, or the number of fields is wrong.
        TypeError: A field of the reply is not a sequence.
    """
    body = await transport.call(address, name, request.kind, request.to_wire(), timeout_seconds)
    return request.decode_reply(body)
