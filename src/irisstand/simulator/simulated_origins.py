"""Origins of the simulator and connections to them: they crash, spoil answers and change addresses."""

import asyncio
import contextvars
import json
import typing

from irisstand.dataplane.cache import objects
from irisstand.dataplane.upstream import connections
from irisstand.emulators import origin_emulator
from irisstand.simulator import simulated_network

NORMAL_DELAY_SECONDS = 0.003
HEALTH_CHECK_DELAY_SECONDS = 0.002
PORT = 9000


class SimulatedOrigin:
    """One origin instance.

    Attributes:
        state: What the platform lists: ready, cold or leaving.
        warmup: Seconds of warming up that it says it needs.
        generation: Number of its crashes; a connection of an earlier one is broken.
        delay: Seconds that an answer takes.
        faults: Ways in which it spoils its answers.
        started: Time and request id of each request.
        spans: Start and end of the work itself, which goes on when nobody waits any more.
        cold: Start and length of each time of warming up.
        leaves: Start and end of each time in which it is listed as leaving.
    """

    def __init__(
        self, service: str, instance: str, site: str, records: origin_emulator.OriginRecords
    ) -> None:
        self.service = service
        self.instance = instance
        self.site = site
        self.records = records
        self.host = ""
        self.port = PORT
        self.state = "ready"
        self.warmup = 0.0
        self.is_up = True
        self.generation = 0
        self.delay = NORMAL_DELAY_SECONDS
        self.faults: set[str] = set()
        self.started: list[tuple[float, str]] = []
        self.work_periods: list[tuple[float, float]] = []
        self.warmup_periods: list[tuple[float, float]] = []
        self.leaving_periods: list[list[float]] = []
        self.connections = 0

    @property
    def up(self) -> bool:
        """Whether it answers. A crash breaks its connections; after one its caches are empty."""
        return self.is_up

    @up.setter
    def up(self, value: bool) -> None:
        now = asyncio.get_running_loop().time()
        if value and not self.is_up and self.warmup:
            self.warmup_periods.append((now, self.warmup))
        if self.is_up and not value:
            self.generation += 1
            self.work_periods = [(start, min(end, now)) for start, end in self.work_periods]
        self.is_up = value

    def listing(self) -> dict[str, typing.Any]:
        """Return the platform's entry for it."""
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
        """Carry out a request, whoever still waits for it.

        Returns:
            The answer; None: it is lost.
        """
        if target == "/health":
            content = json.dumps({"service": self.service, "instance": self.instance}).encode()
            return connections.Answer(200, {"content-length": str(len(content))}, content)
        now = asyncio.get_running_loop().time()
        request_id = headers.get("X-Request-Id", "")
        self.started.append((now, request_id))
        self.work_periods.append((now, now + self.delay))
        tag = ""
        if method == "GET":
            content, tag = self.records.sealed_object(self.service, target, now)
        else:
            content = self.records.execute(self.service, self.instance, body)
        answer_headers = {
            "content-length": str(len(content)),
            "content-digest": objects.digest_header(content),
            "x-request-id": request_id,
            "content-type": "application/json",
        }
        if tag:
            answer_headers["cache-tag"] = tag
        return self.apply_faults(connections.Answer(200, answer_headers, content))

    def apply_faults(self, answer: connections.Answer) -> connections.Answer | None:
        """Return the answer as its faults leave it."""
        status, headers, content = answer
        if "lose-answer" in self.faults:
            return None
        if "wrong-digest" in self.faults:
            headers["content-digest"] = objects.digest_header(content + b"!")
        if "no-seal" in self.faults:
            del headers["content-digest"]
        if "short" in self.faults:
            content = content[:-3]
        if "wrong-request" in self.faults:
            headers["x-request-id"] = "somebody-else"
        if "fails" in self.faults:
            status = 500
        return connections.Answer(status, headers, content)


class OriginDirectory(typing.Protocol):
    """Who answers at which address."""

    origins_by_address: dict[tuple[str, int], SimulatedOrigin]

    def answers_at(self, origin: SimulatedOrigin, address: tuple[str, int]) -> bool:
        """Return whether this origin still answers at this address."""
        ...


class SimulatedConnection:
    """One connection to an origin: it breaks with the origin and is never opened again."""

    def __init__(
        self,
        directory: OriginDirectory,
        network: simulated_network.SimulatedNetwork,
        host: str,
        origin: SimulatedOrigin,
    ) -> None:
        self.directory = directory
        self.network = network
        self.host = host
        self.origin = origin
        self.address = (origin.host, origin.port)
        self.is_open = True
        self.may_have_sent = False
        self.generation = origin.generation
        origin.connections += 1

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_seconds: float
    ) -> connections.Answer:
        """Send one request and return its complete answer.

        Raises:
            connections.ConnectionReopenedError: The connection was closed before anything was sent.
            ConnectionResetError: The answer was lost.
            TimeoutError: No answer came in time.
        """
        # A kept connection that the other end has closed is known as such before anything is written.
        if not self.directory.answers_at(self.origin, self.address) or not self.is_same_generation():
            self.is_open = False
            raise connections.ConnectionReopenedError("the connection was gone")
        self.may_have_sent = True
        loop = asyncio.get_running_loop()
        future: asyncio.Future[connections.Answer] = loop.create_future()

        def deliver_request() -> None:
            if self.is_partitioned():
                return
            is_there = self.origin.up and self.is_same_generation()
            answer = self.origin.answer(method, target, headers, body) if is_there else None
            # A slow origin answers its health checks as quickly as before.
            delay = HEALTH_CHECK_DELAY_SECONDS if target == "/health" else self.origin.delay
            loop.call_later(delay, self.deliver_answer, future, answer, context=contextvars.Context())

        delay = self.network.delay(self.host, self.address[0])
        # In a context of its own: the origin runs on, whatever becomes of the process that sent the request.
        loop.call_later(delay, deliver_request, context=contextvars.Context())
        try:
            async with asyncio.timeout(timeout_seconds):
                return await future
        except BaseException:
            self.is_open = False
            raise

    def deliver_answer(
        self, future: asyncio.Future[connections.Answer], answer: connections.Answer | None
    ) -> None:
        """Resolve the request's future, unless the answer cannot reach this host."""
        if future.done() or self.is_partitioned():
            return
        if answer is None:
            future.set_exception(ConnectionResetError("the origin closed the connection"))
        else:
            future.set_result(answer)

    def is_partitioned(self) -> bool:
        """Return whether a partition lies between this host and the origin."""
        return self.network.is_partitioned(self.host, self.address[0])

    def is_same_generation(self) -> bool:
        """Return whether the origin has not crashed since the connection was opened."""
        return self.generation == self.origin.generation

    async def close(self) -> None:
        """Close the connection."""
        self.is_open = False


def connection_opener(
    directory: OriginDirectory, network: simulated_network.SimulatedNetwork, host: str
) -> connections.ConnectionOpener:
    """Return a function that opens connections from this host to origins."""

    async def open_connection(origin_host: str, port: int) -> connections.UpstreamConnection:
        await asyncio.sleep(network.delay(host, origin_host))
        origin = directory.origins_by_address.get((origin_host, port))
        if origin is None or not origin.up:
            raise ConnectionRefusedError(f"{origin_host}:{port}")
        return SimulatedConnection(directory, network, host, origin)

    return open_connection
