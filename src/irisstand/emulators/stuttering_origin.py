"""Stuttering origin: answers some requests more than once, the second time late and unlike the first."""

import asyncio
import collections.abc
import enum
import random
import typing

from irisstand.emulators import object_records, origin_requests

DIGEST_HEADER = "content-digest"
TAGS_HEADER = "cache-tag"
NOT_RUN_HEADER = "x-not-run"
# Objects are served below this path; below all other paths each request is executed.
OBJECT_PREFIX = "/objects/"
FAILING_PREFIX = "/objects/failing"


class SurplusKind(enum.Enum):
    """How a surplus response differs from the response before it; all but one bear its request id."""

    SAME = "same"
    OTHER_BODY = "other-body"
    WITHOUT_ID = "without-id"
    NOT_MODIFIED = "not-modified"
    NOT_RUN = "not-run"


class Surplus(typing.NamedTuple):
    """A surplus response.

    Attributes:
        kind: How it differs from the first response.
        delay_seconds: How long after the first response it is sent; None if it is sent when the next request
            has arrived on the connection, before the response to that one.
    """

    kind: SurplusKind
    delay_seconds: float | None


class Conduct(typing.NamedTuple):
    """How an origin behaves.

    Attributes:
        work_seconds: Returns how long the origin works on a request.
        surplus: Returns the surplus responses that follow the response to a request.
    """

    work_seconds: collections.abc.Callable[[origin_requests.ReceivedRequest], float]
    surplus: collections.abc.Callable[[origin_requests.ReceivedRequest], list[Surplus]]


def random_conduct(randomness: random.Random, share: float) -> Conduct:
    """Return the conduct of an origin that answers this share of its requests more than once."""
    kinds = list(SurplusKind)
    delays = (None, None, 0.0, 0.005, 0.05, 0.2)

    def surplus(_: origin_requests.ReceivedRequest) -> list[Surplus]:
        if randomness.random() >= share:
            return []
        count = randomness.choice((1, 1, 1, 2, 4))
        return [Surplus(randomness.choice(kinds), randomness.choice(delays)) for _ in range(count)]

    return Conduct(lambda _: randomness.choice((0.0, 0.01, 0.1)), surplus)


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
            body = b"" if is_current else object_records.object_body(request.target, version)
        response = object_records.OriginResponse(request.request_id, request.target, status, body, version)
        self.records.add(response)
        return response

    def respond(
        self, request: origin_requests.ReceivedRequest, response: object_records.OriginResponse
    ) -> None:
        """Send a response, and send or prepare the surplus responses that follow it."""
        self.write(self.encode(response))
        for surplus in self.conduct.surplus(request):
            data = self.encode_surplus(response, surplus.kind)
            if surplus.delay_seconds is None:
                self.postponed.append(data)
            else:
                asyncio.get_running_loop().call_later(surplus.delay_seconds, self.write, data)

    def encode_surplus(self, response: object_records.OriginResponse, kind: SurplusKind) -> bytes:
        """Return a surplus response as bytes."""
        match kind:
            case SurplusKind.SAME:
                return self.encode(response)
            case SurplusKind.OTHER_BODY:
                return self.encode(response._replace(status=200, body=b"ok"), is_tagged=False)
            case SurplusKind.WITHOUT_ID:
                return self.encode(response._replace(request_id=""))
            case SurplusKind.NOT_MODIFIED:
                return self.encode(response._replace(status=304, body=b""))
            case SurplusKind.NOT_RUN:
                refused = response._replace(status=503, body=b"")
                return self.encode(refused, extra_headers=f"{NOT_RUN_HEADER}: 1\r\n")

    def encode(
        self, response: object_records.OriginResponse, *, is_tagged: bool = True, extra_headers: str = ""
    ) -> bytes:
        """Return a response as bytes; that for an object has its entity tag and its tags."""
        lines = [f"HTTP/1.1 {response.status} X", f"{DIGEST_HEADER}: {object_records.digest(response.body)}"]
        if response.request_id:
            lines.append(f"{origin_requests.REQUEST_ID_HEADER}: {response.request_id}")
        if is_tagged and response.version:
            lines.append(f'etag: "{response.version}"')
            lines.append(f"{TAGS_HEADER}: all")
        lines.append(f"content-length: {len(response.body)}")
        return ("\r\n".join(lines) + "\r\n" + extra_headers + "\r\n").encode() + response.body

    def write(self, data: bytes) -> None:
        """Write data to the connection unless it is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)
