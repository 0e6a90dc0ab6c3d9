"""Simulated origins, which crash, give faulty responses and change addresses, and connections to them."""

import asyncio
import collections
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
    """One origin instance with a record of its requests.

    Attributes:
        state: State in the platform's list: "ready", "cold" or "leaving".
        warmup: Listed length of its warm-up, in seconds.
        generation: Number of crashes so far; connections that were opened before the last one are broken.
        delay: Time to execute one request, in seconds.
        faults: Names of the faults of its responses: see `apply_faults`; "stutter": see `surplus_response`.
        started: Virtual time and request id of each request that it began to execute.
        work_periods: Start and end of the execution of each request, which goes on when its client has left.
        warmup_periods: Start and length of each warm-up, in virtual seconds.
        leaving_periods: Start and end of each time in which the platform lists it as leaving.
        connections: Number of connections that were opened to it.
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
        """Whether it answers; a crash breaks its connections and, if it warms up, empties its caches."""
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
        """Return the entry of this origin in the platform's list."""
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
        """Execute a request, even if its sender no longer waits for the response.

        Returns:
            The response; None if a fault loses it.
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
            content, tag = self.records.current_object(self.service, target, now)
        else:
            content = self.records.execute(self.service, self.instance, body)
        response_headers = {
            "content-length": str(len(content)),
            "content-digest": objects.digest_header(content),
            "x-request-id": request_id,
            "content-type": "application/json",
        }
        if tag:
            response_headers["cache-tag"] = tag
        return self.apply_faults(connections.Answer(200, response_headers, content))

    def apply_faults(self, response: connections.Answer) -> connections.Answer | None:
        """Return the response with the current faults applied; None if it is lost."""
        status, headers, content = response
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


def surplus_response(response: connections.Answer, number: int) -> connections.Answer:
    """Return the second response to a request, which the next one gets: each second time unlike the first."""
    if number % 2 == 0:
        return response
    body = b"{}"
    headers = {**response.headers, "content-length": str(len(body))}
    if "content-digest" in headers:
        headers["content-digest"] = objects.digest_header(body)
    return connections.Answer(response.status, headers, body)


class OriginDirectory(typing.Protocol):
    """A directory of the origins by their addresses."""

    origins_by_address: dict[tuple[str, int], SimulatedOrigin]

    def answers_at(self, origin: SimulatedOrigin, address: tuple[str, int]) -> bool:
        """Return whether this origin is up and is the one that answers at this address."""
        ...


class SimulatedConnection:
    """A connection to an origin, which breaks when the origin crashes and is not reopened."""

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
        # Responses that have arrived and were given to no request; like aiohttp, the next request gets them.
        self.backlog: collections.deque[connections.Answer] = collections.deque()
        self.generation = origin.generation
        origin.connections += 1

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_seconds: float
    ) -> connections.Answer:
        """Send one request and return its complete response.

        Raises:
            connections.ConnectionReopenedError: The connection was closed before anything was sent.
            ConnectionResetError: The origin closed the connection without a response.
            TimeoutError: No response arrived within the timeout.
        """
        # A kept-alive connection that the origin has closed is found to be closed before anything is written.
        if not self.directory.answers_at(self.origin, self.address) or not self.is_same_generation():
            self.is_open = False
            raise connections.ConnectionReopenedError("the connection was closed before the request was sent")
        self.may_have_sent = True
        loop = asyncio.get_running_loop()
        future: asyncio.Future[connections.Answer] = loop.create_future()

        def deliver_request() -> None:
            if self.is_partitioned():
                return
            is_there = self.origin.up and self.is_same_generation()
            response = self.origin.answer(method, target, headers, body) if is_there else None
            # A slow origin answers health checks as quickly as a normal one.
            delay = HEALTH_CHECK_DELAY_SECONDS if target == "/health" else self.origin.delay
            loop.call_later(delay, self.deliver_response, future, response, context=contextvars.Context())

        delay = self.network.delay(self.host, self.address[0])
        # An empty context, since the origin runs on when the sender of the request is killed or frozen.
        loop.call_later(delay, deliver_request, context=contextvars.Context())
        try:
            async with asyncio.timeout(timeout_seconds):
                return await future
        except BaseException:
            self.is_open = False
            raise

    def deliver_response(
        self, future: asyncio.Future[connections.Answer], response: connections.Answer | None
    ) -> None:
        """Set the result of a request, unless its sender has left or is partitioned from the origin."""
        if future.done() or self.is_partitioned():
            return
        if response is None:
            future.set_exception(ConnectionResetError("the origin closed the connection without a response"))
            return
        self.backlog.append(response)
        future.set_result(self.backlog.popleft())
        if "stutter" in self.origin.faults:
            self.backlog.append(surplus_response(response, len(self.origin.started)))

    def is_partitioned(self) -> bool:
        """Return whether a partition separates this host from the origin."""
        return self.network.is_partitioned(self.host, self.address[0])

    def is_same_generation(self) -> bool:
        """Return whether the origin has not crashed since this connection was opened."""
        return self.generation == self.origin.generation

    async def close(self) -> None:
        """Mark the connection as closed."""
        self.is_open = False


def connection_opener(
    directory: OriginDirectory, network: simulated_network.SimulatedNetwork, host: str
) -> connections.ConnectionOpener:
    """Return a function that opens connections from this host to origins by their host and port."""

    async def open_connection(origin_host: str, port: int) -> connections.UpstreamConnection:
        await asyncio.sleep(network.delay(host, origin_host))
        origin = directory.origins_by_address.get((origin_host, port))
        if origin is None or not origin.up:
            raise ConnectionRefusedError(f"no origin is up at {origin_host}:{port}")
        return SimulatedConnection(directory, network, host, origin)

    return open_connection
