"""An origin that obeys no rule but its record: driven by a seed, on any transport, real or in memory."""

import asyncio
import collections
import hashlib
import random
import typing

ID, SEAL, NOT_RUN = "x-request-id", "content-digest", "x-not-run"
# A request's head ends here.
END = b"\r\n\r\n"


def seal(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


class RequestLog:
    """What began to run, by request id, and which request an answer's body is for."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()

    def body(self, request_id: str, target: str) -> bytes:
        self.runs[request_id] += 1
        return f"{target} answered".encode()


class ReceivedRequest(typing.NamedTuple):
    request_id: str
    target: str
    method: str


class HostileOrigin(asyncio.Protocol):
    """One connection. `ways` are the methods `way_...`, one drawn for each request."""

    def __init__(self, randomness: random.Random, record: RequestLog) -> None:
        self.randomness, self.record = randomness, record
        self.received = b""
        self.free_at = 0.0
        self.transport: typing.Any = None
        self.earlier = ReceivedRequest("earlier", "/earlier", "GET")
        self.ways = sorted(name for name in dir(self) if name.startswith("way_"))

    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        while END in self.received:
            head, _, rest = self.received.partition(END)
            first, *lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self.received = rest[size:]
            method, target, _ = first.split(" ")
            asked = ReceivedRequest(headers.get(ID, ""), target, method)
            # Half of all requests are answered as they should be, so that connections are used again.
            way = self.way_whole if self.randomness.random() < 0.5 else getattr(self, self.draw())
            way(asked)
            self.earlier = asked

    def draw(self) -> str:
        return self.randomness.choice(self.ways)

    # -- pieces --------------------------------------------------------------------------------------
    def send(self, data: bytes, delay: float = 0.0) -> None:
        # In the order in which it was sent, as on any connection; timers of one moment keep none.
        loop = asyncio.get_running_loop()
        self.free_at = max(self.free_at + 1e-6, loop.time() + delay)
        loop.call_at(self.free_at, self.write, data)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def whole(
        self, asked: ReceivedRequest, body: bytes | None = None, status: str = "200 OK", more: str = ""
    ) -> bytes:
        body = self.record.body(asked.request_id, asked.target) if body is None else body
        named = f"{ID}: {asked.request_id}\r\n" if asked.request_id else ""
        head = (
            f"HTTP/1.1 {status}\r\n{named}{SEAL}: {seal(body)}\r\n{more}content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + (b"" if asked.method == "HEAD" else body)

    def refusal(self, asked: ReceivedRequest, status: str = "503 Busy", named: bool = True) -> bytes:
        told = f"{ID}: {asked.request_id}\r\n" if named and asked.request_id else ""
        return f"HTTP/1.1 {status}\r\n{told}{NOT_RUN}: 1\r\ncontent-length: 0\r\n\r\n".encode()

    # -- ways ----------------------------------------------------------------------------------------
    def way_whole(self, asked: ReceivedRequest) -> None:
        self.send(self.whole(asked), self.randomness.choice((0.0, 0.01, 0.3)))

    def way_did_not_run(self, asked: ReceivedRequest) -> None:
        self.send(self.refusal(asked, self.randomness.choice(("503 Busy", "429 Many", "400 Bad"))))

    def way_another_instance(self, asked: ReceivedRequest) -> None:
        self.send(self.refusal(asked, "421 Misdirected"))

    def way_may_have_run(self, asked: ReceivedRequest) -> None:
        status = self.randomness.choice(("503 Busy", "408 Late", "429 Many"))
        self.send(self.whole(asked, status=status))

    def way_surplus_refusal_before(self, asked: ReceivedRequest) -> None:
        # Only a connection that was used may bring what belongs to an earlier request.
        before = self.refusal(self.earlier, named=self.randomness.random() < 0.5)
        self.send((b"" if self.earlier.target == "/earlier" else before) + self.whole(asked))

    def way_surplus_answer_before(self, asked: ReceivedRequest) -> None:
        self.send(self.whole(self.earlier, body=b"of an earlier one") + self.whole(asked))

    def way_surplus_after(self, asked: ReceivedRequest) -> None:
        whole = self.whole(asked)
        self.send(whole)
        surplus = self.randomness.choice((whole, self.refusal(asked, named=False), b"\x00bytes"))
        self.send(surplus, self.randomness.choice((0.0, 0.001, 0.05, 0.4)))

    def way_silence(self, asked: ReceivedRequest) -> None:
        self.record.body(asked.request_id, asked.target)

    def way_cut(self, asked: ReceivedRequest) -> None:
        whole = self.whole(asked)
        self.send(whole[: self.randomness.randrange(len(whole))])
        asyncio.get_running_loop().call_later(0.01, self.transport.close)

    def way_closed(self, asked: ReceivedRequest) -> None:
        self.record.body(asked.request_id, asked.target)
        self.transport.close()

    def way_length_too_long(self, asked: ReceivedRequest) -> None:
        self.send(self.whole(asked).replace(b"content-length: ", b"content-length: 9"))

    def way_interim_first(self, asked: ReceivedRequest) -> None:
        self.send(b"HTTP/1.1 100 Continue\r\n\r\n" + self.whole(asked))

    def way_no_content_with_content(self, asked: ReceivedRequest) -> None:
        self.send(self.whole(asked, status="204 None"))

    def way_garbage(self, asked: ReceivedRequest) -> None:
        self.record.body(asked.request_id, asked.target)
        self.send(self.randomness.randbytes(40))

    def way_no_seal(self, asked: ReceivedRequest) -> None:
        self.send(self.whole(asked).replace(SEAL.encode(), b"x-other"))

    def way_in_pieces(self, asked: ReceivedRequest) -> None:
        whole = self.whole(asked)
        for index in range(len(whole)):
            self.send(whole[index : index + 1], 0.001 * index)


class Pipe:
    """One end of a connection in memory, for both protocols; what is written arrives a little later."""

    def __init__(self, other: asyncio.Protocol, own: asyncio.Protocol) -> None:
        self.other, self.own, self.peer = other, own, None
        self.closed = False

    def write(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(0.001, self.arrive, data)

    def arrive(self, data: bytes) -> None:
        if not self.peer.closed:
            self.other.data_received(data)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_later(0.001, self.peer.close)
            asyncio.get_running_loop().call_soon(self.own.connection_lost, None)

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0


def join(client: asyncio.Protocol, origin: asyncio.Protocol) -> None:
    """Connect two protocols in memory."""
    here, there = Pipe(origin, client), Pipe(client, origin)
    here.peer, there.peer = there, here
    client.connection_made(here)
    origin.connection_made(there)
