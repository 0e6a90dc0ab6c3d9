"""HTTP clients of a soak run: each reuses one keep-alive connection until the edge closes it."""

import asyncio
import contextlib
import json
import random
import socket
import typing

from irisstand.emulators import object_records
from irisstand.soak import fleet, records, shape

# Host of all requests, and of all routes in the configuration of the run.
HOST = "soak.example"
# Origins send this header; responses that a node makes itself do not have it.
DIGEST_HEADER = "content-digest"
# A client draws the kind of each request from this list; three in five requests are for objects.
REQUEST_KINDS = ("objects", "objects", "objects", "reads", "writes")
# The deployment platform probes readiness every second, and after two failures sends no new connections.
UNLISTED_AFTER_SECONDS = 2.0
# Longest pause between two requests on a connection.
MAX_IDLE_SECONDS = 3.0
# The TTL of objects, and how long after it, or after the confirmation of a purge, a copy may still be served.
CACHE_LIFE_SECONDS = 5
STALE_SLACK_SECONDS = 2.0
PURGE_SECONDS = 2.0
# Probability that a write pauses between its head and its body, and the longest such pause.
SLOW_UPLOAD_SHARE = 0.15
MAX_UPLOAD_SECONDS = 4.0
# A thin client has a small socket receive buffer, and pauses after each small read of a response body.
SLOW_READER_BUFFER_BYTES = 4096
SLOW_READ_BYTES = 2048
SLOW_READ_PAUSE_SECONDS = 0.01


