"""Ends a TCP connection with a reset, which drops the data that is still in transit or buffered."""

import asyncio
import socket
import struct

# The SO_LINGER option with a linger time of 0: closing the socket resets the connection (RFC 9293, section
# 3.10.5).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset the TCP connection of a transport unless the transport is already closing.

    An ordinary close first delivers the data in the send buffer, even after a network partition has healed,
    so a request that was abandoned could still reach the origin later.
    """
    if transport.is_closing():
        return
    connected = transport.get_extra_info("socket")
    if connected is not None:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
