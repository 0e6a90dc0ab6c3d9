"""Crowds of clients that do not behave: they stay inside the limits of a message, and keep it unfinished."""

import asyncio
import contextlib
import hashlib
import pathlib

import aiohttp.web
import deployed_programs

from irisstand.emulators import upstream_emulator

BYTES_PER_KB = 1024
BYTES_PER_MB = 1e6
CONNECT_SECONDS = 5
PIECE_BYTES = 64 * 1024
ENDLESS_BYTES = 1_000_000_000
# A slow reader takes this much at a time, and then waits.
SLOW_READ_BYTES = 2048
SLOW_READ_SECONDS = 0.1
FIRST_BYTES_SECONDS = 10


class LargeAnswerOrigin(upstream_emulator.UpstreamEmulator):
    """An origin whose answers to requests for large objects have a body of `answer_bytes`.

    It takes `slow_seconds` for requests for slow objects. Its answers to requests for endless objects go on
    until the connection ends or `ENDLESS_BYTES` are sent.
    """

    answer_bytes = 0
    slow_seconds = 0.0

    async def serve(self, request):
        if "endless" in request.path:
            return await self.serve_endless(request)
        if "slow" in request.path:
            await request.read()
            await asyncio.sleep(self.slow_seconds)
        if not self.answer_bytes or "large" not in request.path:
            return await super().serve(request)
        body = await request.read()
        request_id = request.headers.get(self.header_names.request_id, "")
        run = upstream_emulator.RequestRecord(
            self.instance, request_id, request.method, request.path_qs, body
        )
        self.runs.append(run)
        content = request.path.encode().ljust(self.answer_bytes, b"x")
        headers = {
            self.header_names.request_id: request_id,
            self.header_names.instance: self.instance,
            self.header_names.digest: hashlib.sha256(content).hexdigest()[:16],
        }
        return aiohttp.web.Response(body=content, headers=headers)

    async def serve_endless(self, request):
        headers = {
            self.header_names.request_id: request.headers.get(self.header_names.request_id, ""),
            self.header_names.instance: self.instance,
            self.header_names.digest: "endless",
        }
        response = aiohttp.web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            for _ in range(ENDLESS_BYTES // PIECE_BYTES):
                await response.write(b"x" * PIECE_BYTES)
        return response


class Crowd:
    """Clients that each send a message on a connection of their own, and stay connected.

    Args:
        address: Host and port that the clients connect to.
        receive_buffer: The size of each client's receive buffer in bytes; None for that of the system.
    """

    def __init__(self, address, receive_buffer=None):
        self.address = address
        self.receive_buffer = receive_buffer
        self.writers = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.transport.abort()

    async def send(self, messages):
        """Send each message, an iterable of pieces, from a client of its own, all at once."""
        await asyncio.gather(*(self.send_one(message) for message in messages))

    async def send_one(self, message):
        # A node may refuse a client or close its connection at any time.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(*self.address, limit=2)
            self.writers.append(writer)
            if self.receive_buffer is not None:
                # A reader that does not read stops at its limit, and then the system's buffer fills.
                writer.get_extra_info("socket").setsockopt(1, 8, self.receive_buffer)
            for piece in message:
                writer.write(piece)
                async with asyncio.timeout(CONNECT_SECONDS):
                    await writer.drain()


async def read_slowly(address, message, seconds):
    """Send a message, and read the response a little at a time, until a node ends it or the time is over."""
    writer = None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address, limit=SLOW_READ_BYTES)
            writer.get_extra_info("socket").setsockopt(1, 8, 2 * SLOW_READ_BYTES)
            writer.write(message)
            piece = await reader.read(SLOW_READ_BYTES)
            while piece:
                await asyncio.sleep(SLOW_READ_SECONDS)
                piece = await reader.read(SLOW_READ_BYTES)
    if writer is not None:
        writer.transport.abort()


async def drop_answers(address, messages):
    """Send each message on a connection of its own, and end that as soon as the response begins."""
    for message in messages:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(FIRST_BYTES_SECONDS):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(message)
                    await reader.read(1)
                finally:
                    writer.transport.abort()


def request_head(method, path, *headers):
    """Return the head of a request within the limits."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {deployed_programs.HOST}",
        "Time-Remaining: 60000",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def sized_body(method, path, length, sent, number):
    """Yield a request whose body has a length, of which only a part is sent."""
    yield request_head(method, path, f"Attempt-Id: c{number}", f"Content-Length: {length}")
    for start in range(0, sent, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, sent - start)


def chunked_body(method, path, chunk_bytes, chunks, number):
    """Yield a request with a chunked body whose last chunk is missing."""
    yield request_head(method, path, f"Attempt-Id: c{number}", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    per_piece = max(1, PIECE_BYTES // len(chunk))
    for start in range(0, chunks, per_piece):
        yield chunk * min(per_piece, chunks - start)


def unfinished_head(length, number):
    """Yield the head of a request without its end."""
    yield request_head("GET", "/reads/1", f"Attempt-Id: c{number}", "X-Long: " + "x" * length)[:-2]


def peak_resident_mb(pid):
    """Return the most resident memory that a process had, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB
    raise AssertionError("the system does not report the peak of the memory")


def open_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
