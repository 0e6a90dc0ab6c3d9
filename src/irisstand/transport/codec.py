"""Messages to bytes and back.

A frame is a msgpack array: protocol number, kind, call number, body. The protocol number stands first in
everything that leaves a process, so that a receiver can refuse a version that it does not know.
"""

import collections.abc
import enum
import typing

import ormsgpack

from irisstand import errors

PROTOCOL = 1
# Versions that differ by one work together during a rolling upgrade; others refuse one another.
ACCEPTED_PROTOCOLS = (PROTOCOL - 1, PROTOCOL, PROTOCOL + 1)
FRAME_LIMIT_BYTES = 8 * 1024 * 1024


class UnknownProtocolError(errors.MalformedFrameError):
    """A frame of a protocol that is not compatible with this version."""

    code, remedy = "unknown-version", "upgrade this node or its peer to neighbouring versions"
    drop_reason = "UnknownVersion"


class MessageKind(enum.StrEnum):
    """The kinds of message as they stand on the wire."""

    HELLO = "hello"
    REQUEST = "ask"
    RESPONSE = "result"
    ERROR = "fault"
    CANCEL = "withdraw"


class Hello(typing.NamedTuple):
    """The first message of each end of a connection.

    Attributes:
        name: The sender's node name.
        incarnation_id: The sender's incarnation; "" from the version before, which did not send it.
    """

    name: str
    incarnation_id: str = ""

    @property
    def number(self) -> int:
        """Zero: a hello belongs to no call."""
        return 0

    def body_to_wire(self) -> tuple[str, str]:
        """Return the body of the frame."""
        return (self.name, self.incarnation_id)

    @classmethod
    def from_wire(cls, _number: int, body: typing.Any) -> "Hello":
        """Check the decoded body of a hello; raises ValueError or TypeError if it is none."""
        return cls(*map(str, body[:2]))


class Request(typing.NamedTuple):
    """A call of a peer's handler.

    Attributes:
        number: The number of the call, unique on its connection.
        kind: The name of the handler.
        body: What the handler is given.
        incarnation_id: The incarnation of the receiver that may answer; "" for any.
    """

    number: int
    kind: str
    body: typing.Any
    incarnation_id: str = ""

    def body_to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the frame; an empty incarnation is left out, as the version before does."""
        if self.incarnation_id:
            return (self.kind, self.body, self.incarnation_id)
        return (self.kind, self.body)

    @classmethod
    def from_wire(cls, number: int, body: typing.Any) -> "Request":
        """Check the decoded body of a request; raises ValueError or TypeError if it is none."""
        kind, inner, *incarnation = body
        return cls(number, str(kind), inner, str(incarnation[0]) if incarnation else "")


class Response(typing.NamedTuple):
    """What the handler of the request of that number returned."""

    number: int
    body: typing.Any

    def body_to_wire(self) -> typing.Any:
        """Return the body of the frame."""
        return self.body

    @classmethod
    def from_wire(cls, number: int, body: typing.Any) -> "Response":
        """Take the decoded body of a response, which only the caller can check."""
        return cls(number, body)


class ErrorResponse(typing.NamedTuple):
    """The error that the request of that number raised."""

    number: int
    error: errors.WireError

    def body_to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the frame."""
        return tuple(self.error)

    @classmethod
    def from_wire(cls, number: int, body: typing.Any) -> "ErrorResponse":
        """Check the decoded body of an error; raises ValueError or TypeError if it is none."""
        return cls(number, errors.WireError.from_wire(body))


class Cancel(typing.NamedTuple):
    """The caller no longer waits for the request of that number: its work is to be stopped."""

    number: int

    def body_to_wire(self) -> tuple[()]:
        """Return the body of the frame, which is empty."""
        return ()

    @classmethod
    def from_wire(cls, number: int, _body: typing.Any) -> "Cancel":
        """Take a cancellation; its body is not used."""
        return cls(number)


Message = Hello | Request | Response | ErrorResponse | Cancel

WIRE_KINDS: dict[type[typing.Any], str] = {
    Hello: MessageKind.HELLO.value,
    Request: MessageKind.REQUEST.value,
    Response: MessageKind.RESPONSE.value,
    ErrorResponse: MessageKind.ERROR.value,
    Cancel: MessageKind.CANCEL.value,
}
FROM_WIRE: dict[str, collections.abc.Callable[[int, typing.Any], Message]] = {
    MessageKind.HELLO.value: Hello.from_wire,
    MessageKind.REQUEST.value: Request.from_wire,
    MessageKind.RESPONSE.value: Response.from_wire,
    MessageKind.ERROR.value: ErrorResponse.from_wire,
    MessageKind.CANCEL.value: Cancel.from_wire,
}


def drop_reason(error: Exception) -> str:
    """Return what metric labels and messages call the kind of an error; class names may change, this may not.

    >>> drop_reason(UnknownProtocolError()), drop_reason(ValueError())
    ('UnknownVersion', 'ValueError')
    """
    return error.drop_reason if isinstance(error, errors.MalformedFrameError) else type(error).__name__


def encode(message: Message) -> bytes:
    """Return the payload of a frame.

    >>> decode(encode(Request(7, "read", ("x",), "l1")))
    Request(number=7, kind='read', body=['x'], incarnation_id='l1')
    """
    return pack((WIRE_KINDS[type(message)], message.number, message.body_to_wire()))


def decode(payload: bytes) -> Message:
    """Return the message of a frame.

    Raises:
        MalformedFrameError: The payload is not a message of an accepted protocol. Nothing else is raised.
    """
    try:
        kind, number, body = unpack(payload)
        # bool is an int to Python, and True would pass for the number 1.
        if type(number) is not int:
            raise errors.MalformedFrameError("no number")
        from_wire = FROM_WIRE.get(kind)
        if from_wire is None:
            raise errors.MalformedFrameError(f"{kind} is no kind of message")
        return from_wire(number, body)
    except (ValueError, TypeError, IndexError) as error:
        raise errors.MalformedFrameError(f"not a whole message: {type(error).__name__}") from None


def pack(message: tuple[typing.Any, ...]) -> bytes:
    """Encode the fields of a message, with the protocol number before them.

    >>> unpack(pack(("ask", 7, ("x",))))
    ('ask', 7, ['x'])
    """
    return ormsgpack.packb((PROTOCOL, *message))


def unpack(payload: bytes) -> tuple[typing.Any, ...]:
    """Return the fields of a message without its protocol number; the first is its kind, a str.

    Raises:
        MalformedFrameError: The payload is not a message of an accepted protocol. Nothing else is raised.
    """
    if len(payload) > FRAME_LIMIT_BYTES:
        raise errors.MalformedFrameError(f"{len(payload)} bytes are over the limit of {FRAME_LIMIT_BYTES}")
    try:
        message = ormsgpack.unpackb(payload)
    except Exception as error:
        # Hostile bytes: whatever the decoder makes of them must not end the reading task.
        raise errors.MalformedFrameError(f"not decodable: {type(error).__name__}") from None
    if not isinstance(message, list) or len(message) < 2:  # noqa: PLR2004 - protocol number and kind
        raise errors.MalformedFrameError("not a message")
    # bool is an int to Python, and True would pass for protocol 1.
    if type(message[0]) is not int or message[0] not in ACCEPTED_PROTOCOLS:
        raise UnknownProtocolError("unknown protocol number")
    if not isinstance(message[1], str):
        raise errors.MalformedFrameError("no kind")
    return tuple(message[1:])
