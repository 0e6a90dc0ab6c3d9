"""The states of a connection to an origin."""

import enum


class ConnectionState(enum.Enum):
    """What a connection may still be used for; a connection only moves to a state that is listed later."""

    # The TCP connection has not been opened yet.
    NEW = enum.auto()
    # The connection is open and may carry requests.
    OPEN = enum.auto()
    # The response in flight may still be used, but no further request may be sent.
    NOT_REUSABLE = enum.auto()
    # The connection is closed or broken.
    CLOSED = enum.auto()
