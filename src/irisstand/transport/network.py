"""The network as it is handed to a node, and the real one over TCP and UDP."""

import asyncio
import collections.abc
import struct
import typing

from irisstand import errors
from irisstand.transport import codec

Address = tuple[str, int]


class Stream(typing.Protocol):
    async def read(self) -> bytes: ...
    def write(self, payload: bytes) -> None: ...
    async def flush(self) -> None: ...
    def close(self) -> None: ...


class Port(typing.Protocol):
    def send(self, payload: bytes, address: Address) -> None: ...
    def close(self) -> None: ...


OnStream = collections.abc.Callable[[Stream], collections.abc.Awaitable[None]]
OnDatagram = collections.abc.Callable[[bytes, Address], None]


class Network(typing.Protocol):
    async def connect(self, address: Address) -> Stream: ...
    async def listen(self, address: Address, on_stream: OnStream) -> typing.Any: ...
    async def datagrams(self, address: Address, on_datagram: OnDatagram) -> Port: ...


class TcpStream:
    """Frames of a four-byte length and a payload over one TCP connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self) -> bytes:
        try:
            (length,) = struct.unpack("!I", await self.reader.readexactly(4))
            # A hostile length must not make this process reserve the memory it names.
            if length > codec.FRAME_LIMIT:
                raise errors.MalformedFrameError(f"a frame of {length} bytes was announced")
            return await self.reader.readexactly(length)
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("the colleague closed the connection") from None

    def write(self, payload: bytes) -> None:
        # Closed, but not yet told so: what is written now would go nowhere.
        if self.writer.is_closing():
            raise ConnectionResetError("the connection is closed")
        self.writer.write(struct.pack("!I", len(payload)) + payload)

    async def flush(self) -> None:
        await self.writer.drain()

    def close(self) -> None:
        self.writer.close()


class UdpPort(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: OnDatagram) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        self.on_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """An unreachable port is the detector's business: it sees no ack."""

    def send(self, payload: bytes, address: Address) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(payload, address)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class RealNetwork:
    async def connect(self, address: Address) -> Stream:
        reader, writer = await asyncio.open_connection(*address)
        return TcpStream(reader, writer)

    async def listen(self, address: Address, on_stream: OnStream) -> asyncio.Server:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await on_stream(TcpStream(reader, writer))

        return await asyncio.start_server(accept, *address)

    async def datagrams(self, address: Address, on_datagram: OnDatagram) -> Port:
        loop = asyncio.get_running_loop()
        _, port = await loop.create_datagram_endpoint(lambda: UdpPort(on_datagram), local_addr=address)
        return port
