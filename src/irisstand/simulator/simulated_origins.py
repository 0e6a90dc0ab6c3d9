"""Origins of the simulator, and lines to them in memory: they crash, lose answers and change hands."""

import asyncio
import contextvars
import json
import typing

from irisstand.dataplane.cache import objects
from irisstand.dataplane.upstream import connections
from irisstand.emulators import origin_emulator


class SimulatedOrigin:
    def __init__(
        self, service: str, instance: str, site: str, records: origin_emulator.OriginRecords
    ) -> None:
        self.service, self.instance, self.site, self.records = service, instance, site, records
        self.host, self.port = "", 9000
        self.state, self.warmup = "ready", 0.0
        self.is_up, self.life = True, 0
        self.delay = 0.003
        self.faults: set[str] = set()
        self.started: list[tuple[float, str]] = []
        # (start, end) of the work itself, which goes on when nobody waits any more.
        self.spans: list[tuple[float, float]] = []
        # Each stretch of warming up as (from, for how long), and of leaving as (said at, taken back at).
        self.cold: list[tuple[float, float]] = []
        self.leaves: list[list[float]] = []
        self.connections = 0

    @property
    def up(self) -> bool:
        return self.is_up

    @up.setter
    def up(self, value: bool) -> None:
        """A crash breaks its connections, and who comes back has lost its caches."""
        if value and not self.is_up and self.warmup:
            self.cold.append((asyncio.get_running_loop().time(), self.warmup))
        if self.is_up and not value:
            now = asyncio.get_running_loop().time()
            self.life += 1
            self.spans = [(start, min(end, now)) for start, end in self.spans]
        self.is_up = value

    def listing(self) -> dict[str, typing.Any]:
        return {
            "id": self.instance,
            "service": self.service,
            "host": self.host,
            "port": self.port,
            "site": self.site,
            "state": self.state,
            "warmup": self.warmup,
        }

    def answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> connections.Answer | None:
        """What the origin does, whoever is still there to hear it. None: the answer is lost."""
        if target == "/health":
            content = json.dumps({"service": self.service, "instance": self.instance}).encode()
            return connections.Answer(200, {"content-length": str(len(content))}, content)
        now = asyncio.get_running_loop().time()
        self.started.append((now, headers.get("X-Request-Id", "")))
        self.spans.append((now, now + self.delay))
        if method == "GET":
            content, tag = self.records.sealed_object(self.service, target, now)
        else:
            content, tag = self.records.execute(self.service, self.instance, body), ""
        kept = {
            "content-length": str(len(content)),
            "content-digest": objects.digest_header(content),
            "x-request-id": headers.get("X-Request-Id", ""),
            "content-type": "application/json",
        }
        if tag:
            kept["cache-tag"] = tag
        if "lose-answer" in self.faults:
            return None
        if "wrong-digest" in self.faults:
            kept["content-digest"] = objects.digest_header(content + b"!")
        if "no-seal" in self.faults:
            del kept["content-digest"]
        if "short" in self.faults:
            content = content[:-3]
        if "wrong-request" in self.faults:
            kept["x-request-id"] = "somebody-else"
        if "fails" in self.faults:
            return connections.Answer(500, kept, content)
        return connections.Answer(200, kept, content)


class SimulatedConnection:
    """One connection: it breaks with its origin and is never opened again."""

    def __init__(
        self, stage: typing.Any, host: str, address: tuple[str, int], origin: SimulatedOrigin
    ) -> None:
        self.actors, self.host, self.address, self.origin = stage, host, address, origin
        self.is_open, self.may_have_sent = True, False
        self.life = origin.life
        origin.connections += 1

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, patience: float
    ) -> connections.Answer:
        loop = asyncio.get_running_loop()
        # A kept connection that the other end has closed is known as such before anything is written.
        if not self.actors.reaches(self.origin, self.address) or self.life != self.origin.life:
            self.is_open = False
            raise connections.ConnectionReopenedError("the connection was gone")
        self.may_have_sent = True
        future = loop.create_future()

        def arrive() -> None:
            if self.actors.cluster.network.is_cut(self.host, self.address[0]):
                return
            there = self.origin.up and self.life == self.origin.life
            answer = self.origin.answer(method, target, headers, body) if there else None
            # A slow origin answers its probes as quickly as before.
            delay = 0.002 if target == "/health" else self.origin.delay
            loop.call_later(delay, back, answer, context=contextvars.Context())

        def back(answer: connections.Answer | None) -> None:
            if not future.done() and not self.actors.cluster.network.is_cut(self.host, self.address[0]):
                if answer is None:
                    future.set_exception(ConnectionResetError("the origin closed the connection"))
                else:
                    future.set_result(answer)

        delay = self.actors.cluster.network.delay(self.host, self.address[0])
        # In a context of its own: the origin runs on, whatever becomes of the process that asked.
        loop.call_later(delay, arrive, context=contextvars.Context())
        try:
            async with asyncio.timeout(patience):
                return await future
        except BaseException:
            self.is_open = False
            raise

    async def close(self) -> None:
        self.is_open = False


def connection_opener(world: typing.Any, host: str) -> connections.ConnectionOpener:
    async def open_line(origin_host: str, port: int) -> connections.UpstreamConnection:
        await asyncio.sleep(world.network.delay(host, origin_host))
        origin = world.actors.at.get((origin_host, port))
        if origin is None or not origin.up:
            raise ConnectionRefusedError(f"{origin_host}:{port}")
        return SimulatedConnection(world.actors, host, (origin_host, port), origin)

    return open_line
