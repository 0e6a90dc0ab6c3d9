"""The network as it is handed to a node, and the real one over TCP and UDP."""

import asyncio
import collections.abc
import struct
import typing

from irisstand import errors
from irisstand.transport import codec

Address = tuple[str, int]

# The length of a frame's payload stands before it, in network byte order.
LENGTH_FORMAT = struct.Struct("!I")


class Stream(typing.Protocol):
    """One connection that carries whole frames in order."""

    async def read(self) -> bytes:
        """Return the payload of the next frame; raises OSError once the connection is closed."""
        ...

    def write(self, payload: bytes) -> None:
        """Queue a frame; raises OSError if the connection is known to be closed."""
        ...

    async def flush(self) -> None:
        """Wait until the queue of outgoing bytes is short again."""
        ...

    def close(self) -> None:
        """Close the connection without waiting."""
        ...


class DatagramSocket(typing.Protocol):
    """A datagram socket."""

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram, which may be lost."""
        ...

    def close(self) -> None:
        """Close the socket without waiting."""
        ...


class Listener(typing.Protocol):
    """What accepts incoming connections."""

    def close(self) -> None:
        """Accept no more connections; those that exist stay open."""
        ...


OnStream = collections.abc.Callable[[Stream], collections.abc.Awaitable[None]]
OnDatagram = collections.abc.Callable[[bytes, Address], None]


class Network(typing.Protocol):
    """All that a node does on the network."""

    async def connect(self, address: Address) -> Stream:
        """Open a connection; raises OSError if there is no listener or no way to it."""
        ...

    async def listen(self, address: Address, on_stream: OnStream) -> Listener:
        """Accept connections at `address`; `on_stream` serves each in a task of its own."""
        ...

    async def open_datagram_socket(self, address: Address, on_datagram: OnDatagram) -> DatagramSocket:
        """Open a datagram socket at `address`; `on_datagram` is called with each payload and its source."""
        ...


class TcpStream:
    """Frames of a four-byte length and a payload over one TCP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read(self) -> bytes:
        """Return the payload of the next frame.

        Raises:
            MalformedFrameError: The announced length is over the limit.
            ConnectionResetError: The peer closed the connection.
        """
        try:
            (length,) = LENGTH_FORMAT.unpack(await self.reader.readexactly(LENGTH_FORMAT.size))
            # A hostile length must not make this process reserve the memory it names.
            if length > codec.FRAME_LIMIT_BYTES:
                raise errors.MalformedFrameError(f"a frame of {length} bytes was announced")
            return await self.reader.readexactly(length)
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("the colleague closed the connection") from None

    def write(self, payload: bytes) -> None:
        """Queue a frame; raises ConnectionResetError if the connection is closed."""
        # uvloop closes a transport before it tells the protocol; what is written then would be lost.
        if self.writer.is_closing():
            raise ConnectionResetError("the connection is closed")
        self.writer.write(LENGTH_FORMAT.pack(len(payload)) + payload)

    async def flush(self) -> None:
        """Wait until the queue of outgoing bytes is short again."""
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection without waiting."""
        self.writer.close()


class UdpSocket(asyncio.DatagramProtocol):
    """A datagram socket of the event loop."""

    def __init__(self, on_datagram: OnDatagram) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: typing.Any) -> None:
        """Keep the transport of the open socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a datagram on with its source; an IPv6 source has two more fields, which are dropped."""
        self.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port: the failure detector misses the ack."""

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram, unless the socket is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(payload, address)

    def close(self) -> None:
        """Close the socket without waiting."""
        if self.transport is not None:
            self.transport.close()


class RealNetwork:
    """The network of the operating system."""

    async def connect(self, address: Address) -> Stream:
        """Open a TCP connection."""
        reader, writer = await asyncio.open_connection(*address)
        return TcpStream(reader, writer)

    async def listen(self, address: Address, on_stream: OnStream) -> Listener:
        """Accept TCP connections at `address`."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await on_stream(TcpStream(reader, writer))

        return await asyncio.start_server(accept, *address)

    async def open_datagram_socket(self, address: Address, on_datagram: OnDatagram) -> DatagramSocket:
        """Open a UDP socket at `address`."""
        loop = asyncio.get_running_loop()
        _, port = await loop.create_datagram_endpoint(lambda: UdpSocket(on_datagram), local_addr=address)
        return port
