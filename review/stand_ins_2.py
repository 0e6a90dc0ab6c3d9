"""Stand-ins of the second review: sound origins on raw sockets, clients, and the programs of the deploy file.

The programs are started as deploy/system.toml says, on loopback addresses, with settings files as the platform
writes them. The project's own stand-in for that, `tests/support/deployed_programs.py`, is used as it is.
"""

import asyncio
import contextlib
import hashlib
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / part) for part in ("src", "target/deps", "platform", "tests/support")]

import deployed_programs  # noqa: E402 - found by the path above

HOST = deployed_programs.HOST
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = open(path, "w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a request, which has a length or comes in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = bytearray()
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return bytes(body)
        body += piece[:-2]


class Origin:
    """A sound origin on a raw socket: one request at a time on a connection, every answer sealed and whole.

    `plan` returns for a request its answer's body and the pauses in it: a list of pieces and seconds. With
    `in_chunks`, the answer's length is not announced, and each piece is a chunk of HTTP/1.1.
    """

    def __init__(self, service: str, instance: str, site: str, names: object, record=lambda text: None) -> None:
        self.service, self.instance, self.site = service, instance, site
        self.state, self.cold, self.port = "ready", 0.0, 0
        self.record = record
        self.in_chunks = False
        self.on_run = lambda request_id: None
        self.tags = ""
        self.plan = lambda target, body: [b"content of " + target.encode()]
        self.runs: list[tuple[str, str]] = []
        self.finished: set[str] = set()
        self.server = None

    async def start(self, host: str = "127.0.0.1") -> None:
        self.server = await asyncio.start_server(self.serve, host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
        body = await read_body(reader, headers)
        if target == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nAnswering-Instance: {self.instance}\r\nCold-Remaining: 0\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        request_id = headers.get("attempt-id", "")
        if headers.get("target-instance", self.instance) != self.instance:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.runs.append((request_id, target))
        self.on_run(request_id)
        self.record(f"origin {self.instance} runs {request_id} {method} {target} with {len(body)} bytes")
        steps = self.plan(target, body)
        # A pause before the first piece is the time that the work takes.
        if steps and not isinstance(steps[0], bytes):
            await asyncio.sleep(steps.pop(0))
        content = b"".join(step for step in steps if isinstance(step, bytes))
        seal = hashlib.sha256(content).hexdigest()[:16]
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nAnswer-Seal: {seal}\r\nAnswering-Instance: {self.instance}\r\n".encode()
            + (f"Object-Tags: {self.tags}\r\n".encode() if self.tags else b"")
            + ("Transfer-Encoding: chunked\r\n\r\n" if self.in_chunks else f"Content-Length: {len(content)}\r\n\r\n").encode()
        )
        try:
            for step in steps:
                if isinstance(step, bytes):
                    writer.write(b"%x\r\n%b\r\n" % (len(step), step) if self.in_chunks else step)
                    await writer.drain()
                else:
                    await asyncio.sleep(step)
            if self.in_chunks:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except OSError as error:
            self.record(f"origin {self.instance} could not finish {request_id}: {error!r}")
            raise
        self.finished.add(request_id)
        self.record(f"origin {self.instance} has sent the whole answer to {request_id}")
        return True


class Answer:
    """What a client got: `status` is 0 without a head; `is_whole` tells if the whole body came."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, is_whole: bool, why: str) -> None:
        self.status, self.headers, self.body, self.is_whole, self.why = status, headers, body, is_whole, why

    def is_sealed(self) -> bool:
        return self.is_whole and self.headers.get("answer-seal") == hashlib.sha256(self.body).hexdigest()[:16]

    def __str__(self) -> str:
        whole = "whole" if self.is_whole else f"cut off ({self.why})"
        return f"status {self.status}, {len(self.body)} of {self.headers.get('content-length', '?')} bytes, {whole}"


class Client:
    """A client with one kept connection.

    Args:
        address: The edge's address.
        window_bytes: The receive buffer of the connection; None for that of the machine.
    """

    def __init__(self, address: tuple[str, int], window_bytes: int | None = None) -> None:
        self.address = address
        self.window_bytes = window_bytes
        self.reader = None
        self.writer = None

    async def open(self) -> None:
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.window_bytes is not None:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes)
        connected.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connected, self.address)
        self.reader, self.writer = await asyncio.open_connection(sock=connected)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()

    async def send(self, method, path, request_id, remaining_ms, body=None, read_pause=0.0) -> Answer:
        """Send one request on the kept connection and read its answer, `read_pause` seconds between reads."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {request_id}", f"Time-Remaining: {remaining_ms}"]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        status, headers, content = 0, {}, bytearray()
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
            await self.writer.drain()
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
            while "chunked" in headers.get("transfer-encoding", ""):
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                piece = await self.reader.readexactly(size + 2)
                if not size:
                    return Answer(status, headers, bytes(content), True, "")
                content += piece[:-2]
            length = int(headers.get("content-length", "0"))
            while len(content) < length:
                piece = await self.reader.read(65536)
                if not piece:
                    return Answer(status, headers, bytes(content), False, "connection closed")
                content += piece
                if read_pause:
                    await asyncio.sleep(read_pause)
        except (OSError, asyncio.IncompleteReadError) as error:
            return Answer(status, headers, bytes(content), False, type(error).__name__)
        return Answer(status, headers, bytes(content), True, "")


def front(network) -> tuple[str, int]:
    return ("127.0.7.4", network.ports[2])


def settings_of_later_starts(write_settings):
    """Return a function that writes settings as `write_settings` does, with first_start false from the second time."""
    started = set()

    def write(name, *arguments, **given):
        path = write_settings(name, *arguments, **given)
        if name in started:
            path.write_text(path.read_text().replace("first_start = true", "first_start = false"))
        started.add(name)
        return path

    return write


def end_processes(network) -> None:
    """Kill what still runs of the processes that a network has started."""
    for process in network.processes.values():
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()


def run_case(
    record_path: pathlib.Path, scenario, seconds: float = 100, network_class=deployed_programs.DeployedNetwork
) -> int:
    """Run a scenario with the deployed programs; return the exit code of the case.

    Args:
        record_path: The file in which the record is written.
        scenario: Takes the network and the record, and returns whether the rule held.
        seconds: After this time the case counts as one that could not run.
        network_class: The class of the network.
    """
    record = Record(record_path)
    record(f"trouble: {'yes' if has_trouble() else 'no'}")

    def make_origin(*arguments: object) -> Origin:
        return Origin(*arguments, record=record)

    async def run() -> bool:
        # A case that is told to stop ends its processes, too.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as data:
            started = network_class(data, make_origin=make_origin)
            try:
                async with asyncio.timeout(seconds), started as network:
                    await network.wait_until_serving()
                    held = await scenario(network, record)
                    record(f"exit codes of processes that have ended: {network.exit_codes()}")
                    return held
            finally:
                # `async with` doesn't end them if it fails while it starts them.
                end_processes(started)
                await asyncio.gather(*(process.wait() for process in started.processes.values()))

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    record("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
