"""A slow origin over HTTP/1.1, and a platform that lists several; each run at an origin is recorded."""

import asyncio
import hashlib
import json
import random
import typing

from irisstand.dataplane.cache import objects
from irisstand.soak import records, shape

HEAD_END = b"\r\n\r\n"
# Requests beyond the slots that wait at an origin; more are turned away.
QUEUE_LIMIT = 64
Headers = dict[str, str]


class ReceivedRequest(typing.NamedTuple):
    """A request as an origin read it."""

    method: str
    target: str
    headers: Headers


def parse_head(head: bytes) -> ReceivedRequest:
    """Return the request of a head without its end."""
    start, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = start.split(" ")
    pairs = (line.partition(":") for line in lines)
    return ReceivedRequest(method, target, {name.lower(): value.strip() for name, _, value in pairs})


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return an answer's bytes."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode("latin-1") + body


class LoopbackServer:
    """Listens on a port of 127.0.0.1."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a port that is drawn."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class SlowOrigin(LoopbackServer):
    """One origin instance: works for a time that its seed and the path decide, and drops what is cut off."""

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
        """Return the platform's entry for it."""
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
        """Return how long a request takes; the same for each reading of one target."""
        randomness = random.Random(f"{self.plan.seed} {request.target}")
        work = self.plan.work
        return work.least + (work.most - work.least) * randomness.random() ** 2

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        try:
            while True:
                request = parse_head((await reader.readuntil(HEAD_END))[: -len(HEAD_END)])
                await reader.readexactly(int(request.headers.get("content-length", "0")))
                answer = await self.answer(reader, request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, reader: asyncio.StreamReader, request: ReceivedRequest) -> bytes | None:
        """Carry out a request; None if the connection ended meanwhile."""
        instance_header = {"x-instance": self.instance}
        if request.target == "/health":
            return encode_response(200, instance_header)
        request_id = request.headers.get("x-request-id", "")
        response_headers = {**instance_header, "x-request-id": request_id} if request_id else instance_header
        if self.accepted_requests >= self.slot_count + QUEUE_LIMIT:
            return encode_response(503, {**response_headers, "x-not-run": "1"})
        # Nothing may come before the answer: what is read here is the end of the connection.
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
        """Work on a request in one of the slots, and return the status of its answer."""
        loop = asyncio.get_running_loop()
        remaining = int(request.headers.get("x-remaining-ms", "60000")) / 1000
        deadline = loop.time() + remaining
        self.accepted_requests += 1
        try:
            async with self.slots:
                return await self.run(request, request_id, deadline)
        finally:
            self.accepted_requests -= 1

    async def run(self, request: ReceivedRequest, request_id: str, deadline: float) -> int:
        """Run a request until it is done, cut off, or at its deadline; return the status of its answer."""
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
        """Return the answer to a request that ran."""
        seed = hashlib.sha256(self.instance.encode()).hexdigest().encode()
        body = (seed * (self.plan.object_bytes // len(seed) + 1))[: self.plan.object_bytes]
        return encode_response(
            status, {**response_headers, "content-digest": objects.digest_header(body)}, body
        )


class Platform(LoopbackServer):
    """Lists origins over HTTP, a connection for each call."""

    def __init__(self, origins: list[SlowOrigin]) -> None:
        super().__init__()
        self.origins = origins

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
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
