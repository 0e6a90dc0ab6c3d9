"""Routes as the data plane reads them: by host and longest prefix, with what the operator allows on each."""

import typing

from irisstand import errors, node_context
from irisstand.balancing import draws
from irisstand.state import versioned_items, versions

ATTEMPTS = 2


class Route(typing.NamedTuple):
    """`timeout` and `cache_life` in seconds; `splits` are services with their weights."""

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
    def is_repeatable(self) -> bool:
        return self.kind != "non_idempotent"

    @property
    def is_cacheable(self) -> bool:
        return self.kind == "cacheable" and self.cache_life > 0


class Upstream(typing.NamedTuple):
    """A service as the operator describes it; rates are per second over the whole fleet, None is no bound."""

    name: str
    probe: str
    connections: int
    warmup: float
    cold_rate: float
    rate: float | None


class Limits(typing.NamedTuple):
    """What a client may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header: float = 10.0
    idle: float = 30.0


class Routes:
    """Compiled from the configuration once for each of its applied versions."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.applied = versions.NONE
        self.hosts: dict[str, list[Route]] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.limits = Limits()
        self.by_name: dict[str, Route] = {}
        # Services of which holders fetch objects, with the routes that these are on.
        self.held: dict[str, list[Route]] = {}

    def refresh(self) -> None:
        copy = self.context.configuration
        if copy.applied == self.applied:
            return
        self.applied = copy.applied
        self.hosts, self.upstreams = {}, {}
        for item in copy.under("route/"):
            if item.value["item"] is not None:
                route = as_route(item.value["item"])
                self.hosts.setdefault(item.value["item"]["host"].lower(), []).append(route)
        self.by_name, self.held = {}, {}
        for routes in self.hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
            for route in routes:
                self.by_name[route.name] = route
                for name, _ in route.splits if route.is_cacheable else ():
                    self.held.setdefault(name, []).append(route)
        for item in copy.under("upstream/"):
            if item.value["item"] is not None:
                upstream = as_upstream(item.value["item"])
                self.upstreams[upstream.name] = upstream
        stored = copy.value(versioned_items.LIMITS)
        fields = (stored or {}).get("item") or {}
        self.limits = Limits(**{name: fields[name] for name in Limits._fields if name in fields})

    def match(self, host: str, path: str) -> Route:
        """The route of that host whose prefix begins the path and is longest; UnknownPath if there is
        none."""
        self.refresh()
        name = host.lower()
        for candidate in (name, name.rpartition(":")[0]):
            for route in self.hosts.get(candidate, ()):
                if path.startswith(route.prefix):
                    return route
        raise errors.UnknownPath(f"no route of {host} covers the path", "ask for a path that a route covers")

    def still_allows(self, route: Route, service: str) -> bool:
        """Whether the route as it stands now lets a request go to the service."""
        self.refresh()
        now = self.by_name.get(route.name)
        return now is not None and any(name == service and weight > 0 for name, weight in now.splits)


def as_route(item: dict[str, typing.Any]) -> Route:
    """
    >>> as_route({"name": "a", "prefix": "/a/", "kind": "cacheable", "timeout": 2, "service": "s"}).splits
    (('s', 1.0),)
    """
    target = item.get("target") or item["timeout"]
    return Route(
        item["name"],
        item["prefix"],
        item["kind"],
        float(item["timeout"]),
        float(target),
        item.get("priority") or 0,
        item.get("attempts") or ATTEMPTS,
        float(item.get("cache_life") or 0),
        tuple(item.get("regions") or ()),
        tuple(versioned_items.splits(item)),
    )


def as_upstream(item: dict[str, typing.Any]) -> Upstream:
    return Upstream(
        item["name"],
        item.get("probe") or "/health",
        item.get("connections") or 100,
        float(item.get("warmup") or 0),
        float(item.get("cold_rate") or 1.0),
        item.get("rate"),
    )


def pick_service(route: Route, key: str) -> str:
    """One of the route's services, drawn by weight and by the key alone."""
    if len(route.splits) == 1:
        return route.splits[0][0]
    return draws.pick(key, [(name, weight) for name, weight in route.splits if weight > 0])
