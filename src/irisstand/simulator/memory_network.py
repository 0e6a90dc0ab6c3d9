"""The network in memory: latency, loss, cuts; streams hold what is cut off, datagrams lose it."""

import asyncio
import collections
import contextvars
import random
import typing

from irisstand.simulator import virtual_time
from irisstand.transport import network

RETRANSMIT_SECONDS = 0.2


class SimulatedNetwork:
    """What lies between all machines. `cuts` holds pairs of hosts that cannot reach one another."""

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.loss = 0.0
        self.cuts: set[frozenset] = set()
        self.regions: dict[str, str] = {}
        self.listeners: dict[network.Address, tuple[virtual_time.Actor, network.OnStream]] = {}
        self.ports: dict[network.Address, tuple[virtual_time.Actor, network.OnDatagram]] = {}
        self.streams: list[MemoryStream] = []
        self.bytes_sent: collections.Counter[str] = collections.Counter()

    def delay(self, one: str, other: str) -> float:
        base = 0.0002 if self.regions.get(one) == self.regions.get(other) else 0.006
        return base * self.randomness.uniform(1.0, 1.5)

    def is_machine_up(self, host: str) -> bool:
        return any(at[0] == host for at in self.ports)

    def is_cut(self, one: str, other: str) -> bool:
        return one != other and frozenset((one, other)) in self.cuts

    def cut(self, some: typing.Iterable[str], others: typing.Iterable[str]) -> None:
        others = list(others)
        self.cuts |= {frozenset((one, other)) for one in some for other in others if one != other}

    def heal(self) -> None:
        self.cuts.clear()

    def drop(self, actor: virtual_time.Actor, reset: bool) -> None:
        """A process is gone: its ports close, and its peers get a reset unless the power went too."""
        self.listeners = {at: pair for at, pair in self.listeners.items() if pair[0] is not actor}
        self.ports = {at: pair for at, pair in self.ports.items() if pair[0] is not actor}
        for stream in self.streams:
            if stream.actor is actor:
                stream.closed = True
                if reset:
                    stream.reset_peer()
        self.streams = [stream for stream in self.streams if not stream.closed]


class MemoryStream:
    """One end of a connection. Order is kept, and nothing is lost but with the connection."""

    def __init__(
        self, wires: SimulatedNetwork, actor: virtual_time.Actor | None, host: str, peer_host: str
    ) -> None:
        self.network, self.actor, self.host, self.peer_host = wires, actor, host, peer_host
        self.peer: MemoryStream | None = None
        self.received: asyncio.Queue = asyncio.Queue()
        self.closed = False
        self.free_at = 0.0
        self.empty = contextvars.Context()

    async def read(self) -> bytes:
        if self.closed:
            raise ConnectionResetError("closed here")
        payload = await self.received.get()
        if payload is None:
            self.closed = True
            raise ConnectionResetError("closed by the other end")
        return payload

    def write(self, payload: bytes) -> None:
        if self.closed:
            return
        self.network.bytes_sent[self.host] += len(payload) + 4
        self.post(payload)

    def post(self, payload: bytes | None) -> None:
        loop = asyncio.get_running_loop()
        if loop.ending:
            return
        # Never before what was written earlier, whatever the draw of the delay.
        self.free_at = max(self.free_at, loop.time() + self.network.delay(self.host, self.peer_host))
        loop.call_at(self.free_at, self.deliver, payload, context=self.empty.copy())

    def deliver(self, payload: bytes | None) -> None:
        loop = asyncio.get_running_loop()
        if self.network.is_cut(self.host, self.peer_host):
            self.free_at = max(self.free_at, loop.time() + RETRANSMIT_SECONDS)
            loop.call_at(loop.time() + RETRANSMIT_SECONDS, self.deliver, payload, context=self.empty.copy())
        elif not self.peer.closed:
            self.peer.received.put_nowait(payload)
        elif payload is not None and self.network.is_machine_up(self.peer_host):
            # The other end knows nothing of this connection any more, and says so.
            self.received.put_nowait(None)

    async def flush(self) -> None:
        if self.closed:
            raise ConnectionResetError("closed")

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.received.put_nowait(None)
            self.post(None)

    def reset_peer(self) -> None:
        self.post(None)


class MemoryPort:
    def __init__(self, wires: SimulatedNetwork, address: network.Address) -> None:
        self.network, self.address = wires, address

    def send(self, payload: bytes, address: network.Address) -> None:
        wires = self.network
        wires.bytes_sent[self.address[0]] += len(payload)
        if wires.randomness.random() < wires.loss:
            return
        delay = wires.delay(self.address[0], address[0])
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.arrive, payload, address, context=contextvars.Context())

    def arrive(self, payload: bytes, address: network.Address) -> None:
        target = self.network.ports.get(address)
        if target is not None and not self.network.is_cut(self.address[0], address[0]):
            actor, on_datagram = target
            loop = asyncio.get_running_loop()
            loop.call_soon(on_datagram, payload, self.address, context=actor.context.copy())

    def close(self) -> None:
        self.network.ports.pop(self.address, None)


class MemoryListener:
    def __init__(self, wires: SimulatedNetwork, address: network.Address) -> None:
        self.network, self.address = wires, address

    def close(self) -> None:
        self.network.listeners.pop(self.address, None)


class HostNetwork:
    """The network as one process is handed it."""

    def __init__(self, wires: SimulatedNetwork, host: str) -> None:
        self.network, self.host = wires, host

    async def connect(self, address: network.Address) -> network.Stream:
        wires = self.network
        await asyncio.sleep(2 * wires.delay(self.host, address[0]))
        while wires.is_cut(self.host, address[0]):
            await asyncio.sleep(RETRANSMIT_SECONDS)
        if address not in wires.listeners:
            raise ConnectionRefusedError(str(address))
        actor, on_stream = wires.listeners[address]
        here = MemoryStream(wires, virtual_time.ACTOR.get(), self.host, address[0])
        there = MemoryStream(wires, actor, address[0], self.host)
        here.peer, there.peer = there, here
        wires.streams = [stream for stream in wires.streams if not stream.closed] + [here, there]
        loop = asyncio.get_running_loop()
        loop.call_soon(self.accept, on_stream, there, context=actor.context.copy())
        return here

    def accept(self, on_stream: network.OnStream, stream: MemoryStream) -> None:
        asyncio.get_running_loop().create_task(on_stream(stream))

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> MemoryListener:
        self.network.listeners[address] = (virtual_time.ACTOR.get(), on_stream)
        return MemoryListener(self.network, address)

    async def datagrams(self, address: network.Address, on_datagram: network.OnDatagram) -> MemoryPort:
        self.network.ports[address] = (virtual_time.ACTOR.get(), on_datagram)
        return MemoryPort(self.network, address)
