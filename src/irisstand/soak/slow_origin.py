"""Slow HTTP/1.1 origins that record each execution of a request, and a platform that lists the origins."""

import asyncio
import hashlib
import json
import random
import typing

from irisstand.dataplane.cache import objects
from irisstand.soak import records, shape

HEAD_END = b"\r\n\r\n"
# Requests that wait at an origin for one of its slots; the origin rejects further ones with status 503.
QUEUE_LIMIT = 64
Headers = dict[str, str]


class ReceivedRequest(typing.NamedTuple):
    """The request line and header fields of a request that an origin has read."""

    method: str
    target: str
    headers: Headers


def parse_head(head: bytes) -> ReceivedRequest:
    """Parse the head of a request; the empty line that ends the head must be cut off."""
    request_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = request_line.split(" ")
    pairs = (line.partition(":") for line in lines)
    return ReceivedRequest(method, target, {name.lower(): value.strip() for name, _, value in pairs})


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return an HTTP/1.1 response with a content-length header as bytes."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode("latin-1") + body


class LoopbackServer:
    """Base class of TCP servers on 127.0.0.1.

    Attributes:
        server: Listening server; None before the start.
        port: Port that the server listens on; 0 before the start.
    """

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Start listening on a free port, which the operating system chooses."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening if the server was started."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; subclasses implement this."""
        raise NotImplementedError


class SlowOrigin(LoopbackServer):
    """One origin instance, which works on a request for some time and stops when the caller disconnects.

    Attributes:
        service: Name of the service that the instance belongs to.
        instance: Id of the instance.
        site: Site of the instance.
        plan: Parameters of the run.
        state: State that the platform reports for the instance.
        slots: Semaphore that limits the requests worked on at the same time.
        slot_count: Number of requests that the instance works on at the same time.
        accepted_requests: Number of requests that are waiting for a slot or have one.
        records: Where each execution of a request is recorded.
    """

    def __init__(self, service: str, instance: str, site: str, plan: shape.SoakShape, slots: int) -> None:
        super().__init__()
        self.service = service
        self.instance = instance
        self.site = site
        self.plan = plan
        self.state = "ready"
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.accepted_requests = 0
        self.records: records.Records = records.Records()

    def platform_entry(self) -> dict[str, typing.Any]:
        """Return the entry of this instance in the platform's list of origins."""
        return {
            "id": self.instance,
            "service": self.service,
            "host": "127.0.0.1",
            "port": self.port,
            "site": self.site,
            "state": self.state,
            "slots": self.slot_count,
        }

    def work_seconds(self, request: ReceivedRequest) -> float:
        """Return how long a request takes; the seed of the run and the request target determine it."""
        randomness = random.Random(f"{self.plan.seed} {request.target}")
        work = self.plan.work
        return work.least + (work.most - work.least) * randomness.random() ** 2

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection, one after another, until the connection closes."""
        try:
            while True:
                request = parse_head((await reader.readuntil(HEAD_END))[: -len(HEAD_END)])
                await reader.readexactly(int(request.headers.get("content-length", "0")))
                response = await self.respond(reader, request)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def respond(self, reader: asyncio.StreamReader, request: ReceivedRequest) -> bytes | None:
        """Execute a request and return its response; None if the caller disconnected in the meantime."""
        instance_header = {"x-instance": self.instance}
        if request.target == "/health":
            return encode_response(200, instance_header)
        request_id = request.headers.get("x-request-id", "")
        response_headers = {**instance_header, "x-request-id": request_id} if request_id else instance_header
        if self.accepted_requests >= self.slot_count + QUEUE_LIMIT:
            return encode_response(503, {**response_headers, "x-not-run": "1"})
        # Callers send nothing before the response, so this read ends only when they disconnect.
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.work(request, request_id))
        try:
            await asyncio.wait([closed, work], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return None
            return self.encode_result(work.result(), response_headers)
        finally:
            for task in (closed, work):
                task.cancel()
            await asyncio.gather(closed, work, return_exceptions=True)

    async def work(self, request: ReceivedRequest, request_id: str) -> int:
        """Wait for a slot, work on a request and return the status of the response."""
        loop = asyncio.get_running_loop()
        seconds_to_deadline = int(request.headers.get("x-remaining-ms", "60000")) / 1000
        deadline = loop.time() + seconds_to_deadline
        self.accepted_requests += 1
        try:
            async with self.slots:
                return await self.run(request, request_id, deadline)
        finally:
            self.accepted_requests -= 1

    async def run(self, request: ReceivedRequest, request_id: str, deadline: float) -> int:
        """Work on a request until it is done, cancelled or at its deadline; return the response status."""
        loop = asyncio.get_running_loop()
        run = records.OriginRun(request_id, self.instance, request.target, loop.time())
        self.records.add_run(run)
        work_seconds_needed = self.work_seconds(request)
        remaining_seconds = max(0.0, deadline - loop.time())
        try:
            await asyncio.sleep(min(work_seconds_needed, remaining_seconds))
        except asyncio.CancelledError:
            run.end = records.RunEnd.CANCELLED
            raise
        finally:
            run.ended_at = loop.time()
        run.end = (
            records.RunEnd.ANSWERED if work_seconds_needed <= remaining_seconds else records.RunEnd.TIMED_OUT
        )
        return 200 if work_seconds_needed <= remaining_seconds else 504

    def encode_result(self, status: int, response_headers: Headers) -> bytes:
        """Return the response to a request that was executed, with a body digest that nodes can check."""
        seed = hashlib.sha256(self.instance.encode()).hexdigest().encode()
        body = (seed * (self.plan.object_bytes // len(seed) + 1))[: self.plan.object_bytes]
        return encode_response(
            status, {**response_headers, "content-digest": objects.digest_header(body)}, body
        )


class Platform(LoopbackServer):
    """Emulates the deployment platform: lists the origins over HTTP, with one connection for each call."""

    def __init__(self, origins: list[SlowOrigin]) -> None:
        super().__init__()
        self.origins = origins

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to one call with the list of all origins."""
        try:
            await reader.readuntil(HEAD_END)
            body = json.dumps({"origins": [origin.platform_entry() for origin in self.origins]}).encode()
            writer.write(
                encode_response(200, {"content-type": "application/json", "connection": "close"}, body)
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
