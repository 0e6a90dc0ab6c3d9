"""A network in memory with latency, loss of datagrams and partitions.

During a partition a stream keeps payloads and delivers them after it heals, as TCP retransmission does;
datagrams are lost.
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
    """One end of a connection, which delivers payloads in order and loses none while it is open.

    Attributes:
        peer: The other end of the connection; `connect` sets it before the stream is used.
        last_arrival_at: Virtual time at which the payload written last arrives at the other end.
        received: Payloads that have arrived and were not read yet; None marks the end of the connection.
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
        """Wait for the next payload and return it.

        Raises:
            ConnectionResetError: The connection is closed.
        """
        if self.closed:
            raise ConnectionResetError("the connection is closed at this end")
        payload = await self.received.get()
        if payload is None:
            self.closed = True
            raise ConnectionResetError("the other end closed the connection")
        return payload

    def write(self, payload: bytes) -> None:
        """Send a payload to the other end; does nothing if the connection is closed."""
        if self.closed:
            return
        self.network.bytes_sent[self.host] += len(payload) + FRAME_HEADER_BYTES
        self.schedule_delivery(payload)

    def schedule_delivery(self, payload: bytes | None) -> None:
        """Schedule the arrival of a payload at the other end; None stands for the end of the connection."""
        loop = virtual_time.running_loop()
        if loop.ending:
            return
        # A payload with a shorter random delay must not overtake the payload that was written before it.
        self.last_arrival_at = max(
            self.last_arrival_at, loop.time() + self.network.delay(self.host, self.peer_host)
        )
        loop.call_at(self.last_arrival_at, self.deliver, payload, context=self.empty_context.copy())

    def deliver(self, payload: bytes | None) -> None:
        """Deliver a payload to the other end, or reschedule it while the two hosts are partitioned."""
        loop = asyncio.get_running_loop()
        if self.network.is_partitioned(self.host, self.peer_host):
            self.last_arrival_at = max(self.last_arrival_at, loop.time() + RETRANSMIT_SECONDS)
            loop.call_at(
                loop.time() + RETRANSMIT_SECONDS, self.deliver, payload, context=self.empty_context.copy()
            )
        elif not self.peer.closed:
            self.peer.received.put_nowait(payload)
        elif payload is not None and self.network.is_machine_up(self.peer_host):
            # The peer's machine is up but the connection is gone there, so it replies with a reset.
            self.received.put_nowait(None)

    def abort(self) -> None:
        """Close the connection at once."""
        self.close()

    async def flush(self) -> None:
        """Return at once, since the stream buffers nothing before it sends.

        Raises:
            ConnectionResetError: The connection is closed.
        """
        if self.closed:
            raise ConnectionResetError("the connection is closed")

    def close(self) -> None:
        """Close this end, and the other one after the network delay."""
        if not self.closed:
            self.closed = True
            self.received.put_nowait(None)
            self.schedule_delivery(None)

    def reset_peer(self) -> None:
        """Close only the other end, after the network delay."""
        self.schedule_delivery(None)


class MemoryPort:
    """A datagram socket that is bound to an address of one host."""

    def __init__(self, shared_network: simulated_network.SimulatedNetwork, address: network.Address) -> None:
        self.network = shared_network
        self.address = address

    def send(self, payload: bytes, address: network.Address) -> None:
        """Send a datagram to an address; it may be lost, at random or by a partition."""
        self.network.bytes_sent[self.address[0]] += len(payload)
        if self.network.randomness.random() < self.network.loss:
            return
        delay = self.network.delay(self.address[0], address[0])
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.arrive, payload, address, context=contextvars.Context())

    def arrive(self, payload: bytes, address: network.Address) -> None:
        """Deliver a datagram to the process that is bound to the address, if that exists and is reachable."""
        target = self.network.ports.get(address)
        if target is not None and not self.network.is_partitioned(self.address[0], address[0]):
            loop = asyncio.get_running_loop()
            loop.call_soon(target.on_datagram, payload, self.address, context=target.actor.context.copy())

    def close(self) -> None:
        """Unbind the socket, so that it receives no more datagrams."""
        self.network.ports.pop(self.address, None)


class MemoryListener:
    """A listening socket, which accepts connections at an address until it is closed."""

    def __init__(self, shared_network: simulated_network.SimulatedNetwork, address: network.Address) -> None:
        self.network = shared_network
        self.address = address

    def close(self) -> None:
        """Stop accepting connections; those that are open stay open."""
        self.network.listeners.pop(self.address, None)


class HostNetwork:
    """The simulated network as seen by one host; implements `transport.network.Network`."""

    def __init__(self, shared_network: simulated_network.SimulatedNetwork, host: str) -> None:
        self.network = shared_network
        self.host = host

    async def connect(self, address: network.Address) -> network.Stream:
        """Connect to an address; if the two hosts are partitioned, this waits until the partition heals.

        Raises:
            ConnectionRefusedError: No process listens at the address.
        """
        await asyncio.sleep(2 * self.network.delay(self.host, address[0]))
        while self.network.is_partitioned(self.host, address[0]):  # noqa: ASYNC110 - draws and times of seeded days depend on polling
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
        """Start a task that serves a new connection, as the process of the current context."""
        # `create_task` needs a coroutine. All handlers are `async def`, though their type is any awaitable.
        serve = typing.cast(collections.abc.Coroutine[typing.Any, typing.Any, None], on_stream(stream))
        asyncio.get_running_loop().create_task(serve)

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> MemoryListener:
        """Accept connections at an address; the simulated process that runs now serves them."""
        self.network.listeners[address] = simulated_network.StreamHandler(current_actor(), on_stream)
        return MemoryListener(self.network, address)

    async def open_datagram_socket(
        self, address: network.Address, on_datagram: network.OnDatagram
    ) -> MemoryPort:
        """Bind a datagram socket to an address; the simulated process that runs now gets its datagrams."""
        self.network.ports[address] = simulated_network.DatagramHandler(current_actor(), on_datagram)
        return MemoryPort(self.network, address)


def current_actor() -> virtual_time.Actor:
    """Return the simulated process that runs now.

    Raises:
        RuntimeError: The running code belongs to no simulated process.
    """
    actor = virtual_time.ACTOR.get()
    if actor is None:
        raise RuntimeError("only a simulated process may listen or bind a datagram socket")
    return actor
