"""Tuples to bytes and back. The protocol number stands first in everything that leaves a process."""

import ormsgpack

from irisstand import errors

PROTOCOL = 1
# Neighbours one version apart work together during a rolling upgrade; further apart they part company.
ACCEPTED = (PROTOCOL - 1, PROTOCOL, PROTOCOL + 1)
FRAME_LIMIT = 8 * 1024 * 1024


def pack(message: tuple) -> bytes:
    """
    >>> unpack(pack(("ask", 7, ("x",))))
    ('ask', 7, ['x'])
    """
    return ormsgpack.packb((PROTOCOL, *message))


def unpack(payload: bytes) -> tuple:
    """The message without its protocol number, or BadFrame; never another exception."""
    if len(payload) > FRAME_LIMIT:
        raise errors.BadFrame(f"{len(payload)} bytes are over the limit of {FRAME_LIMIT}")
    try:
        message = ormsgpack.unpackb(payload)
    except Exception as error:
        raise errors.BadFrame(f"not decodable: {type(error).__name__}") from None
    if not isinstance(message, list) or len(message) < 2:
        raise errors.BadFrame("not a message")
    # bool is an int to Python, and True would pass for protocol 1.
    if type(message[0]) is not int or message[0] not in ACCEPTED:
        raise errors.BadFrame("unknown protocol number")
    if not isinstance(message[1], str):
        raise errors.BadFrame("no kind")
    return tuple(message[1:])
