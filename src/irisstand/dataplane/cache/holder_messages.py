"""Messages between an edge and the holder of an object, encoded by the order of their fields."""

import typing

from irisstand.dataplane.cache import objects
from irisstand.state import versions

# The kind of the request, and the first field of its response.
OBJECT_REQUEST_KIND = "object"
OBJECT_RESPONSE_KIND = "object"
NOT_MODIFIED_RESPONSE_KIND = "same"


class ObjectRequest(typing.NamedTuple):
    """Asks a holder for an object.

    Attributes:
        route_name: The route by which the asking node judged the request.
        service: The service that the route chose.
        host: The request's host.
        target: The request's path and query as they came.
        headers: The request's headers, names in lower case.
        max_wait: How long the holder may work, in seconds.
        minimum_version: The object must have been fetched at this version of the ledger or later.
        cached_etag: The entity tag of the object that the asking node still has; empty without one.
        configuration_version: The configuration by which the asking node judged the request.
        is_from_holder: Whether another holder asks; then only an origin is asked further.
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
        """Decode the body of a request.

        Raises:
            ValueError: There is another number of fields, or a field is malformed.
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
        """Return the fields in their order, in types that the codec takes."""
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
    """A response without the body: the asking node has the object, and this is its freshness."""

    applied: versions.Version
    age: float
    ttl: float

    @classmethod
    def from_object(cls, content: objects.CachedObject, received_at: float) -> typing.Self:
        """Return the freshness of an object at the moment at which its request came."""
        return cls(content.applied, content.age_now(received_at), content.ttl)

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the response."""
        return (NOT_MODIFIED_RESPONSE_KIND, (tuple(self.applied), self.age, self.ttl))


def object_response(content: objects.CachedObject, received_at: float) -> tuple[typing.Any, ...]:
    """Return a response with the complete object.

    Args:
        content: The object.
        received_at: When its request came. The age is given for that moment, and is below zero for an object
            that was fetched later: whoever asked adds all the time since its request.
    """
    return (OBJECT_RESPONSE_KIND, objects.to_wire(content, received_at))


def object_from_wire(
    body: typing.Any, sent_at: float, cached: objects.CachedObject | None
) -> objects.CachedObject:
    """Decode a response.

    Args:
        body: What the codec decoded.
        sent_at: When the request was sent; the object's age counts on from then.
        cached: The object that this node still has, which a response may confirm.

    Raises:
        ValueError: There is another number of fields, or a field is malformed.
        TypeError: A field that should be a sequence is none.
    """
    kind, fields = body
    if kind == NOT_MODIFIED_RESPONSE_KIND and cached is not None:
        applied, age, ttl = fields
        version = versions.Version.from_wire(applied)
        return cached._replace(applied=version, age=age, as_of=sent_at, ttl=ttl)
    return objects.from_wire(fields, sent_at)
