"""Objects: an origin's whole, sealed result, with what decides how long it may be used."""

import base64
import hashlib
import typing

from irisstand import errors
from irisstand.state import versions


class CachedObject(typing.NamedTuple):
    """`applied version` is the ledger applied version known when the fetch began; `age` is how old it was
    at the moment `at`.
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
        return self.age + now - self.as_of


def to_wire(thing: CachedObject, now: float) -> tuple:
    return (
        thing.status,
        thing.headers,
        thing.body,
        tuple(thing.applied),
        thing.age_now(now),
        thing.ttl,
        thing.tags,
    )


def from_wire(parts: typing.Any, asked_at: float) -> CachedObject:
    """The age is added up hop by hop, each hop counted from when its question was sent."""
    status, headers, body, applied, age, life, tags = parts
    pairs = tuple((name, value) for name, value in headers)
    return CachedObject(
        status, pairs, body, versions.Version.from_wire(applied), age, asked_at, life, tuple(tags)
    )


def digest_header(body: bytes) -> str:
    """The Content-Digest of RFC 9530.

    >>> digest_header(b"")
    'sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:'
    """
    return f"sha-256=:{base64.b64encode(hashlib.sha256(body).digest()).decode()}:"


def check_seal(headers: dict[str, str], body: bytes, request_id: str) -> None:
    """Whole, sealed and meant for this request, or UnsealedResult. Header names are lower case."""
    if headers.get("content-length") != str(len(body)):
        raise errors.UnsealedResultError("the body's length is not the one declared")
    if headers.get("content-digest") != digest_header(body):
        raise errors.UnsealedResultError("the body does not match its Content-Digest")
    if headers.get("x-request-id") != request_id:
        raise errors.UnsealedResultError("the answer names another request")


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


def from_origin(
    status: int, headers: dict[str, str], body: bytes, applied: versions.Version, asked_at: float, life: float
) -> CachedObject:
    tags = tuple(tag.strip() for tag in headers.get("cache-tag", "").split(",") if tag.strip())
    kept = tuple((name, headers[name]) for name in FORWARDED_HEADERS if name in headers)
    return CachedObject(status, kept, body, applied, 0.0, asked_at, allowed_ttl(status, headers, life), tags)


def allowed_ttl(status: int, headers: dict[str, str], life: float) -> float:
    """The configuration's life, shortened by what the origin says; 0 for what is not to be shared.

    >>> allowed_ttl(200, {"cache-control": "max-age=5"}, 30)
    5.0
    >>> allowed_ttl(200, {"cache-control": "private, max-age=5"}, 30)
    0.0
    """
    control = [part.strip().lower() for part in headers.get("cache-control", "").split(",")]
    private = any(part.split("=")[0] in ("no-store", "no-cache", "private") for part in control)
    if status not in (200, 404) or private or "set-cookie" in headers:
        return 0.0
    for part in control:
        name, _, seconds = part.partition("=")
        if name == "max-age" and seconds.isdigit():
            life = min(life, int(seconds))
    return float(life)
