"""Messages to bytes and back. The protocol number stands first in everything that leaves a process."""

import typing

import ormsgpack

from irisstand import errors

PROTOCOL = 1
# Neighbours one version apart work together during a rolling upgrade; further apart they part company.
ACCEPTED = (PROTOCOL - 1, PROTOCOL, PROTOCOL + 1)
FRAME_LIMIT = 8 * 1024 * 1024


class UnknownProtocolError(errors.MalformedFrameError):
    """A frame of a protocol that this version neither speaks nor is a neighbour of."""

    code, remedy = "unknown-version", "upgrade this node or its peer to neighbouring versions"
    drop_reason = "UnknownVersion"


def drop_reason(error: Exception) -> str:
    """Return what metric labels and messages call the kind of an error; class names may change, this may not.

    >>> drop_reason(UnknownProtocolError()), drop_reason(ValueError())
    ('UnknownVersion', 'ValueError')
    """
    return error.drop_reason if isinstance(error, errors.MalformedFrameError) else type(error).__name__


class Hello(typing.NamedTuple):
    """The first message of each end. A version before this one tells no life."""

    name: str
    incarnation_id: str = ""


class Request(typing.NamedTuple):
    """`life` is the receiver's, by its hello: empty where that told none."""

    number: int
    kind: str
    body: typing.Any
    incarnation_id: str = ""


class Response(typing.NamedTuple):
    number: int
    body: typing.Any


class ErrorResponse(typing.NamedTuple):
    """The error that the request raised."""

    number: int
    error: errors.WireError


class Cancel(typing.NamedTuple):
    """The asker of that number has gone: what is still queued for it is dropped."""

    number: int


Message = Hello | Request | Response | ErrorResponse | Cancel


def encode(message: Message) -> bytes:
    """
    >>> decode(encode(Request(7, "read", ("x",), "l1")))
    Request(number=7, kind='read', body=['x'], incarnation_id='l1')
    """
    if isinstance(message, Hello):
        return pack(("hello", 0, tuple(message)))
    if isinstance(message, Request):
        # A receiver of the version before, which told no life, knows no third part.
        told = (message.incarnation_id,) if message.incarnation_id else ()
        return pack(("ask", message.number, (message.kind, message.body, *told)))
    if isinstance(message, Response):
        return pack(("result", message.number, message.body))
    if isinstance(message, ErrorResponse):
        return pack(("fault", message.number, tuple(message.error)))
    return pack(("withdraw", message.number, ()))


def decode(payload: bytes) -> Message:
    """The message of a frame, or BadFrame; never another exception."""
    try:
        kind, number, body = unpack(payload)
        if type(number) is not int:
            raise errors.MalformedFrameError("no number")
        if kind == "hello":
            return Hello(*map(str, body[:2]))
        if kind == "ask":
            asked, inner, *life = body
            return Request(number, str(asked), inner, str(life[0]) if life else "")
        if kind == "result":
            return Response(number, body)
        if kind == "fault":
            return ErrorResponse(number, errors.WireError.from_wire(body))
        if kind == "withdraw":
            return Cancel(number)
    except (ValueError, TypeError, IndexError) as error:
        raise errors.MalformedFrameError(f"not a whole message: {type(error).__name__}") from None
    raise errors.MalformedFrameError(f"{kind} is no kind of message")


def pack(message: tuple) -> bytes:
    """
    >>> unpack(pack(("ask", 7, ("x",))))
    ('ask', 7, ['x'])
    """
    return ormsgpack.packb((PROTOCOL, *message))


def unpack(payload: bytes) -> tuple:
    """The message without its protocol number, or BadFrame; never another exception."""
    if len(payload) > FRAME_LIMIT:
        raise errors.MalformedFrameError(f"{len(payload)} bytes are over the limit of {FRAME_LIMIT}")
    try:
        message = ormsgpack.unpackb(payload)
    except Exception as error:
        raise errors.MalformedFrameError(f"not decodable: {type(error).__name__}") from None
    if not isinstance(message, list) or len(message) < 2:
        raise errors.MalformedFrameError("not a message")
    # bool is an int to Python, and True would pass for protocol 1.
    if type(message[0]) is not int or message[0] not in ACCEPTED:
        raise UnknownProtocolError("unknown protocol number")
    if not isinstance(message[1], str):
        raise errors.MalformedFrameError("no kind")
    return tuple(message[1:])
