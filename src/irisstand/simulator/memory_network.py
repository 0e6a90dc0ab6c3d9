"""The network in memory: latency, loss and partitions.

Across a partition streams hold what is sent until it heals, as TCP does; datagrams are lost.
"""

import asyncio
import collections
import collections.abc
import contextvars
import typing

from irisstand.simulator import simulated_network, virtual_time
from irisstand.transport import network

RETRANSMIT_SECONDS = 0.2
FRAME_HEADER_BYTES = 4


class MemoryStream:
    """One end of a connection. Order is kept, and nothing is lost but with the connection.

    Attributes:
        peer: The other end; set by `connect` before the stream is used.
        free_at: Virtual time at which what was written last arrives.
        received: Payloads that have arrived; None: the other end closed the connection.
    """

    peer: "MemoryStream"

    def __init__(
        self,
        shared_network: simulated_network.SimulatedNetwork,
        actor: virtual_time.Actor | None,
        host: str,
        peer_host: str,
    ) -> None:
        self.network = shared_network
        self.actor = actor
        self.host = host
        self.peer_host = peer_host
        self.received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.closed = False
        self.last_arrival_at = 0.0
        self.empty_context = contextvars.Context()

    async def read(self) -> bytes:
        """Return the next payload.

        Raises:
            ConnectionResetError: The connection is closed.
        """
        if self.closed:
            raise ConnectionResetError("closed here")
        payload = await self.received.get()
        if payload is None:
            self.closed = True
            raise ConnectionResetError("closed by the other end")
        return payload

    def write(self, payload: bytes) -> None:
        """Send a payload, unless the connection is closed."""
        if self.closed:
            return
        self.network.bytes_sent[self.host] += len(payload) + FRAME_HEADER_BYTES
        self.schedule_delivery(payload)

    def schedule_delivery(self, payload: bytes | None) -> None:
        """Schedule the arrival of a payload, or of the end of the connection."""
        loop = virtual_time.running_loop()
        if loop.ending:
            return
        # Never before what was written earlier, whatever the draw of the delay.
        self.last_arrival_at = max(
            self.last_arrival_at, loop.time() + self.network.delay(self.host, self.peer_host)
        )
        loop.call_at(self.last_arrival_at, self.deliver, payload, context=self.empty_context.copy())

    def deliver(self, payload: bytes | None) -> None:
        """Let a payload arrive, or try again later across a partition."""
        loop = asyncio.get_running_loop()
        if self.network.is_partitioned(self.host, self.peer_host):
            self.last_arrival_at = max(self.last_arrival_at, loop.time() + RETRANSMIT_SECONDS)
            loop.call_at(
                loop.time() + RETRANSMIT_SECONDS, self.deliver, payload, context=self.empty_context.copy()
            )
        elif not self.peer.closed:
            self.peer.received.put_nowait(payload)
        elif payload is not None and self.network.is_machine_up(self.peer_host):
            # The other end knows nothing of this connection any more, and says so.
            self.received.put_nowait(None)

    async def flush(self) -> None:
        """Return at once, since nothing is buffered.

        Raises:
            ConnectionResetError: The connection is closed.
        """
        if self.closed:
            raise ConnectionResetError("closed")

    def close(self) -> None:
        """Close both ends."""
        if not self.closed:
            self.closed = True
            self.received.put_nowait(None)
            self.schedule_delivery(None)

    def reset_peer(self) -> None:
        """Close the other end."""
        self.schedule_delivery(None)


class MemoryPort:
    """A datagram port of one host."""

    def __init__(self, shared_network: simulated_network.SimulatedNetwork, address: network.Address) -> None:
        self.network = shared_network
        self.address = address

    def send(self, payload: bytes, address: network.Address) -> None:
        """Send a datagram, which may be lost."""
        self.network.bytes_sent[self.address[0]] += len(payload)
        if self.network.randomness.random() < self.network.loss:
            return
        delay = self.network.delay(self.address[0], address[0])
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.arrive, payload, address, context=contextvars.Context())

    def arrive(self, payload: bytes, address: network.Address) -> None:
        """Hand a datagram to the process at the address, if there is one and it can be reached."""
        target = self.network.ports.get(address)
        if target is not None and not self.network.is_partitioned(self.address[0], address[0]):
            loop = asyncio.get_running_loop()
            loop.call_soon(target.on_datagram, payload, self.address, context=target.actor.context.copy())

    def close(self) -> None:
        """Receive no more datagrams."""
        self.network.ports.pop(self.address, None)


class MemoryListener:
    """Accepts connections at an address until it is closed."""

    def __init__(self, shared_network: simulated_network.SimulatedNetwork, address: network.Address) -> None:
        self.network = shared_network
        self.address = address

    def close(self) -> None:
        """Accept no more connections."""
        self.network.listeners.pop(self.address, None)


class HostNetwork:
    """The network as one process sees it (`transport.network.Network`)."""

    def __init__(self, shared_network: simulated_network.SimulatedNetwork, host: str) -> None:
        self.network = shared_network
        self.host = host

    async def connect(self, address: network.Address) -> network.Stream:
        """Connect to an address; across a partition this takes until it heals.

        Raises:
            ConnectionRefusedError: Nobody listens there.
        """
        await asyncio.sleep(2 * self.network.delay(self.host, address[0]))
        while self.network.is_partitioned(self.host, address[0]):  # noqa: ASYNC110 - the draws and times of seeded days rest on polling
            await asyncio.sleep(RETRANSMIT_SECONDS)
        if address not in self.network.listeners:
            raise ConnectionRefusedError(str(address))
        handler = self.network.listeners[address]
        own_end = MemoryStream(self.network, virtual_time.ACTOR.get(), self.host, address[0])
        other_end = MemoryStream(self.network, handler.actor, address[0], self.host)
        own_end.peer = other_end
        other_end.peer = own_end
        open_streams = [stream for stream in self.network.streams if not stream.closed]
        self.network.streams = [*open_streams, own_end, other_end]
        loop = asyncio.get_running_loop()
        loop.call_soon(self.accept, handler.on_stream, other_end, context=handler.actor.context.copy())
        return own_end

    def accept(self, on_stream: network.OnStream, stream: MemoryStream) -> None:
        """Let the listening process serve a new connection."""
        # An `async def` in all cases, though the type promises only something awaitable.
        serve = typing.cast(collections.abc.Coroutine[typing.Any, typing.Any, None], on_stream(stream))
        asyncio.get_running_loop().create_task(serve)

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> MemoryListener:
        """Accept connections as the process that runs now."""
        self.network.listeners[address] = simulated_network.StreamHandler(current_actor(), on_stream)
        return MemoryListener(self.network, address)

    async def datagrams(self, address: network.Address, on_datagram: network.OnDatagram) -> MemoryPort:
        """Receive datagrams as the process that runs now."""
        self.network.ports[address] = simulated_network.DatagramHandler(current_actor(), on_datagram)
        return MemoryPort(self.network, address)


def current_actor() -> virtual_time.Actor:
    """Return the simulated process that runs now.

    Raises:
        RuntimeError: None does.
    """
    actor = virtual_time.ACTOR.get()
    if actor is None:
        raise RuntimeError("only a simulated process opens ports")
    return actor
