"""Messages between edges, shields and stores: one named tuple each, encoded in the order of its fields.

The field order is part of the wire format and must not change (docs/architecture.md). `from_wire` takes the
decoded body of a message and raises ValueError or TypeError if it is malformed; the transport then rejects
the message.
"""

import enum
import typing

from irisstand.dataplane.cache import objects
from irisstand.state import versions

HeaderPairs = tuple[tuple[str, str], ...]


class RequestKind(enum.StrEnum):
    """The kinds of requests between data plane nodes; the values are part of the wire format."""

    READ = "read"
    WRITE = "write"
    STORE_GET = "look"
    STORE_PUT = "keep"


def check_text(*fields: typing.Any) -> None:
    """Raise TypeError unless all of these fields of a message are strings."""
    for field in fields:
        if not isinstance(field, str):
            raise TypeError(f"a text field of a message has the type {type(field).__name__}")


def header_pairs(headers: typing.Any) -> HeaderPairs:
    """Return decoded headers as a tuple of (name, value) pairs."""
    return tuple((name, value) for name, value in headers)


class ReadRequest(typing.NamedTuple):
    """A read that an edge sends to a shield.

    Attributes:
        request_id: The id of the client's attempt.
        method: The HTTP method.
        path: The path without the query.
        query: The query without its question mark; may be empty.
        headers: The request's headers by name.
        minimum_version: The version of the ledger before which the object must not have been fetched.
        remaining_seconds: Seconds for which the edge still waits.
        is_shared: Whether the object may be cached and served to other clients, too.
        applied_version: The version of the configuration by which the edge allowed the request.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    minimum_version: versions.Version
    remaining_seconds: float
    is_shared: bool
    applied_version: versions.Version

    @property
    def target(self) -> str:
        """The request target: the path, with the query if there is one."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a request; raise ValueError or TypeError if it is malformed."""
        request_id, method, path, query, headers, minimum, remaining, is_shared, applied = body
        check_text(method, path, query)
        return cls(
            str(request_id),
            method,
            path,
            query,
            dict(headers),
            versions.Version.from_wire(minimum),
            float(remaining),
            bool(is_shared),
            versions.Version.from_wire(applied),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in wire order, converted to types that the codec encodes."""
        return (
            self.request_id,
            self.method,
            self.path,
            self.query,
            tuple(self.headers.items()),
            tuple(self.minimum_version),
            self.remaining_seconds,
            self.is_shared,
            tuple(self.applied_version),
        )


class ReadResult(typing.NamedTuple):
    """A shield's reply to a read: the object, and the name of the service that it belongs to."""

    service: str
    content: objects.CachedObject

    @classmethod
    def from_wire(cls, body: typing.Any, sent_at: float) -> typing.Self:
        """Decode the body of a reply; the object's age counts on from `sent_at`, the time of the request."""
        service, content = body
        return cls(service, objects.from_wire(content, sent_at))

    def to_wire(self, now: float) -> tuple[typing.Any, ...]:
        """Return the fields in wire order, with the object's age at the time `now`."""
        return (self.service, objects.to_wire(self.content, now))


class StoreLookup(typing.NamedTuple):
    """A request to a store for an object by key, fetched at `minimum_version` of the ledger or later."""

    key: str
    path: str
    minimum_version: versions.Version

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a request; raise ValueError or TypeError if it is malformed."""
        key, path, minimum = body
        check_text(key, path)
        return cls(key, path, versions.Version.from_wire(minimum))

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in wire order."""
        return (self.key, self.path, tuple(self.minimum_version))


class StorePut(typing.NamedTuple):
    """A request to a store to keep an object under a key."""

    key: str
    content: objects.CachedObject

    @classmethod
    def from_wire(cls, body: typing.Any, received_at: float) -> typing.Self:
        """Decode the body of a request; the object's age counts on from the time `received_at`."""
        key, content = body
        check_text(key)
        return cls(key, objects.from_wire(content, received_at))

    def to_wire(self, now: float) -> tuple[typing.Any, ...]:
        """Return the fields in wire order, with the object's age at the time `now`."""
        return (self.key, objects.to_wire(self.content, now))


class WriteRequest(typing.NamedTuple):
    """A write that an edge sends to a shield; its fields mean the same as those of `ReadRequest`."""

    request_id: str
    method: str
    path: str
    query: str
    headers: HeaderPairs
    content: bytes
    remaining_seconds: float
    applied_version: versions.Version

    @property
    def target(self) -> str:
        """The request target: the path, with the query if there is one."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a request; raise ValueError or TypeError if it is malformed."""
        request_id, method, path, query, headers, content, remaining, applied = body
        check_text(method, path, query)
        return cls(
            request_id,
            method,
            path,
            query,
            header_pairs(headers),
            content,
            float(remaining),
            versions.Version.from_wire(applied),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in wire order, converted to types that the codec encodes."""
        return (*self[:-1], tuple(self.applied_version))


class WriteResult(typing.NamedTuple):
    """A shield's reply to a write: the origin's response, or the one recorded for its idempotency key."""

    status: int
    headers: HeaderPairs
    body: bytes

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a reply; raise ValueError or TypeError if it is malformed."""
        status, headers, content = body
        return cls(status, header_pairs(headers), content)

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in wire order."""
        return tuple(self)
