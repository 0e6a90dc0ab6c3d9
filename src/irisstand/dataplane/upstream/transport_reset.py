"""Ends a TCP connection by a reset: what is still on its way is dropped at both ends."""

import asyncio
import socket
import struct

# SO_LINGER on, with no time to linger: closing resets the connection (RFC 9293, section 3.10.5).
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset the connection of a transport, unless it is closing already.

    An ordinary close delivers first what waits in a buffer or behind a cut of the network: a request that was
    given up would reach the origin later.
    """
    if transport.is_closing():
        return
    connected = transport.get_extra_info("socket")
    if connected is not None:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()
