"""Encodes messages between nodes as bytes, and decodes them.

The payload of a frame is a msgpack array: protocol number, message kind, call number, body. Every frame and
datagram begins with the protocol number, so that a receiver can refuse a version that it does not know.
"""

import collections.abc
import enum
import typing

import ormsgpack

from irisstand import errors

PROTOCOL = 1
# During a rolling upgrade, nodes whose protocol numbers differ by one work together. A frame with any other
# protocol number is refused.
ACCEPTED_PROTOCOLS = (PROTOCOL - 1, PROTOCOL, PROTOCOL + 1)
FRAME_LIMIT_BYTES = 8 * 1024 * 1024


class UnknownProtocolError(errors.MalformedFrameError):
    """A frame or datagram has a protocol number that this node does not accept."""

    code, remedy = "unknown-version", "upgrade this node or its peer to neighbouring versions"
    drop_reason = "UnknownVersion"


class MessageKind(enum.StrEnum):
    """The kinds of messages on a connection between nodes; the values are what is sent."""

    HELLO = "hello"
    REQUEST = "ask"
    RESPONSE = "result"
    ERROR = "fault"
    CANCEL = "withdraw"


class Hello(typing.NamedTuple):
    """The first message that each end of a connection sends, in which it gives its name.

    Attributes:
        name: The sender's node name.
        incarnation_id: The sender's incarnation id; "" from a node of the previous version.
    """

    name: str
    incarnation_id: str = ""

    @property
    def number(self) -> int:
        """The call number of the frame, which is 0: a hello belongs to no call."""
        return 0

    def body_to_wire(self) -> tuple[str, str]:
        """Return the body of the frame: the node name and the incarnation id."""
        return (self.name, self.incarnation_id)

    @classmethod
    def from_wire(cls, _number: int, body: typing.Any) -> "Hello":
        """Return the hello with a decoded body; raises ValueError or TypeError if the body is malformed."""
        return cls(*map(str, body[:2]))


class Request(typing.NamedTuple):
    """A call of one of the peer's request handlers.

    Attributes:
        number: The number of the call, unique on its connection.
        kind: The name of the handler.
        body: The argument of the handler.
        incarnation_id: The only incarnation of the receiver that may execute the request; "" for any.
    """

    number: int
    kind: str
    body: typing.Any
    incarnation_id: str = ""

    def body_to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the frame.

        An empty incarnation id is left out, because nodes of the previous version do not know the field.
        """
        if self.incarnation_id:
            return (self.kind, self.body, self.incarnation_id)
        return (self.kind, self.body)

    @classmethod
    def from_wire(cls, number: int, body: typing.Any) -> "Request":
        """Return the request with a decoded body; raises ValueError or TypeError if the body is malformed."""
        kind, handler_body, *incarnation = body
        return cls(number, str(kind), handler_body, str(incarnation[0]) if incarnation else "")


class Response(typing.NamedTuple):
    """The reply to a request whose handler returned normally.

    Attributes:
        number: The call number of the request.
        body: What the handler returned.
    """

    number: int
    body: typing.Any

    def body_to_wire(self) -> typing.Any:
        """Return the body of the frame: what the handler returned."""
        return self.body

    @classmethod
    def from_wire(cls, number: int, body: typing.Any) -> "Response":
        """Return the response with a decoded body, which is not checked: only the caller knows its form."""
        return cls(number, body)


class ErrorResponse(typing.NamedTuple):
    """The reply to a request that was rejected or whose handler raised an error.

    Attributes:
        number: The call number of the request.
        error: The fields of the error.
    """

    number: int
    error: errors.WireError

    def body_to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the frame: the fields of the error."""
        return tuple(self.error)

    @classmethod
    def from_wire(cls, number: int, body: typing.Any) -> "ErrorResponse":
        """Return the error with a decoded body; raises ValueError or TypeError if the body is malformed."""
        return cls(number, errors.WireError.from_wire(body))


class Cancel(typing.NamedTuple):
    """The caller no longer waits for a request, so the peer is to stop executing it.

    Attributes:
        number: The call number of the request.
    """

    number: int

    def body_to_wire(self) -> tuple[()]:
        """Return the body of the frame, which is empty for a cancellation."""
        return ()

    @classmethod
    def from_wire(cls, number: int, _body: typing.Any) -> "Cancel":
        """Return the cancellation of a call; the body of the frame is ignored."""
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
    """Return the name of an error in metric labels and messages.

    Malformed frames have a `drop_reason` for it, which stays the same when an error class is renamed.

    >>> drop_reason(UnknownProtocolError()), drop_reason(ValueError())
    ('UnknownVersion', 'ValueError')
    """
    return error.drop_reason if isinstance(error, errors.MalformedFrameError) else type(error).__name__


def encode(message: Message) -> bytes:
    """Return the payload of the frame that carries a message.

    >>> decode(encode(Request(7, "read", ("x",), "l1")))
    Request(number=7, kind='read', body=['x'], incarnation_id='l1')
    """
    return pack((WIRE_KINDS[type(message)], message.number, message.body_to_wire()))


def decode(payload: bytes) -> Message:
    """Return the message that the payload of a frame carries.

    Raises:
        MalformedFrameError: The payload is not a message of an accepted protocol. Nothing else is raised.
    """
    try:
        kind, number, body = unpack(payload)
        # isinstance() would let True pass as call number 1, because bool is a subclass of int.
        if type(number) is not int:
            raise errors.MalformedFrameError("the call number of the frame is not an integer")
        from_wire = FROM_WIRE.get(kind)
        if from_wire is None:
            raise errors.MalformedFrameError(f"unknown message kind {kind}")
        return from_wire(number, body)
    except (ValueError, TypeError, IndexError) as error:
        raise errors.MalformedFrameError(f"malformed fields of a message: {type(error).__name__}") from None


def pack(message: tuple[typing.Any, ...]) -> bytes:
    """Encode the protocol number and the fields of a message as the payload of a frame or datagram.

    >>> unpack(pack(("ask", 7, ("x",))))
    ('ask', 7, ['x'])
    """
    return ormsgpack.packb((PROTOCOL, *message))


def unpack(payload: bytes) -> tuple[typing.Any, ...]:
    """Decode a payload to the fields of a message without the protocol number; the first is its kind, a str.

    Raises:
        MalformedFrameError: The payload is not a message of an accepted protocol. Nothing else is raised.
    """
    if len(payload) > FRAME_LIMIT_BYTES:
        raise errors.MalformedFrameError(
            f"a payload of {len(payload)} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes"
        )
    try:
        message = ormsgpack.unpackb(payload)
    except Exception as error:
        # A peer may send any bytes: no error that the decoder raises for them may end the task that reads.
        raise errors.MalformedFrameError(f"the payload is not msgpack: {type(error).__name__}") from None
    if not isinstance(message, list) or len(message) < 2:  # noqa: PLR2004 - protocol number and kind
        raise errors.MalformedFrameError("the payload is not an array of protocol number, kind and fields")
    # isinstance() would let True pass as protocol number 1, because bool is a subclass of int.
    if type(message[0]) is not int or message[0] not in ACCEPTED_PROTOCOLS:
        raise UnknownProtocolError("the protocol number of the message is not accepted")
    if not isinstance(message[1], str):
        raise errors.MalformedFrameError("the kind of the message is not a string")
    return tuple(message[1:])
