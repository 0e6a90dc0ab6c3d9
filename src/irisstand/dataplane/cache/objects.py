"""Cached objects: verified complete responses of origins, with the fields that decide their freshness."""

import base64
import hashlib
import typing

from irisstand import errors
from irisstand.dataplane.cache import stored_body
from irisstand.http1 import body_source, grammar
from irisstand.state import versions

STATUS_OK = 200
CACHEABLE_STATUSES = (200, 404)
PRIVATE_DIRECTIVES = ("no-store", "no-cache", "private")
# The headers of an origin's response that are forwarded to clients.
FORWARDED_HEADERS = (
    "content-type",
    "content-digest",
    "cache-control",
    "etag",
    "last-modified",
    "location",
    "set-cookie",
    "cache-tag",
    "retry-after",
)


class CachedObject(typing.NamedTuple):
    """An origin's response, with what decides how long it may be served.

    Attributes:
        status: The HTTP status.
        headers: Pairs of header name, in lower case, and value.
        body: The complete body; that of a large object is passed on, or stored in pieces.
        applied: The applied version of the ledger when the fetch began; purges with a later version apply to
            the object.
        age: The object's age in seconds at the time `as_of`.
        as_of: The time, by this node's clock, to which `age` refers.
        ttl: The TTL in seconds; 0 for an object that must not be cached.
        tags: The tags by which the object can be purged.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | stored_body.StoredBody | body_source.BodySource
    applied: versions.Version
    age: float
    as_of: float
    ttl: float
    tags: tuple[str, ...]

    def age_now(self, now: float) -> float:
        """Return the object's age in seconds at the time `now` of this node's clock."""
        return self.age + now - self.as_of


def is_shareable(content: CachedObject) -> bool:
    """Return whether a response may answer other requests than the one that fetched it.

    A failure, and a response that is meant for one client, belong to the request that the origin ran. Other
    requests that waited for the same fetch are sent themselves.
    """
    if content.ttl > 0:
        return True
    headers = dict(content.headers)
    return content.status == STATUS_OK and not is_private(headers)


def is_private(headers: dict[str, str]) -> bool:
    """Return whether a response is meant for one client alone; header names are in lower case.

    >>> is_private({"cache-control": "max-age=5, Private"}), is_private({"cache-control": "max-age=5"})
    (True, False)
    """
    directives = headers.get("cache-control", "").lower().split(",")
    has_private_directive = any(part.strip().split("=")[0] in PRIVATE_DIRECTIVES for part in directives)
    return has_private_directive or "set-cookie" in headers


def held_body(content: CachedObject) -> bytes:
    """Return the body of an object that is held whole.

    Raises:
        TypeError: The object is large.
    """
    if not isinstance(content.body, bytes):
        raise TypeError("the body of a large object is not held whole")
    return content.body


def to_wire(content: CachedObject, now: float) -> tuple[typing.Any, ...]:
    """Return the fields of an object in wire order; they have its age at `now`, and no `as_of`."""
    return (
        content.status,
        content.headers,
        held_body(content),
        tuple(content.applied),
        content.age_now(now),
        content.ttl,
        content.tags,
    )


def from_wire(fields: typing.Any, sent_at: float) -> CachedObject:
    """Decode an object that another node sent.

    Args:
        fields: The fields of the object, as the codec decoded them.
        sent_at: When the request for the object was sent. The received age is taken as the age at that time,
            so that the time on the wire counts as age at every hop.

    Raises:
        ValueError: The number of fields is wrong, or a field is malformed.
        TypeError: A field that must be a sequence is not one.
    """
    status, headers, body, applied, age, ttl, tags = fields
    pairs = tuple((name, value) for name, value in headers)
    version = versions.Version.from_wire(applied)
    return CachedObject(status, pairs, body, version, age, sent_at, ttl, tuple(tags))


def digest_header(body: bytes) -> str:
    """Return the Content-Digest header value of a body (RFC 9530, SHA-256).

    >>> digest_header(b"")
    'sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:'
    """
    return f"sha-256=:{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


def check_integrity(headers: dict[str, str], body: bytes, request_id: str) -> None:
    """Check that an origin's response is complete and belongs to the request.

    Args:
        headers: The response's headers, names in lower case.
        body: The response's body.
        request_id: The id of the request, which the response must repeat.

    Raises:
        errors.ResponseIntegrityError: The length, the digest or the request id does not match.
    """
    if headers.get("content-length") != str(len(body)):
        raise errors.ResponseIntegrityError(
            "the length of the response body does not match its Content-Length"
        )
    if headers.get("content-digest") != digest_header(body):
        raise errors.ResponseIntegrityError("the response body does not match its Content-Digest")
    if headers.get("x-request-id") != request_id:
        raise errors.ResponseIntegrityError("the X-Request-Id of the response is not that of the request")


def from_origin(  # noqa: PLR0913, PLR0917 - the parts of a response, the time of its request, and its TTL
    status: int, headers: dict[str, str], body: bytes, applied: versions.Version, sent_at: float, ttl: float
) -> CachedObject:
    """Make a cached object from an origin's response.

    Args:
        status: The response's status.
        headers: The response's headers, names in lower case.
        body: The response's body.
        applied: The applied version of the ledger when the fetch began.
        sent_at: When the request was sent.
        ttl: The configured TTL in seconds.
    """
    tags = tuple(tag.strip() for tag in headers.get("cache-tag", "").split(",") if tag.strip())
    forwarded = tuple((name, headers[name]) for name in FORWARDED_HEADERS if name in headers)
    allowed = allowed_ttl(status, headers, ttl)
    return CachedObject(status, forwarded, body, applied, 0.0, sent_at, allowed, tags)


def allowed_ttl(status: int, headers: dict[str, str], ttl: float) -> float:
    """Return the TTL of a response: the configured one, limited by Cache-Control (RFC 9111, section 5.2).

    Args:
        status: The response's status.
        headers: The response's headers, names in lower case.
        ttl: The configured TTL in seconds.

    Returns:
        The TTL in seconds; 0 for a response that must not be cached for other clients.

    >>> allowed_ttl(200, {"cache-control": "max-age=5"}, 30)
    5.0
    >>> allowed_ttl(200, {"cache-control": "private, max-age=5"}, 30)
    0.0
    """
    if status not in CACHEABLE_STATUSES or is_private(headers):
        return 0.0
    for directive in headers.get("cache-control", "").lower().split(","):
        name, _, value = directive.strip().partition("=")
        seconds = grammar.whole_number(value)
        if name == "max-age" and seconds is not None:
            ttl = min(ttl, seconds)
    return float(ttl)
