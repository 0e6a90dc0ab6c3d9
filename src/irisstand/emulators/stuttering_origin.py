"""Stuttering origin: answers some requests more than once, the second time late and unlike the first."""

import asyncio
import collections.abc
import random
import typing

from irisstand.emulators import object_records, origin_requests, surplus_responses

# Objects are served below this path; below all other paths each request is executed.
OBJECT_PREFIX = "/objects/"
FAILING_PREFIX = "/objects/failing"


class Conduct(typing.NamedTuple):
    """How an origin behaves.

    Attributes:
        work_seconds: Returns how long the origin works on a request.
        surplus: Returns the surplus responses that follow the response to a request.
    """

    work_seconds: collections.abc.Callable[[origin_requests.ReceivedRequest], float]
    surplus: collections.abc.Callable[[origin_requests.ReceivedRequest], list[surplus_responses.Surplus]]


def random_conduct(randomness: random.Random, share: float) -> Conduct:
    """Return the conduct of an origin that answers this share of its requests more than once."""
    return Conduct(
        lambda _: randomness.choice((0.0, 0.01, 0.1)),
        lambda _: surplus_responses.draw(randomness, share),
    )


class StutteringOrigin(asyncio.Protocol):
    """The origin's end of one connection; it works on one request after another.

    Args:
        records: Where its responses are recorded, shared by all origins of a run.
        conduct: How it behaves.
    """

    def __init__(self, records: object_records.ObjectRecords, conduct: Conduct) -> None:
        self.records = records
        self.conduct = conduct
        self.buffer = origin_requests.RequestBuffer()
        self.transport: typing.Any = None
        self.received_ids: set[str] = set()
        # Surplus responses that are sent before the next response.
        self.postponed: list[bytes] = []

    def connection_made(self, transport: typing.Any) -> None:
        """Store the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Work on each request that has arrived in full."""
        for request in self.buffer.feed(data):
            for surplus in self.postponed:
                self.write(surplus)
            self.postponed = []
            self.note_id(request)
            # The version that is current now is the one that this request gets.
            response = self.execute(request)
            loop = asyncio.get_running_loop()
            loop.call_later(self.conduct.work_seconds(request), self.respond, request, response)

    def note_id(self, request: origin_requests.ReceivedRequest) -> None:
        """Record a request whose id had come on this connection before."""
        if request.request_id in self.received_ids:
            self.records.repeated_ids.append(f"id {request.request_id!r} came twice on one connection")
        self.received_ids.add(request.request_id)

    def execute(self, request: origin_requests.ReceivedRequest) -> object_records.OriginResponse:
        """Execute a request and record its response."""
        status, body, version = 200, f"{request.target} run for {request.request_id}".encode(), 0
        if request.target.startswith(FAILING_PREFIX):
            status = 404
        elif request.target.startswith(OBJECT_PREFIX):
            version = self.records.version(request.target)
            is_current = request.headers.get("if-none-match") == f'"{version}"'
            status = 304 if is_current else 200
            body = b"" if is_current else self.records.object_body(request.target, version)
        response = object_records.OriginResponse(request.request_id, request.target, status, body, version)
        self.records.add(response)
        return response

    def respond(
        self, request: origin_requests.ReceivedRequest, response: object_records.OriginResponse
    ) -> None:
        """Send a response, and send or prepare the surplus responses that follow it."""
        self.write(surplus_responses.encode(response))
        for surplus in self.conduct.surplus(request):
            data = surplus_responses.encode_surplus(response, surplus.kind)
            if surplus.delay_seconds is None:
                self.postponed.append(data)
            else:
                asyncio.get_running_loop().call_later(surplus.delay_seconds, self.write, data)

    def write(self, data: bytes) -> None:
        """Write data to the connection unless it is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)
