"""Responses of emulated origins as bytes, and surplus responses that follow them late."""

import collections.abc
import enum
import random
import typing

from irisstand.dataplane.cache import objects
from irisstand.emulators import object_records, origin_requests

DIGEST_HEADER = "content-digest"
TAGS_HEADER = "cache-tag"
NOT_RUN_HEADER = "x-not-run"
# Every object has this tag.
TAG = "all"
OTHER_BODY = b"ok"
Headers = collections.abc.Mapping[str, str]
NO_HEADERS: Headers = {}


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


def draw(randomness: random.Random, share: float) -> list[Surplus]:
    """Draw the surplus responses to a request; this share of all requests gets any."""
    if randomness.random() >= share:
        return []
    count = randomness.choice((1, 1, 1, 2, 4))
    kinds = list(SurplusKind)
    delays = (None, None, None, 0.0, 0.05, 0.2)
    return [Surplus(randomness.choice(kinds), randomness.choice(delays)) for _ in range(count)]


def encode_surplus(
    response: object_records.OriginResponse, kind: SurplusKind, extra_headers: Headers = NO_HEADERS
) -> bytes:
    """Return the surplus response that follows a response."""
    match kind:
        case SurplusKind.SAME:
            return encode(response, extra_headers)
        case SurplusKind.OTHER_BODY:
            # Without the entity tag and the tags of the object.
            return encode(response._replace(status=200, body=OTHER_BODY, version=0), extra_headers)
        case SurplusKind.WITHOUT_ID:
            return encode(response._replace(request_id=""), extra_headers)
        case SurplusKind.NOT_MODIFIED:
            return encode(response._replace(status=304, body=b""), extra_headers)
        case SurplusKind.NOT_RUN:
            return encode(response._replace(status=503, body=b""), {**extra_headers, NOT_RUN_HEADER: "1"})


def encode(response: object_records.OriginResponse, extra_headers: Headers = NO_HEADERS) -> bytes:
    """Return a response as bytes; that for a version of an object has its entity tag and its tags."""
    headers = {**extra_headers, DIGEST_HEADER: objects.digest_header(response.body)}
    if response.request_id:
        headers[origin_requests.REQUEST_ID_HEADER] = response.request_id
    if response.version:
        headers |= {"etag": f'"{response.version}"', TAGS_HEADER: TAG}
    lines = [f"HTTP/1.1 {response.status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"content-length: {len(response.body)}", "", ""]).encode() + response.body
