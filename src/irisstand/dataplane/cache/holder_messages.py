"""Messages by which a node reads an object from an object holder, encoded by the order of their fields."""

import typing

from irisstand.dataplane.cache import objects
from irisstand.state import versions

# The message kind of an object request, and the kinds of its response (the first field of the response).
OBJECT_REQUEST_KIND = "object"
OBJECT_RESPONSE_KIND = "object"
NOT_MODIFIED_RESPONSE_KIND = "same"
TOO_LARGE_RESPONSE_KIND = "large"


class ObjectRequest(typing.NamedTuple):
    """A request for an object, sent by an edge or by another holder to an object holder.

    Attributes:
        route_name: The name of the route that the requesting node matched.
        service: The service that the requesting node picked from that route.
        host: The host of the client's request.
        target: The path and query of the client's request, as the client sent them.
        headers: The headers of the client's request, names in lower case.
        max_wait: How long the holder may take to respond, in seconds.
        minimum_version: The oldest ledger version at which the object may have been fetched.
        cached_etag: The entity tag of the object in the requesting node's cache; empty without one.
        configuration_version: The configuration version by which the requesting node matched the route.
        is_from_holder: Whether another holder sent the request. If so, the receiver may fetch the object only
            from an origin, so that no request is forwarded twice.
    """

    route_name: str
    service: str
    host: str
    target: bytes
    headers: dict[str, str]
    max_wait: float
    minimum_version: versions.Version
    cached_etag: str
    configuration_version: versions.Version
    is_from_holder: bool

    @classmethod
    def from_wire(cls, body: typing.Any) -> typing.Self:
        """Decode the body of an object request.

        Raises:
            ValueError: The number of fields is wrong, or a field is malformed.
            TypeError: A field has a wrong type.
        """
        route, service, host, target, headers, max_wait, minimum, etag, configuration, is_from_holder = body
        return cls(
            route,
            service,
            str(host),
            bytes(target),
            dict(headers),
            float(max_wait),
            versions.Version.from_wire(minimum),
            etag,
            versions.Version.from_wire(configuration),
            bool(is_from_holder),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields in wire order, in types that the codec can encode."""
        return (
            self.route_name,
            self.service,
            self.host,
            self.target,
            tuple(self.headers.items()),
            self.max_wait,
            tuple(self.minimum_version),
            self.cached_etag,
            tuple(self.configuration_version),
            self.is_from_holder,
        )


class NotModified(typing.NamedTuple):
    """A response without a body: the object that the requesting node has cached is still the current one.

    Attributes:
        applied: The ledger version at which the holder last fetched or revalidated the object.
        age: The object's age in seconds when the holder received the request.
        ttl: The object's TTL in seconds.
    """

    applied: versions.Version
    age: float
    ttl: float

    @classmethod
    def from_object(cls, content: objects.CachedObject, received_at: float) -> typing.Self:
        """Return the freshness of an object as of `received_at`, the time when the holder got the request."""
        return cls(content.applied, content.age_now(received_at), content.ttl)

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the response."""
        return (NOT_MODIFIED_RESPONSE_KIND, (tuple(self.applied), self.age, self.ttl))


class TooLarge(typing.NamedTuple):
    """A response without the object, which is too large for a message: the requesting node fetches it."""

    @classmethod
    def is_in(cls, body: typing.Any) -> bool:
        """Return whether this is the decoded body of a response."""
        return bool(body) and body[0] == TOO_LARGE_RESPONSE_KIND

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the response."""
        return (TOO_LARGE_RESPONSE_KIND, ())


def object_response(content: objects.CachedObject, received_at: float) -> tuple[typing.Any, ...]:
    """Return the body of a response with the complete object.

    Args:
        content: The object.
        received_at: When the request arrived. The age in the response is the age at that time, and is
            negative for an object that was fetched later: the requesting node adds all the time since it sent
            the request.
    """
    return (OBJECT_RESPONSE_KIND, objects.to_wire(content, received_at))


def object_from_wire(
    body: typing.Any, sent_at: float, cached: objects.CachedObject | None
) -> objects.CachedObject:
    """Decode a holder's response to an object request.

    Args:
        body: The body of the response, as the codec decoded it.
        sent_at: When the request was sent; the age in the response is the age at that time.
        cached: The object in this node's cache, which a `NotModified` response refers to; None without one.

    Raises:
        ValueError: The number of fields is wrong, or a field is malformed.
        TypeError: A field that must be a sequence is not one.
    """
    kind, fields = body
    if kind == NOT_MODIFIED_RESPONSE_KIND and cached is not None:
        applied, age, ttl = fields
        version = versions.Version.from_wire(applied)
        return cached._replace(applied=version, age=age, as_of=sent_at, ttl=ttl)
    return objects.from_wire(fields, sent_at)
