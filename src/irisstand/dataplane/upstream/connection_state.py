"""The life of a connection to an origin."""

import enum


class ConnectionState(enum.Enum):
    """What a connection may still be used for; it only changes downwards."""

    # Nothing has been opened yet.
    NEW = enum.auto()
    # Requests may be sent.
    OPEN = enum.auto()
    # The answer in flight is still good, but no further request may be sent.
    NOT_REUSABLE = enum.auto()
    CLOSED = enum.auto()
