"""Routes, services and client limits as operators describe them in items of the configuration."""

import typing

from irisstand.balancing import rendezvous
from irisstand.state import versioned_items

DEFAULT_ATTEMPTS = 2
DEFAULT_CONNECTION_LIMIT = 100
DEFAULT_PROBE_PATH = "/health"
DEFAULT_COLD_RATE = 1.0
NON_IDEMPOTENT = "non_idempotent"
CACHEABLE = "cacheable"


class Route(typing.NamedTuple):
    """A route: which requests go to which services, and how they are treated.

    Attributes:
        name: The name of the route.
        prefix: The prefix of the paths that the route covers.
        kind: "cacheable", "idempotent" or "non_idempotent".
        timeout: Seconds after which a request is given up.
        target: The target response time of most requests, in seconds.
        priority: The priority of the requests; larger numbers are more important.
        attempts: The maximum number of attempts for a request.
        cache_life: The TTL of its objects in seconds; 0 if they are not cached.
        regions: The regions in which response bodies may be fetched and stored; empty for all regions.
        splits: The services that get its requests, with their weights.
    """

    name: str
    prefix: str
    kind: str
    timeout: float
    target: float
    priority: int
    attempts: int
    cache_life: float
    regions: tuple[str, ...]
    splits: tuple[tuple[str, float], ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request of this route may be sent again after an origin may have executed it."""
        return self.kind != NON_IDEMPOTENT

    @property
    def is_cacheable(self) -> bool:
        """Whether responses to GET requests of this route are cached."""
        return self.kind == CACHEABLE and self.cache_life > 0

    @classmethod
    def from_content(cls, content: dict[str, typing.Any]) -> typing.Self:
        """Read a route from the content of an item `route/...`.

        >>> item = {"name": "a", "prefix": "/a/", "kind": "cacheable", "timeout": 2, "service": "s"}
        >>> Route.from_content(item).splits
        (('s', 1.0),)
        """
        return cls(
            content["name"],
            content["prefix"],
            content["kind"],
            float(content["timeout"]),
            float(content.get("target") or content["timeout"]),
            content.get("priority") or 0,
            content.get("attempts") or DEFAULT_ATTEMPTS,
            float(content.get("cache_life") or 0),
            tuple(content.get("regions") or ()),
            tuple(versioned_items.weighted_services(content)),
        )


class Upstream(typing.NamedTuple):
    """A service that answers requests, and the limits of its origins.

    Attributes:
        name: The name of the service.
        probe: The path of the health probes of its origins.
        connections: The number of connections that each origin accepts from all nodes together.
        warmup: Seconds that a cold origin takes to warm up.
        cold_rate: The requests per second that a cold origin may get from all nodes together.
        rate: The requests per second that the service may get from all nodes together; None without a limit.
    """

    name: str
    probe: str
    connections: int
    warmup: float
    cold_rate: float
    rate: float | None

    @classmethod
    def from_content(cls, content: dict[str, typing.Any]) -> typing.Self:
        """Read a service from the content of an item `upstream/...`."""
        return cls(
            content["name"],
            content.get("probe") or DEFAULT_PROBE_PATH,
            content.get("connections") or DEFAULT_CONNECTION_LIMIT,
            float(content.get("warmup") or 0),
            float(content.get("cold_rate") or DEFAULT_COLD_RATE),
            content.get("rate"),
        )


class ClientLimits(typing.NamedTuple):
    """Limits on the requests of clients.

    Attributes:
        header_bytes: The maximum size of a request's head, in bytes.
        body_bytes: The maximum size of a request's body, in bytes.
        header: Seconds within which a request's head must arrive.
        idle: Seconds for which a client's connection may be idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header: float = 10.0
    idle: float = 30.0

    @classmethod
    def from_item(cls, value: dict[str, typing.Any] | None) -> typing.Self:
        """Read the limits from an item's value; limits that it does not name keep their defaults."""
        content = (value or {}).get("item") or {}
        return cls(**{name: content[name] for name in cls._fields if name in content})


def pick_service(route: Route, key: str) -> str:
    """Return one of the route's services by their weights; the same key always gets the same service."""
    if len(route.splits) == 1:
        return route.splits[0][0]
    return rendezvous.pick(key, [(name, weight) for name, weight in route.splits if weight > 0])
