"""The network interface that a node uses, and its implementation over TCP and UDP."""

import asyncio
import collections.abc
import functools
import struct
import typing

from irisstand import errors, listening_sockets, resource_budget
from irisstand.transport import codec

Address = tuple[str, int]

# Each frame begins with the length of its payload in bytes, as four bytes in network byte order.
LENGTH_FORMAT = struct.Struct("!I")


class Stream(typing.Protocol):
    """A connection that carries whole frames in order."""

    async def read(self) -> bytes:
        """Return the payload of the next frame; raises OSError once the connection is closed."""
        ...

    def write(self, payload: bytes) -> None:
        """Queue a frame for sending; raises OSError if the connection is known to be closed."""
        ...

    async def flush(self) -> None:
        """Wait until the write buffer is short enough to accept more (flow control)."""
        ...

    def close(self) -> None:
        """Close the connection without waiting until it is closed."""
        ...

    def abort(self) -> None:
        """Close the connection at once, and drop what has not been sent."""
        ...


class DatagramSocket(typing.Protocol):
    """A socket that sends datagrams; received ones are passed to the callback that it was opened with."""

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram, which may be lost."""
        ...

    def close(self) -> None:
        """Close the socket without waiting until it is closed."""
        ...


class Listener(typing.Protocol):
    """A listening socket that accepts incoming connections."""

    def close(self) -> None:
        """Stop accepting connections; accepted connections stay open."""
        ...


# Larger frames count in the budget of the process.
SMALL_FRAME_BYTES = 64 * 1024
# A reader that holds more than twice this pauses its connection.
READER_LIMIT_BYTES = 16 * 1024
# The event loop receives at most this much at a time.
RECEIVED_AT_ONCE_BYTES = 256 * 1024
# The unread bytes that a connection may hold beside the part of a frame that has been read.
UNREAD_LIMIT_BYTES = 2 * READER_LIMIT_BYTES + RECEIVED_AT_ONCE_BYTES

OnStream = collections.abc.Callable[[Stream], collections.abc.Awaitable[None]]
OnDatagram = collections.abc.Callable[[bytes, Address], None]


class Network(typing.Protocol):
    """The network operations of a node, which simulations and fault injection replace."""

    async def connect(self, address: Address) -> Stream:
        """Open a connection; raises OSError if nothing listens at the address or it is unreachable."""
        ...

    async def listen(self, address: Address, on_stream: OnStream) -> Listener:
        """Accept connections at `address`, and call `on_stream` for each in a task of its own."""
        ...

    async def open_datagram_socket(self, address: Address, on_datagram: OnDatagram) -> DatagramSocket:
        """Open a datagram socket at `address`; `on_datagram` is called with each payload and its sender."""
        ...


def _grant(granted: asyncio.Future[None]) -> None:
    """Let a connection go on that waits for room, unless it has ended."""
    if not granted.done():
        granted.set_result(None)


class TcpStream:
    """A stream of frames over one TCP connection; each frame is a four-byte length and a payload.

    Args:
        reader: Where frames are read from.
        writer: Where frames are written to.
        budget: The budget in which large frames count while they are received; None if they do not.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        budget: resource_budget.ResourceBudget | None = None,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.budget = budget

    async def read(self) -> bytes:
        """Return the payload of the next frame.

        Raises:
            MalformedFrameError: The length of the frame exceeds the limit.
            ConnectionResetError: The peer closed the connection.
        """
        try:
            (length,) = LENGTH_FORMAT.unpack(await self.reader.readexactly(LENGTH_FORMAT.size))
            # Checked before the payload is read: a malicious length must not make this process allocate it.
            if length > codec.FRAME_LIMIT_BYTES:
                raise errors.MalformedFrameError(f"the frame length of {length} bytes exceeds the limit")
            if self.budget is None or length <= SMALL_FRAME_BYTES:
                return await self.reader.readexactly(length)
            return await self._read_large(length, self.budget)
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("the peer closed the connection") from None

    async def _read_large(self, length: int, budget: resource_budget.ResourceBudget) -> bytes:
        """Read the payload of a large frame, once the budget has room for it."""
        holding = budget.open(self)
        try:
            # What has arrived already is held whether there is room for the frame or not.
            holding.set(UNREAD_LIMIT_BYTES)
            granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            size = UNREAD_LIMIT_BYTES + length
            on_granted = functools.partial(_grant, granted)
            if not budget.set_when_possible(holding, size, on_granted, resource_budget.REQUESTS_FRACTION):
                await granted
            if not holding.is_open():
                raise ConnectionResetError("the connection was closed to make room for others")
            payload = bytearray(length)
            received = 0
            while received < length:
                piece = await self.reader.read(min(SMALL_FRAME_BYTES, length - received))
                if not piece:
                    raise asyncio.IncompleteReadError(b"", length)
                holding.speed.add(len(piece))
                payload[received : received + len(piece)] = piece
                received += len(piece)
            return bytes(payload)
        finally:
            holding.close()

    def is_evictable(self) -> bool:
        """Return whether the connection waits for its peer: it is asked only in the midst of a frame."""
        return True

    def evict(self) -> None:
        """Close the connection at once."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once, and drop what has not been sent."""
        self.writer.transport.abort()

    def write(self, payload: bytes) -> None:
        """Queue a frame for sending; raises ConnectionResetError if the connection is closed."""
        # uvloop closes a transport before it calls connection_lost(), and drops what is written in between.
        if self.writer.is_closing():
            raise ConnectionResetError("cannot write the frame: the connection is closed")
        self.writer.write(LENGTH_FORMAT.pack(len(payload)) + payload)

    async def flush(self) -> None:
        """Wait until the write buffer is short enough to accept more (flow control)."""
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection without waiting until it is closed."""
        self.writer.close()


class UdpSocket(asyncio.DatagramProtocol):
    """A UDP socket of the asyncio event loop."""

    def __init__(self, on_datagram: OnDatagram) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: typing.Any) -> None:
        """Store the asyncio transport of the socket once it is open."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a datagram to the callback with its sender's host and port, without the IPv6 scope fields."""
        self.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as an unreachable port: the failure detector notices the missing ack."""

    def send(self, payload: bytes, address: Address) -> None:
        """Send one datagram, unless the socket is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(payload, address)

    def close(self) -> None:
        """Close the socket without waiting until it is closed."""
        if self.transport is not None:
            self.transport.close()


class RealNetwork:
    """The TCP and UDP network of the operating system.

    Attributes:
        budget: The budget in which large frames of peers count; None until the node sets it.
    """

    def __init__(self) -> None:
        self.budget: resource_budget.ResourceBudget | None = None

    async def connect(self, address: Address) -> Stream:
        """Open a TCP connection."""
        reader, writer = await asyncio.open_connection(*address)
        return TcpStream(reader, writer)

    async def listen(self, address: Address, on_stream: OnStream) -> Listener:
        """Accept TCP connections at `address`, and call `on_stream` for each in a task of its own."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await on_stream(TcpStream(reader, writer, self.budget))

        listener = listening_sockets.bind_tcp(*address)
        return await asyncio.start_server(accept, sock=listener, limit=READER_LIMIT_BYTES)

    async def open_datagram_socket(self, address: Address, on_datagram: OnDatagram) -> DatagramSocket:
        """Open a UDP socket at `address`; `on_datagram` is called with each payload and its sender."""
        loop = asyncio.get_running_loop()
        _, socket = await loop.create_datagram_endpoint(
            lambda: UdpSocket(on_datagram), sock=listening_sockets.bind_udp(*address)
        )
        return socket
