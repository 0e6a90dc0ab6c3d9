"""Messages that edges and shields exchange: one named tuple each, encoded by the order of its fields.

The field order is the form on the wire and must not change (docs/architecture.md). `from_wire` takes what the
codec decoded, and raises ValueError or TypeError on anything else; the transport then rejects the message.
"""

import enum
import typing

from irisstand.dataplane.cache import objects
from irisstand.state import versions

HeaderPairs = tuple[tuple[str, str], ...]


class RequestKind(enum.StrEnum):
    """The kinds of requests between the nodes of the data plane, as they stand on the wire."""

    READ = "read"
    WRITE = "write"
    STORE_GET = "look"
    STORE_PUT = "keep"


def check_text(*fields: typing.Any) -> None:
    """Raise TypeError unless all fields are strings."""
    for field in fields:
        if not isinstance(field, str):
            raise TypeError(f"a text field of a message is {type(field).__name__}")


def header_pairs(headers: typing.Any) -> HeaderPairs:
    """Return headers from the wire as a tuple of names and values."""
    return tuple((name, value) for name, value in headers)


class ReadRequest(typing.NamedTuple):
    """A read that an edge sends to a shield.

    The object must have been fetched at `minimum_version` of the state table or later. `applied_version` is
    the version of the configuration by which the edge judged the request. An object for `is_shared` readers
    may be cached.
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
        """The path with the query."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a request; raises ValueError or TypeError if it is malformed."""
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
        """Return the fields in their order, in types that the codec takes."""
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
    """A shield's response to a read: the object, and the service that it belongs to."""

    service: str
    content: objects.CachedObject

    @classmethod
    def from_wire(cls, body: typing.Any, sent_at: float) -> typing.Self:
        """Decode the body of a result; the object's age counts on from `sent_at`, when the request left."""
        service, content = body
        return cls(service, objects.from_wire(content, sent_at))

    def to_wire(self, now: float) -> tuple[typing.Any, ...]:
        """Return the fields in their order, with the object's age at `now`."""
        return (self.service, objects.to_wire(self.content, now))


class StoreLookup(typing.NamedTuple):
    """Asks a store for the object of a key, fetched at `minimum_version` of the state table or later."""

    key: str
    path: str
    minimum_version: versions.Version

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a request; raises ValueError or TypeError if it is malformed."""
        key, path, minimum = body
        check_text(key, path)
        return cls(key, path, versions.Version.from_wire(minimum))

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in their order."""
        return (self.key, self.path, tuple(self.minimum_version))


class StorePut(typing.NamedTuple):
    """Gives a store an object to keep under a key."""

    key: str
    content: objects.CachedObject

    @classmethod
    def from_wire(cls, body: typing.Any, received_at: float) -> typing.Self:
        """Decode the body of a request; the object's age counts on from `received_at`."""
        key, content = body
        check_text(key)
        return cls(key, objects.from_wire(content, received_at))

    def to_wire(self, now: float) -> tuple[typing.Any, ...]:
        """Return the fields in their order, with the object's age at `now`."""
        return (self.key, objects.to_wire(self.content, now))


class WriteRequest(typing.NamedTuple):
    """A write that an edge sends to a shield; `applied_version` is that of `ReadRequest`."""

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
        """The path with the query."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a request; raises ValueError or TypeError if it is malformed."""
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
        """Return the fields in their order, in types that the codec takes."""
        return (*self[:-1], tuple(self.applied_version))


class WriteResult(typing.NamedTuple):
    """A shield's response to a write: what the origin answered, or what was recorded of it."""

    status: int
    headers: HeaderPairs
    body: bytes

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of a result; raises ValueError or TypeError if it is malformed."""
        status, headers, content = body
        return cls(status, header_pairs(headers), content)

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in their order."""
        return tuple(self)
