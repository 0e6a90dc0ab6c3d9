"""Routes as the data plane reads them: by host and longest prefix, with what the operator allows on each."""

import typing

from irisstand import errors, node_context
from irisstand.balancing import rendezvous
from irisstand.dataplane.routing import prefix_map
from irisstand.state import items, replica, versioned_items, versions

DEFAULT_ATTEMPT_LIMIT = 2
ROUTE_PREFIX, UPSTREAM_PREFIX = "route/", "upstream/"


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


class ClientLimits(typing.NamedTuple):
    """What a client may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    header: float = 10.0
    idle: float = 30.0


class CompiledItem(typing.NamedTuple):
    """A row as it was last read; `route` is None for a service, and where the row says it is dropped."""

    item: items.Item
    host: str
    route: Route | None


class RouteTable:
    """Compiled from the configuration row by row: a change costs what it changed and no more."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.applied = versions.NONE
        self.hosts: dict[str, prefix_map.PrefixMap[Route]] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.limits = ClientLimits()
        self.by_name: dict[str, Route] = {}
        # Services of which holders fetch objects, with one route for each set of regions that these have.
        self.services_at_holders: dict[str, list[Route]] = {}
        self.held_names: dict[str, dict[tuple[str, ...], dict[str, Route]]] = {}
        # All rows of routes and services by key, the dropped ones too, and the container they were read from.
        self.compiled: dict[str, CompiledItem] = {}
        self.read_from: object = None

    # -- following the configuration -----------------------------------------------------------------
    def refresh(self) -> None:
        """Take in what changed in the configuration since the last time."""
        copy = self.context.configuration
        if copy.applied == self.applied and copy.items is self.read_from:
            return
        # A copy that was mended may have other rows at versions that were read already.
        if copy.items is self.read_from and copy.applied > self.applied:
            self.take_changes(copy)
        else:
            self.compare_all(copy)
        self.applied, self.read_from = copy.applied, copy.items
        self.limits = as_limits(copy.value(versioned_items.LIMITS_KEY))

    def take_changes(self, copy: replica.Replica) -> None:
        changed, forgotten = copy.changes_since(self.applied)
        for item in changed:
            self.take(item.key, item)
        for key in forgotten:
            self.take(key, None)
        # More may have been forgotten than the copy remembers by name.
        if len(self.compiled) != copy.counts_by_prefix["route"] + copy.counts_by_prefix["upstream"]:
            self.compare_all(copy)

    def compare_all(self, copy: replica.Replica) -> None:
        """Look at every row, and compile those that are others than before."""
        for key in [key for key in self.compiled if key not in copy.items]:
            self.take(key, None)
        for prefix in (ROUTE_PREFIX, UPSTREAM_PREFIX):
            for key in copy.items.irange(prefix, prefix + replica.KEY_UPPER_BOUND):
                item, known = copy.items[key], self.compiled.get(key)
                if known is None or known.item != item:
                    self.take(key, item)

    def take(self, key: str, item: items.Item | None) -> None:
        """Take in one row as it stands now; None is a row that is gone."""
        if key.startswith(ROUTE_PREFIX):
            self.take_route(key, item)
        elif key.startswith(UPSTREAM_PREFIX):
            self.take_upstream(key, item)

    def take_route(self, key: str, item: items.Item | None) -> None:
        known = self.compiled.pop(key, None)
        if known is not None and known.route is not None:
            self.remove(known.host, known.route)
        content = content_of(item)
        host, route = ("", None) if content is None else (content["host"].lower(), as_route(content))
        if route is not None:
            self.add(host, route)
        if item is not None:
            self.compiled[key] = CompiledItem(item, host, route)

    def take_upstream(self, key: str, item: items.Item | None) -> None:
        self.compiled.pop(key, None)
        self.upstreams.pop(key.removeprefix(UPSTREAM_PREFIX), None)
        content = content_of(item)
        if content is not None:
            self.upstreams[key.removeprefix(UPSTREAM_PREFIX)] = as_upstream(content)
        if item is not None:
            self.compiled[key] = CompiledItem(item, "", None)

    def add(self, host: str, route: Route) -> None:
        if host not in self.hosts:
            self.hosts[host] = prefix_map.PrefixMap()
        self.hosts[host].add(route.prefix, route.name, route)
        self.by_name[route.name] = route
        for service in services_at_holders(route):
            named = self.held_names.setdefault(service, {}).setdefault(route.regions, {})
            named[route.name] = route
            if len(named) == 1:
                self.list_held(service)

    def remove(self, host: str, route: Route) -> None:
        self.hosts[host].remove(route.prefix, route.name)
        if self.hosts[host].is_empty():
            del self.hosts[host]
        del self.by_name[route.name]
        for service in services_at_holders(route):
            named = self.held_names[service][route.regions]
            del named[route.name]
            if not named:
                del self.held_names[service][route.regions]
                self.list_held(service)

    def list_held(self, service: str) -> None:
        """One route for each set of regions: whether holders may have its objects hangs on these alone."""
        by_regions = self.held_names[service]
        if by_regions:
            self.services_at_holders[service] = [next(iter(named.values())) for named in by_regions.values()]
        else:
            del self.services_at_holders[service], self.held_names[service]

    # -- asking --------------------------------------------------------------------------------------
    def match(self, host: str, path: str) -> Route:
        """The route of that host whose prefix begins the path and is longest; UnknownPath if there is
        none."""
        self.refresh()
        name = host.lower()
        for candidate in (name, name.rpartition(":")[0]):
            routes = self.hosts.get(candidate)
            route = None if routes is None else routes.longest_match(path)
            if route is not None:
                return route
        raise errors.UnknownPathError(
            f"no route of {host} covers the path", "ask for a path that a route covers"
        )

    def still_allows(self, route: Route, service: str) -> bool:
        """Whether the route as it stands now lets a request go to the service."""
        self.refresh()
        now = self.by_name.get(route.name)
        return now is not None and any(name == service and weight > 0 for name, weight in now.splits)


def content_of(item: items.Item | None) -> dict[str, typing.Any] | None:
    """What the operator sent, or None where the row is gone, removed or says that it is dropped."""
    return None if item is None or item.value is None else item.value["item"]


def services_at_holders(route: Route) -> set[str]:
    return {name for name, _ in route.splits} if route.is_cacheable else set()


def as_limits(stored: dict[str, typing.Any] | None) -> ClientLimits:
    fields = (stored or {}).get("item") or {}
    return ClientLimits(**{name: fields[name] for name in ClientLimits._fields if name in fields})


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
        item.get("attempts") or DEFAULT_ATTEMPT_LIMIT,
        float(item.get("cache_life") or 0),
        tuple(item.get("regions") or ()),
        tuple(versioned_items.weighted_services(item)),
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
    return rendezvous.pick(key, [(name, weight) for name, weight in route.splits if weight > 0])
