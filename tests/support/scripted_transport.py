"""Connections to origins whose transport is scripted: the test decides in which reads an answer arrives."""

import asyncio

import direct_edge

from irisstand.dataplane.upstream import exchange

ID = "x-request-id"


class ScriptedTransport:
    """The transport of one connection; `answer(request id)` gives the reads in which an answer arrives.

    All reads that are ready arrive in one turn of the event loop, unless the connection pauses reading. A
    read that is None ends the connection, and one that is an exception resets it.
    """

    def __init__(self, connection, answer):
        self.connection, self.answer = connection, answer
        self.reads = []
        self.is_reading, self.is_closed, self.is_reset = True, False, False
        connection.connection_made(self)

    def write(self, data):
        head = data.partition(b"\r\n\r\n")[0].decode("latin-1").lower()
        request_id = head.partition(f"\r\n{ID}: ")[2].partition("\r\n")[0]
        self.reads += self.answer(request_id)
        asyncio.get_running_loop().call_soon(self.deliver)

    def deliver(self):
        while self.reads and self.is_reading and not self.is_closed:
            read = self.reads.pop(0)
            if read is None or isinstance(read, Exception):
                self.is_closed = True
                self.connection.connection_lost(read)
            else:
                self.connection.data_received(read)

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = self.is_reset = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True
        asyncio.get_running_loop().call_soon(self.deliver)

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None


class Harness(direct_edge.DirectNodeHarness):
    """A direct node whose origins answer by `answer(request id)`."""

    def __init__(self, answer, budget=None, **fields):
        self.answer, self.budget = answer, budget
        self.transports = []
        super().__init__(**fields)

    async def connect(self, host, port):
        connection = exchange.Exchange(ID, self.budget)
        self.transports.append(ScriptedTransport(connection, self.answer))
        return connection


def head(request_id, framing, status="200 OK", extra=""):
    """Return the head of an answer; `framing` is the header that frames its body."""
    lines = (f"HTTP/1.1 {status}", f"{ID}: {request_id}", "content-digest: seal", framing, extra)
    return "".join(f"{line}\r\n" for line in lines if line).encode() + b"\r\n"


def with_length(request_id, body, **given):
    """Return an answer with its length."""
    return head(request_id, f"content-length: {len(body)}", **given) + body


def in_chunks(request_id, body, chunk_bytes=16 * 1024, **given):
    """Return an answer in chunks."""
    chunks = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head(request_id, "transfer-encoding: chunked", **given) + encoded + b"0\r\n\r\n"


def split(whole, read_bytes):
    """Return the reads in which bytes arrive."""
    return [whole[at : at + read_bytes] for at in range(0, len(whole), read_bytes)]


async def read_all(body):
    """Return the whole body of an answer, as the listener reads and closes it."""
    if isinstance(body, bytes):
        return body
    pieces = []
    try:
        while piece := await body.read():
            pieces.append(piece)
    finally:
        body.close()
    return b"".join(pieces)
