"""Hostile origin: violates HTTP in ways drawn from a seeded generator, and records executed requests."""

import asyncio
import collections
import hashlib
import random
import typing

from irisstand.emulators import origin_requests

REQUEST_ID_HEADER = origin_requests.REQUEST_ID_HEADER
DIGEST_HEADER = "content-digest"
NOT_RUN_HEADER = "x-not-run"
PROBABILITY = 0.5  # of a correct response, and of a request id in a surplus rejection
PIPE_DELAY_SECONDS = 0.001
# Between two deliveries on a connection.
ORDER_SECONDS = 1e-6


def digest(body: bytes) -> str:
    """Return the digest that a response with this body has in its digest header."""
    return hashlib.sha256(body).hexdigest()[:16]


class RequestLog:
    """Counts in `runs` how often the execution of each request began, by request id."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()

    def run_request(self, request_id: str, target: str) -> bytes:
        """Record an execution of a request and return the body of its response."""
        self.runs[request_id] += 1
        return f"{target} answered".encode()


class HostileOrigin(asyncio.Protocol):
    """The origin's end of one connection, which handles each request in a random way.

    Attributes:
        ways: Names of the methods `way_...`, each of which handles a request in a way of its own.
    """

    def __init__(self, randomness: random.Random, request_log: RequestLog) -> None:
        self.randomness = randomness
        self.request_log = request_log
        self.buffer = origin_requests.RequestBuffer()
        self.next_send_at = 0.0
        self.transport: typing.Any = None
        self.previous_request = origin_requests.ReceivedRequest("earlier", "/earlier", "GET", {})
        self.ways = sorted(name for name in dir(self) if name.startswith("way_"))

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Handle each request that has arrived in full, in a random way."""
        for request in self.buffer.feed(data):
            # Half of all requests get a correct response, so that the client reuses connections.
            way = self.way_whole if self.randomness.random() < PROBABILITY else getattr(self, self.draw_way())
            way(request)
            self.previous_request = request

    def draw_way(self) -> str:
        """Return the name of a random method `way_...`."""
        return self.randomness.choice(self.ways)

    # -- parts of responses --------------------------------------------------------------------------
    def send(self, data: bytes, delay: float = 0.0) -> None:
        """Send data after a delay in seconds."""
        # Data must stay in order, but timers that are due at the same time run in any order.
        loop = asyncio.get_running_loop()
        self.next_send_at = max(self.next_send_at + ORDER_SECONDS, loop.time() + delay)
        loop.call_at(self.next_send_at, self.write, data)

    def write(self, data: bytes) -> None:
        """Write data to the connection unless it is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def answer(
        self,
        request: origin_requests.ReceivedRequest,
        body: bytes | None = None,
        status: str = "200 OK",
        extra_headers: str = "",
    ) -> bytes:
        """Execute a request and return its response; if a body is given, return it without an execution."""
        body = self.request_log.run_request(request.request_id, request.target) if body is None else body
        id_header = f"{REQUEST_ID_HEADER}: {request.request_id}\r\n" if request.request_id else ""
        head = (
            f"HTTP/1.1 {status}\r\n{id_header}{DIGEST_HEADER}: {digest(body)}\r\n{extra_headers}"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + (b"" if request.method == "HEAD" else body)

    def rejection(
        self,
        request: origin_requests.ReceivedRequest,
        status: str = "503 Busy",
        *,
        with_request_id: bool = True,
    ) -> bytes:
        """Return a response that says that the request was not executed."""
        id_header = (
            f"{REQUEST_ID_HEADER}: {request.request_id}\r\n" if with_request_id and request.request_id else ""
        )
        return f"HTTP/1.1 {status}\r\n{id_header}{NOT_RUN_HEADER}: 1\r\ncontent-length: 0\r\n\r\n".encode()

    # -- ways to handle a request --------------------------------------------------------------------
    def way_whole(self, request: origin_requests.ReceivedRequest) -> None:
        """Send a correct response without delay, after 10 ms or after 300 ms."""
        self.send(self.answer(request), self.randomness.choice((0.0, 0.01, 0.3)))

    def way_did_not_run(self, request: origin_requests.ReceivedRequest) -> None:
        """Reject the request without executing it, and say so."""
        self.send(self.rejection(request, self.randomness.choice(("503 Busy", "429 Many", "400 Bad"))))

    def way_another_instance(self, request: origin_requests.ReceivedRequest) -> None:
        """Reject the request with status 421, as if another origin instance now had this address."""
        self.send(self.rejection(request, "421 Misdirected"))

    def way_may_have_run(self, request: origin_requests.ReceivedRequest) -> None:
        """Execute the request, but respond with a status that rejections have."""
        status = self.randomness.choice(("503 Busy", "408 Late", "429 Many"))
        self.send(self.answer(request, status=status))

    def way_surplus_refusal_before(self, request: origin_requests.ReceivedRequest) -> None:
        """Send a surplus rejection of the previous request before the response."""
        # Responses to earlier requests can only come on a connection that has carried one.
        before = self.rejection(self.previous_request, with_request_id=self.randomness.random() < PROBABILITY)
        self.send((b"" if self.previous_request.target == "/earlier" else before) + self.answer(request))

    def way_surplus_answer_before(self, request: origin_requests.ReceivedRequest) -> None:
        """Send a surplus response to the previous request before the response."""
        self.send(self.answer(self.previous_request, body=b"of an earlier one") + self.answer(request))

    def way_surplus_after(self, request: origin_requests.ReceivedRequest) -> None:
        """Send surplus data after the response: the response again, a rejection or invalid bytes."""
        whole = self.answer(request)
        self.send(whole)
        surplus = self.randomness.choice(
            (whole, self.rejection(request, with_request_id=False), b"\x00bytes")
        )
        self.send(surplus, self.randomness.choice((0.0, 0.001, 0.05, 0.4)))

    def way_silence(self, request: origin_requests.ReceivedRequest) -> None:
        """Execute the request and send no response."""
        self.request_log.run_request(request.request_id, request.target)

    def way_cut(self, request: origin_requests.ReceivedRequest) -> None:
        """Send the beginning of the response and close the connection."""
        whole = self.answer(request)
        self.send(whole[: self.randomness.randrange(len(whole))])
        asyncio.get_running_loop().call_later(0.01, self.transport.close)

    def way_closed(self, request: origin_requests.ReceivedRequest) -> None:
        """Execute the request and close the connection without a response."""
        self.request_log.run_request(request.request_id, request.target)
        self.transport.close()

    def way_length_too_long(self, request: origin_requests.ReceivedRequest) -> None:
        """Send a response whose content length exceeds its body."""
        self.send(self.answer(request).replace(b"content-length: ", b"content-length: 9"))

    def way_interim_first(self, request: origin_requests.ReceivedRequest) -> None:
        """Send an interim response (100 Continue) before the response."""
        self.send(b"HTTP/1.1 100 Continue\r\n\r\n" + self.answer(request))

    def way_no_content_with_content(self, request: origin_requests.ReceivedRequest) -> None:
        """Send a response with status 204, which must not have a body, and a body."""
        self.send(self.answer(request, status="204 None"))

    def way_garbage(self, request: origin_requests.ReceivedRequest) -> None:
        """Execute the request and send random bytes instead of a response."""
        self.request_log.run_request(request.request_id, request.target)
        self.send(self.randomness.randbytes(40))

    def way_no_seal(self, request: origin_requests.ReceivedRequest) -> None:
        """Send a response without the digest header."""
        self.send(self.answer(request).replace(DIGEST_HEADER.encode(), b"x-other"))

    def way_in_pieces(self, request: origin_requests.ReceivedRequest) -> None:
        """Send the response byte by byte."""
        whole = self.answer(request)
        for index in range(len(whole)):
            self.send(whole[index : index + 1], 0.001 * index)


class Pipe(asyncio.Transport):
    """One end of a connection in memory between two protocols; data arrives after a short delay.

    Attributes:
        peer: The other end; set by `connect_in_memory` before the pipe is used.
        peer_protocol: The protocol at the other end, which gets the data written to this end.
    """

    peer: "Pipe"

    def __init__(self, peer_protocol: asyncio.Protocol, own_protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.peer_protocol = peer_protocol
        self.own_protocol = own_protocol
        self.closed = False
        self.last_delivery_at = 0.0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data to the protocol at the other end."""
        # Timers that are due at the same time run in any order, but data must stay in order.
        loop = asyncio.get_running_loop()
        self.last_delivery_at = max(self.last_delivery_at + ORDER_SECONDS, loop.time() + PIPE_DELAY_SECONDS)
        loop.call_at(self.last_delivery_at, self.deliver, data)

    def deliver(self, data: bytes | bytearray | memoryview) -> None:
        """Pass data to the protocol at the other end, unless that end is closed."""
        if not self.peer.closed:
            self.peer_protocol.data_received(bytes(data))

    def close(self) -> None:
        """Close this end and, after the delay, the other end."""
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_later(PIPE_DELAY_SECONDS, self.peer.close)
            asyncio.get_running_loop().call_soon(self.own_protocol.connection_lost, None)

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Return 0, since written data is never buffered."""
        return 0


def connect_in_memory(client: asyncio.Protocol, origin: asyncio.Protocol) -> None:
    """Connect the protocols of a client and an origin in memory."""
    client_end = Pipe(origin, client)
    origin_end = Pipe(client, origin)
    client_end.peer = origin_end
    origin_end.peer = client_end
    client.connection_made(client_end)
    origin.connection_made(origin_end)
