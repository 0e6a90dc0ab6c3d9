"""What the scheduler chooses among: messages, disk syncs and starts, each waiting until it is delivered."""

import asyncio
import collections.abc
import dataclasses
import hashlib
import typing

from irisstand import errors
from irisstand.simulator import memory_disk
from irisstand.state.storage import disk as disks
from irisstand.transport import codec

ASK, REPLY, SYNC, START, RESTART = "ask", "reply", "sync", "start", "restart"


@dataclasses.dataclass
class Event:
    """`run` delivers it; `lose` tells its asker that no answer came, where there is an asker."""

    kind: str
    target: str
    source: str
    label: str
    run: collections.abc.Callable[[], None]
    lose: collections.abc.Callable[[], None] | None = None
    life: int = 0
    # Held back or doubled once already; it is not again, or nothing would ever end.
    is_late: bool = False


def digest(payload: bytes) -> str:
    return hashlib.blake2b(payload, digest_size=6).hexdigest()


class Exchange:
    """One ask on its way: the request, the work at the peer, the reply; each may be lost."""

    def __init__(self, world: typing.Any, asker: typing.Any, name: str, number: int, payload: bytes) -> None:
        self.world, self.asker, self.name, self.payload = world, asker, name, payload
        self.kind = codec.unpack(payload)[2][0]
        self.future = asyncio.get_running_loop().create_future()
        self.label = f"{asker.name}.{asker.life}#{number}>{name} {self.kind} {digest(payload)}"

    def request(self) -> Event:
        return Event(ASK, self.name, self.asker.name, self.label, self.serve, self.lose)

    def lose(self) -> None:
        if not self.future.done():
            self.asker.mark(f"unanswered {self.label}")
            self.future.set_exception(errors.UnansweredError(f"{self.name} gave no result in time"))

    def serve(self) -> None:
        """Delivered: the peer's handler runs as the peer; a peer that is down refuses the connection."""
        peer = self.world.nodes[self.name]
        if peer.is_up:
            peer.serving.append(self)
            peer.actor.start(self.answer(peer))
        elif not self.future.done():
            self.asker.mark(f"unreached {self.label}")
            self.future.set_exception(errors.NotSentError(f"{self.name} is down"))

    async def answer(self, peer: typing.Any) -> None:
        kind, inner = codec.unpack(self.payload)[2]
        try:
            result = ("result", await peer.transport.handlers[kind](self.asker.name, inner))
        except errors.IrisError as error:
            result = ("fault", error.as_tuple())
        except (ValueError, TypeError, IndexError, KeyError) as error:
            result = ("fault", errors.BadRequestError(repr(error)).as_tuple())
        if self in peer.serving:
            peer.serving.remove(self)
        payload = codec.pack(result)
        label = f"{self.label} -> {digest(payload)}"
        arrive = lambda: self.arrive(payload)  # noqa: E731
        self.world.post(Event(REPLY, self.asker.name, self.name, label, arrive, self.lose))

    def arrive(self, payload: bytes) -> None:
        word, content = codec.unpack(payload)
        if self.future.done():
            return
        if word == "result":
            self.future.set_result(content)
        else:
            self.future.set_exception(errors.from_tuple(tuple(content)))


class ModelTransport:
    """In the place of the real transport: the same registry of handlers, and every ask an event."""

    def __init__(self, world: typing.Any, node: typing.Any) -> None:
        self.world, self.node = world, node
        self.handlers: dict[str, typing.Any] = {}
        self.number = 0

    async def call(self, address: tuple, name: str, kind: str, body: tuple, patience: float) -> typing.Any:
        """The patience is not counted: the scheduler chooses whether and when the asker gives up."""
        self.number += 1
        payload = codec.pack(("ask", 0, (kind, body)))
        exchange = Exchange(self.world, self.node, name, self.number, payload)
        self.world.post(exchange.request())
        return await exchange.future


class ModelDisk(memory_disk.MemoryDisk):
    """A write is on the disk when its sync is delivered, and lost with a crash before that."""

    def __init__(self, world: typing.Any, name: str, files: dict[str, bytes]) -> None:
        super().__init__(world.randomness)
        self.world, self.name, self.files = world, name, dict(files)

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        synced = asyncio.get_running_loop().create_future()
        given = list(files)

        def sync() -> None:
            for name, content in given:
                self.files[name] = disks.seal(content)
            if not synced.done():
                synced.set_result(None)

        node = self.world.nodes[self.name]
        content = b"".join(name.encode() + content for name, content in given)
        label = f"{self.name}.{node.life} sync {digest(content)}"
        self.world.post(Event(SYNC, self.name, self.name, label, sync, None, node.life))
        await synced

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        for name in names:
            self.files.pop(name, None)
