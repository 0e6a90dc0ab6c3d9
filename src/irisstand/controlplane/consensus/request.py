"""What all requests between control plane nodes have in common: kind, wire form and reply."""

import abc
import enum
import typing

from irisstand.transport import network, peers

WireBody: typing.TypeAlias = tuple[typing.Any, ...]
ReplyT = typing.TypeVar("ReplyT")


class MessageKind(enum.StrEnum):
    """Kinds of requests, as they stand on the wire and in the counters' label `kind`."""

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
        """Return the body as plain tuples."""

    @abc.abstractmethod
    def decode_reply(self, body: typing.Any) -> ReplyT:
        """Decode the result that the receiver sent.

        Raises:
            ValueError: A field has a wrong type or value, or there is another number of fields.
            TypeError: A field is no sequence.
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
        irisstand.errors.IrisError: The node could not be asked, did not answer or refused.
        ValueError: The reply is malformed; TypeError likewise.
    """
    body = await transport.call(address, name, request.kind, request.to_wire(), timeout_seconds)
    return request.decode_reply(body)
