"""Slow HTTP/1.1 origins that record each execution of a request, and a platform that lists the origins."""

import asyncio
import json
import random
import typing

from irisstand.emulators import object_records, surplus_responses
from irisstand.soak import records, shape, stuttering_connection

HEAD_END = b"\r\n\r\n"
HEALTH_TARGET = "/health"
OBJECT_PREFIX = "/objects/"
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


class Reply(typing.NamedTuple):
    """What an origin sends back, and the response in it if the request was executed."""

    data: bytes
    response: object_records.OriginResponse | None = None


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
        instance_header: Header that names the instance.
        randomness: Source of the surplus responses.
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
        self.instance_header = {"x-instance": instance}
        self.randomness = random.Random(f"{plan.seed} {instance}")

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
        connection = stuttering_connection.StutteringConnection(writer)
        try:
            while True:
                request = parse_head((await reader.readuntil(HEAD_END))[: -len(HEAD_END)])
                await reader.readexactly(int(request.headers.get("content-length", "0")))
                connection.send_postponed()
                reply = await self.respond(reader, request)
                if reply is None:
                    if connection.is_spoiled:
                        self.records.note_spoiled(request.headers.get("x-request-id", ""), self.instance)
                    return
                writer.write(reply.data)
                await writer.drain()
                if reply.response is not None:
                    self.stutter(connection, reply.response)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def stutter(
        self, connection: stuttering_connection.StutteringConnection, response: object_records.OriginResponse
    ) -> None:
        """Send or prepare the surplus responses that follow a response."""
        for surplus in surplus_responses.draw(self.randomness, self.plan.stutter_share):
            data = surplus_responses.encode_surplus(response, surplus.kind, self.instance_header)
            is_without_id = surplus.kind is surplus_responses.SurplusKind.WITHOUT_ID
            connection.add(data, surplus.delay_seconds, spoils=is_without_id or not response.request_id)
            self.records.surplus_count += 1

    async def respond(self, reader: asyncio.StreamReader, request: ReceivedRequest) -> Reply | None:
        """Execute a request and return its response; None if the caller disconnected in the meantime."""
        if request.target == HEALTH_TARGET:
            return Reply(encode_response(200, self.instance_header))
        request_id = request.headers.get("x-request-id", "")
        id_header = {"x-request-id": request_id} if request_id else {}
        if self.accepted_requests >= self.slot_count + QUEUE_LIMIT:
            return Reply(encode_response(503, {**self.instance_header, **id_header, "x-not-run": "1"}))
        # Callers send nothing before the response, so this read ends only when they disconnect.
        closed = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.work(request, request_id))
        try:
            await asyncio.wait([closed, work], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return None
            response = work.result()
            self.records.objects.add(response)
            return Reply(surplus_responses.encode(response, self.instance_header), response)
        finally:
            for task in (closed, work):
                task.cancel()
            await asyncio.gather(closed, work, return_exceptions=True)

    async def work(self, request: ReceivedRequest, request_id: str) -> object_records.OriginResponse:
        """Wait for a slot, work on a request and return the response."""
        loop = asyncio.get_running_loop()
        seconds_to_deadline = int(request.headers.get("x-remaining-ms", "60000")) / 1000
        deadline = loop.time() + seconds_to_deadline
        self.accepted_requests += 1
        try:
            async with self.slots:
                return await self.run(request, request_id, deadline)
        finally:
            self.accepted_requests -= 1

    async def run(
        self, request: ReceivedRequest, request_id: str, deadline: float
    ) -> object_records.OriginResponse:
        """Work on a request until it is done, cancelled or at its deadline; return the response."""
        loop = asyncio.get_running_loop()
        run = records.OriginRun(request_id, self.instance, request.target, loop.time())
        self.records.add_run(run)
        # An object is read when the work on the request begins.
        response = self.response_to(request, request_id)
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
        if run.end is records.RunEnd.TIMED_OUT:
            return response._replace(status=504, body=self.records.objects.pad("too late"), version=0)
        return response

    def response_to(self, request: ReceivedRequest, request_id: str) -> object_records.OriginResponse:
        """Return the response to a request that is executed now."""
        origins = self.records.objects
        if not request.target.startswith(OBJECT_PREFIX):
            body = origins.pad(f"{request.target} run for {request_id}")
            return object_records.OriginResponse(request_id, request.target, 200, body)
        version = origins.version(request.target)
        is_current = request.headers.get("if-none-match") == f'"{version}"'
        body = b"" if is_current else origins.object_body(request.target, version)
        status = 304 if is_current else 200
        return object_records.OriginResponse(request_id, request.target, status, body, version)


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
