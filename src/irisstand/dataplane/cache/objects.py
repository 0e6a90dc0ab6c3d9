"""Objects: complete answers of origins that were checked, with what decides how long they may be used."""

import base64
import hashlib
import typing

from irisstand import errors
from irisstand.http1 import grammar
from irisstand.state import versions

CACHEABLE_STATUSES = (200, 404)
PRIVATE_DIRECTIVES = ("no-store", "no-cache", "private")
# The headers of an origin's answer that clients get.
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
    """An object and its freshness.

    Attributes:
        status: The HTTP status.
        headers: Names in lower case with their values.
        body: The complete body.
        applied: The ledger's applied version that was known when the fetch began; later purges strike the
            object.
        age: Seconds since the origin answered, at the moment `as_of`.
        as_of: A moment of this node's clock.
        ttl: Time to live in seconds; 0 for an object that may not be shared.
        tags: The tags by which it can be purged.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    applied: versions.Version
    age: float
    as_of: float
    ttl: float
    tags: tuple[str, ...]

    def age_now(self, now: float) -> float:
        """Return the age in seconds at a moment of this node's clock."""
        return self.age + now - self.as_of


def to_wire(content: CachedObject, now: float) -> tuple[typing.Any, ...]:
    """Return the fields in the order of the wire, with the age as it is now in place of its moment."""
    return (
        content.status,
        content.headers,
        content.body,
        tuple(content.applied),
        content.age_now(now),
        content.ttl,
        content.tags,
    )


def from_wire(fields: typing.Any, asked_at: float) -> CachedObject:
    """Decode an object that another node sent.

    Args:
        fields: What the codec decoded.
        asked_at: When the request for it was sent; the age counts on from then, which adds up hop by hop.

    Raises:
        ValueError: There is another number of fields, or a field is malformed.
        TypeError: A field that should be a sequence is none.
    """
    status, headers, body, applied, age, ttl, tags = fields
    pairs = tuple((name, value) for name, value in headers)
    version = versions.Version.from_wire(applied)
    return CachedObject(status, pairs, body, version, age, asked_at, ttl, tuple(tags))


def digest_header(body: bytes) -> str:
    """Return the Content-Digest of RFC 9530.

    >>> digest_header(b"")
    'sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:'
    """
    return f"sha-256=:{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


def check_integrity(headers: dict[str, str], body: bytes, request_id: str) -> None:
    """Check that an answer is complete and belongs to this request.

    Args:
        headers: The answer's headers, names in lower case.
        body: The answer's body.
        request_id: The request's id, which the answer must repeat.

    Raises:
        errors.UnsealedResultError: The length, the digest or the request id does not match.
    """
    if headers.get("content-length") != str(len(body)):
        raise errors.UnsealedResultError("the body's length is not the one declared")
    if headers.get("content-digest") != digest_header(body):
        raise errors.UnsealedResultError("the body does not match its Content-Digest")
    if headers.get("x-request-id") != request_id:
        raise errors.UnsealedResultError("the answer names another request")


def from_origin(  # noqa: PLR0913, PLR0917 - the parts of an answer, when it was asked for, and its TTL
    status: int, headers: dict[str, str], body: bytes, applied: versions.Version, asked_at: float, ttl: float
) -> CachedObject:
    """Make an object of an origin's answer.

    Args:
        status: The answer's status.
        headers: The answer's headers, names in lower case.
        body: The answer's body.
        applied: The ledger's applied version when the fetch began.
        asked_at: When the request was sent.
        ttl: The time to live by the configuration, in seconds.
    """
    tags = tuple(tag.strip() for tag in headers.get("cache-tag", "").split(",") if tag.strip())
    forwarded = tuple((name, headers[name]) for name in FORWARDED_HEADERS if name in headers)
    allowed = allowed_ttl(status, headers, ttl)
    return CachedObject(status, forwarded, body, applied, 0.0, asked_at, allowed, tags)


def allowed_ttl(status: int, headers: dict[str, str], ttl: float) -> float:
    """Return the configured time to live, reduced by what the origin says (RFC 9111, section 5.2).

    Args:
        status: The answer's status.
        headers: The answer's headers, names in lower case.
        ttl: The time to live by the configuration, in seconds.

    Returns:
        Seconds; 0 for what may not be shared.

    >>> allowed_ttl(200, {"cache-control": "max-age=5"}, 30)
    5.0
    >>> allowed_ttl(200, {"cache-control": "private, max-age=5"}, 30)
    0.0
    """
    directives = [part.strip().lower() for part in headers.get("cache-control", "").split(",")]
    is_private = any(directive.split("=")[0] in PRIVATE_DIRECTIVES for directive in directives)
    if status not in CACHEABLE_STATUSES or is_private or "set-cookie" in headers:
        return 0.0
    for directive in directives:
        name, _, value = directive.partition("=")
        seconds = grammar.whole_number(value)
        if name == "max-age" and seconds is not None:
            ttl = min(ttl, seconds)
    return float(ttl)
