"""The open connections of a listener that stops: closed as they come to rest, and aborted at the very end."""

import collections.abc
import typing

# Of sanic, which has no types for them.
Connections = collections.abc.Iterable[typing.Any]


def close_idle(connections: Connections) -> bool:
    """Close connections on which no request is being read or answered, and return whether any is left.

    A node that ended with one open could read a request in its last moment, and leave it unanswered.
    """
    open_now = list(connections)
    for connection in open_now:
        if not connection.recv_buffer:
            connection.close_if_idle()
    return bool(open_now)


def abort(connections: Connections) -> None:
    """Abort all connections: a client that does not read must not keep the process from its end."""
    for connection in list(connections):
        if connection.transport is not None:
            connection.transport.abort()
