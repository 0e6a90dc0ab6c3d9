"""Closes a stopping listener's client connections as they become idle, and aborts the others at the end."""

import collections.abc
import typing

# Sanic's connections, for which Sanic has no types.
Connections = collections.abc.Iterable[typing.Any]


def close_idle(connections: Connections) -> bool:
    """Close the connections on which no request is being read or answered.

    A process that ended with an idle connection open could read a request just before its end, and leave it
    unanswered.

    Returns:
        Whether there was any open connection, idle or not, at the time of the call.
    """
    open_now = list(connections)
    for connection in open_now:
        if not connection.recv_buffer:
            connection.close_if_idle()
    return bool(open_now)


def abort(connections: Connections) -> None:
    """Abort all connections, so that a client that doesn't read can't keep the process from ending."""
    for connection in list(connections):
        if connection.transport is not None:
            connection.transport.abort()