class Connection(typing.NamedTuple):
    """A client's open connection to an edge, with the number of the process start that it belongs to."""

    edge: str
    start_number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Answer(typing.NamedTuple):
    """An HTTP response that was read completely."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One client, which sends requests one after another.

    Attributes:
        number: Number of the client within the run.
        plan: Parameters of the run.
        fleet: Processes of the run.
        records: Where the client records its requests.
        randomness: Source of all random choices of this client.
        connection: Open connection; None if there is none.
        sent: Number of requests sent so far.
    """

    def __init__(self, number: int, plan: shape.SoakShape, processes: fleet.Fleet) -> None:
        self.number = number
        self.plan = plan
        self.fleet = processes
        self.records = processes.records
        self.randomness = random.Random(f"{plan.seed} client {number}")
        self.connection: Connection | None = None
        self.sent = 0

    async def run(self, end_at: float) -> None:
        """Send requests until a time of the event loop's clock, reconnecting as needed."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.randomness.random())
        while loop.time() < end_at:
            if self.connection is None or self.connection.reader.at_eof():
                await self.connect()
            else:
                await self.send_request(self.connection)
            await asyncio.sleep(self.idle_seconds())
        self.close()

    def idle_seconds(self) -> float:
        """Draw how long the client waits before its next request: 0, 0.05, 0.3 or up to 3 seconds.

        A busy client does not wait, so that its connection is in use until the process is gone.
        """
        if self.number < self.plan.busy_clients:
            return 0.0
        return self.randomness.choice((0.0, 0.05, 0.3, self.randomness.uniform(0, MAX_IDLE_SECONDS)))

    def close(self) -> None:
        """Close the connection if there is one."""
        if self.connection is not None:
            self.connection.writer.close()
        self.connection = None

    def receives_new_connections(self, name: str) -> bool:
        """Return whether the deployment platform would still send new connections to an edge."""
        stop = self.records.stops.get((name, self.fleet.start_counts[name]))
        now = asyncio.get_running_loop().time()
        return stop is None or now - stop.sent_at < UNLISTED_AFTER_SECONDS

    async def connect(self) -> None:
        """Connect to a random edge among those that receive new connections."""
        self.close()
        edges = [
            address
            for address in self.fleet.with_role("direct")
            if self.receives_new_connections(address.name)
        ]
        address = self.randomness.choice(edges)
        sock = socket.socket()
        sock.settimeout(0)
        if self.plan.is_thin:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1):
                await loop.sock_connect(sock, (address.host, fleet.FRONT_PORT))
                limit = SLOW_READ_BYTES if self.plan.is_thin else 2**16
                reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
        except (OSError, TimeoutError):
            sock.close()
            await asyncio.sleep(0.1)
            return
        self.connection = Connection(address.name, self.fleet.start_counts[address.name], reader, writer)

    async def send_request(self, connection: Connection) -> None:
        """Send one random request, read its response and record how the request ended."""
        self.sent += 1
        loop = asyncio.get_running_loop()
        kind = self.randomness.choice(REQUEST_KINDS)
        path = f"/{kind}/{self.randomness.randrange(self.plan.objects) if kind == 'objects' else self.sent}"
        remaining_seconds = self.randomness.choice(self.plan.deadlines)
        request_id = f"r{self.plan.seed}-{self.number}-{self.sent}"
        deadline_at = loop.time() + remaining_seconds
        request = records.ClientRequest(
            request_id, connection.edge, connection.start_number, kind, path, loop.time(), deadline_at
        )
        try:
            async with asyncio.timeout_at(deadline_at):
                await self.write_request(connection, request, remaining_seconds)
                request.sent_at = loop.time()
                answer = await self.read_response(connection.reader)
            self.record_response(request, answer)
            self.check_response(request, answer)
            if "close" in answer.headers.get("connection", "").lower():
                self.close()
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            request.end = records.RequestEnd.CLOSED
            self.close()
        request.ended_at = loop.time()
        self.records.requests.append(request)

    async def write_request(
        self, connection: Connection, request: records.ClientRequest, remaining_seconds: float
    ) -> None:
        """Write a request to the connection; some requests with a body pause before the body."""
        body = b"claim" if request.kind == "writes" else b""
        head = (
            f"{'POST' if body else 'GET'} {request.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {request.request_id}\r\nX-Remaining-Ms: {int(remaining_seconds * 1000)}\r\n"
            f"{f'Content-Length: {len(body)}' if body else 'Accept: */*'}\r\n\r\n"
        )
        connection.writer.write(head.encode())
        if body and self.randomness.random() < SLOW_UPLOAD_SHARE:
            await asyncio.sleep(self.randomness.uniform(0, min(MAX_UPLOAD_SECONDS, 0.6 * remaining_seconds)))
        connection.writer.write(body)
        await connection.writer.drain()

    async def read_response(self, reader: asyncio.StreamReader) -> Answer:
        """Read one whole response, slowly if the client is a thin client.

        Raises:
            asyncio.IncompleteReadError: The connection closed before the end of the response.
        """
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            head += line
        status_line, *lines = head.decode("latin-1").strip().split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = b""
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            if not self.plan.is_thin:
                body += await reader.readexactly(length)
                continue
            piece = await reader.read(SLOW_READ_BYTES)
            if not piece:
                raise asyncio.IncompleteReadError(body, length)
            body += piece
            await asyncio.sleep(SLOW_READ_PAUSE_SECONDS)
        return Answer(int(status_line.split(" ")[1]), headers, body)

    def check_response(self, request: records.ClientRequest, answer: Answer) -> None:
        """Compare a response of an origin with what the origins recorded."""
        if request.end is not records.RequestEnd.ANSWERED:
            return
        is_object = request.kind == "objects"
        origins = self.records.objects
        request.mixed = origins.mixed(
            request.request_id, request.path, answer.status, answer.body, is_object=is_object
        )
        if is_object and answer.status == object_records.STATUS_OK and not request.mixed:
            oldest = request.sent_at - CACHE_LIFE_SECONDS - STALE_SLACK_SECONDS
            purged_at = self.records.newest_purge(request.path, request.sent_at - PURGE_SECONDS)
            request.stale = origins.stale(request.path, answer.body, max(oldest, purged_at))

    @staticmethod
    def record_response(request: records.ClientRequest, answer: Answer) -> None:
        """Record the status of a response, whether an origin or the node made it, and any error code."""
        request.status = answer.status
        request.end = (
            records.RequestEnd.ANSWERED
            if DIGEST_HEADER in answer.headers
            else records.RequestEnd.NODE_RESPONSE
        )
        if request.end is records.RequestEnd.NODE_RESPONSE:
            with contextlib.suppress(ValueError):
                request.code = json.loads(answer.body).get("code", "")
