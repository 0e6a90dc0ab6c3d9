"""A read of one object, and the request headers for fetching it."""

import typing

from irisstand.dataplane.cache import objects
from irisstand.dataplane.routing import routes
from irisstand.dataplane.upstream import upstream_request
from irisstand.http1 import locations

# Client headers that are not sent to an origin: the complete object must be fetched, for all clients.
CONDITIONAL_HEADERS = frozenset(
    (
        "range",
        "if-range",
        "if-none-match",
        "if-modified-since",
        "if-match",
        "if-unmodified-since",
        "accept-encoding",
    )
)


class ObjectLookup(typing.NamedTuple):
    """A read of one object.

    Attributes:
        route: The route of the request.
        service: The service that was picked from the route.
        request: The client's request.
        remaining: Seconds until the client's deadline.
        is_forwarded: Whether an object holder sent the read; then no other holder is asked, only an origin.
    """

    route: routes.Route
    service: str
    request: upstream_request.Request
    remaining: float
    is_forwarded: bool = False

    @property
    def key(self) -> str:
        """The object's key in caches, and in the rendezvous hashing that chooses its holder."""
        host = locations.normal_host(self.request.host)
        return f"{self.service} {host}{self.request.target.decode('latin-1')}"

    @property
    def purge_path(self) -> str:
        """The host and path by which the object can be purged."""
        return locations.location(self.request.host, self.request.path)


def headers_for_origin(request: upstream_request.Request, cached_etag: str | None) -> list[tuple[str, str]]:
    """Return the request headers for fetching the complete object from an origin.

    A cached object that is expired or purged may still be the origin's current version: if its entity tag is
    given, the origin can revalidate it without sending the body.
    """
    headers = [
        (name, value)
        for name, value in upstream_request.end_to_end_headers(request.headers)
        if name not in CONDITIONAL_HEADERS
    ]
    if cached_etag:
        headers.append(("if-none-match", cached_etag))
    return headers


def etag_of(content: objects.CachedObject | None) -> str | None:
    """Return the entity tag of an object; None if there is no object, or it has no tag."""
    return None if content is None else dict(content.headers).get("etag")
