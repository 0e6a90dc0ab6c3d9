"""Routes and services as operators describe them in the items `route/...` and `upstream/...`."""

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
    """A route of the operator.

    Attributes:
        name: The route's name.
        prefix: Of the paths that it covers.
        kind: "cacheable", "idempotent" or "non_idempotent".
        timeout: Seconds until the request is given up.
        target: Seconds in which most requests should be answered.
        priority: The larger, the more important.
        attempts: The most attempts for a request.
        cache_life: Time to live of its objects, in seconds; 0 for objects that are not cached.
        regions: The regions in which its bodies may be fetched and kept; empty for all.
        splits: Services with their weights.
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
        """Whether a request may be sent again after it may have been carried out."""
        return self.kind != NON_IDEMPOTENT

    @property
    def is_cacheable(self) -> bool:
        """Whether answers to GET requests are kept."""
        return self.kind == CACHEABLE and self.cache_life > 0

    @classmethod
    def from_content(cls, content: dict[str, typing.Any]) -> typing.Self:
        """Read the content of an item.

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
    """A service of the operator.

    Attributes:
        name: The service's name.
        probe: The path of health probes.
        connections: The connections that each origin accepts.
        warmup: Seconds that an origin takes to warm up.
        cold_rate: Requests per second of all nodes to a cold origin.
        rate: Requests per second of all nodes to the service; None without a limit.
    """

    name: str
    probe: str
    connections: int
    warmup: float
    cold_rate: float
    rate: float | None

    @classmethod
    def from_content(cls, content: dict[str, typing.Any]) -> typing.Self:
        """Read the content of an item."""
        return cls(
            content["name"],
            content.get("probe") or DEFAULT_PROBE_PATH,
            content.get("connections") or DEFAULT_CONNECTION_LIMIT,
            float(content.get("warmup") or 0),
            float(content.get("cold_rate") or DEFAULT_COLD_RATE),
            content.get("rate"),
        )


class ClientLimits(typing.NamedTuple):
    """What a client may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header: float = 10.0
    idle: float = 30.0

    @classmethod
    def from_item(cls, value: dict[str, typing.Any] | None) -> typing.Self:
        """Read an item's value; what it does not name keeps its default."""
        content = (value or {}).get("item") or {}
        return cls(**{name: content[name] for name in cls._fields if name in content})


def pick_service(route: Route, key: str) -> str:
    """Return one of the route's services, chosen by weight and by the key alone."""
    if len(route.splits) == 1:
        return route.splits[0][0]
    return rendezvous.pick(key, [(name, weight) for name, weight in route.splits if weight > 0])
