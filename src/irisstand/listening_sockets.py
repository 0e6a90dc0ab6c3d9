"""Sockets bound to the IP addresses of the settings, without a name look-up.

An event loop that is given a host and a port looks the host up in a pool of threads, even if it is an IP
address. Each of these threads reserves address space that the process may not have.
"""

import socket


def bind_tcp(host: str, port: int) -> socket.socket:
    """Return a TCP socket that is bound, but does not listen yet.

    Raises:
        OSError: The address is in use, or the machine does not have it.
    """
    return _bind(socket.SOCK_STREAM, host, port)


def bind_udp(host: str, port: int) -> socket.socket:
    """Return a bound UDP socket.

    Raises:
        OSError: The address is in use, or the machine does not have it.
    """
    return _bind(socket.SOCK_DGRAM, host, port)


def _bind(kind: socket.SocketKind, host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, kind)
    try:
        bound.settimeout(0)
        if kind is socket.SOCK_STREAM:
            # A process that is started again binds although connections of its last life are in TIME_WAIT.
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family is socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
