"""Finds the route of a request by its host and the longest path prefix, in the configuration in force."""

import collections
import typing

from irisstand import errors, node_context
from irisstand.dataplane.routing import prefix_map, routes
from irisstand.http1 import locations
from irisstand.state import items, replica, versioned_items, versions

ROUTE_PREFIX = "route/"
UPSTREAM_PREFIX = "upstream/"


class CompiledItem(typing.NamedTuple):
    """A configuration item as it was last read, and the route that it describes.

    Attributes:
        item: The item in the replica of the configuration.
        host: The normalised host of the route; empty for a service or a dropped item.
        route: The route; None for a service or a dropped item.
    """

    item: items.Item
    host: str
    route: routes.Route | None


class RouteTable:
    """Indexes routes and services of the configuration; after a change it reads only the changed items.

    Args:
        context: The node's context, with its replica of the configuration.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.applied = versions.NONE
        self.hosts: dict[str, prefix_map.PrefixMap[routes.Route]] = {}
        self.upstreams: dict[str, routes.Upstream] = {}
        self.limits = routes.ClientLimits()
        self.by_name: dict[str, routes.Route] = {}
        # The number of cacheable routes of each service whose objects are fetched by object holders.
        self.services_at_holders: collections.Counter[str] = collections.Counter()
        # All items of routes and services by key, including dropped ones.
        self.compiled: dict[str, CompiledItem] = {}
        # The container of the replica's items from which `compiled` was read.
        self.source_items: object = None

    # -- reading the configuration -------------------------------------------------------------------
    def refresh(self) -> None:
        """Update the table by what changed in the configuration since the last call."""
        configuration = self.context.configuration
        if configuration.applied == self.applied and configuration.items is self.source_items:
            return
        # A repair replaces the container of items, and may change items at versions that were already read.
        if configuration.items is self.source_items and configuration.applied > self.applied:
            self.apply_changes(configuration)
        else:
            self.compare_all(configuration)
        self.applied = configuration.applied
        self.source_items = configuration.items
        self.limits = routes.ClientLimits.from_item(configuration.value(versioned_items.LIMITS_KEY))

    def apply_changes(self, configuration: replica.Replica) -> None:
        """Read the items that changed since the version that was last read."""
        changed, removed = configuration.changes_since(self.applied)
        for item in changed:
            self.update(item.key, item)
        for key in removed:
            self.update(key, None)
        # The replica keeps a limited number of removal records, so more items than those may be gone.
        if (
            len(self.compiled)
            != configuration.counts_by_prefix["route"] + configuration.counts_by_prefix["upstream"]
        ):
            self.compare_all(configuration)

    def compare_all(self, configuration: replica.Replica) -> None:
        """Compare every item with what was last read, and read those that differ."""
        for key in [key for key in self.compiled if key not in configuration.items]:
            self.update(key, None)
        for prefix in (ROUTE_PREFIX, UPSTREAM_PREFIX):
            for key in configuration.items.irange(prefix, prefix + replica.KEY_UPPER_BOUND):
                item = configuration.items[key]
                compiled_item = self.compiled.get(key)
                if compiled_item is None or compiled_item.item != item:
                    self.update(key, item)

    def update(self, key: str, item: items.Item | None) -> None:
        """Update the table by one item of the configuration; `item` is None if it was removed."""
        if key.startswith(ROUTE_PREFIX):
            self.update_route(key, item)
        elif key.startswith(UPSTREAM_PREFIX):
            self.update_upstream(key, item)

    def update_route(self, key: str, item: items.Item | None) -> None:
        """Replace the route that was read from the item of this key."""
        compiled_item = self.compiled.pop(key, None)
        if compiled_item is not None and compiled_item.route is not None:
            self.remove(compiled_item.host, compiled_item.route)
        host = ""
        route = None
        content = content_of(item)
        if content is not None:
            host = locations.normal_host(content["host"])
            route = routes.Route.from_content(content)
            self.add(host, route)
        if item is not None:
            self.compiled[key] = CompiledItem(item, host, route)

    def update_upstream(self, key: str, item: items.Item | None) -> None:
        """Replace the service that was read from the item of this key."""
        name = key.removeprefix(UPSTREAM_PREFIX)
        self.compiled.pop(key, None)
        self.upstreams.pop(name, None)
        content = content_of(item)
        if content is not None:
            self.upstreams[name] = routes.Upstream.from_content(content)
        if item is not None:
            self.compiled[key] = CompiledItem(item, "", None)

    def add(self, host: str, route: routes.Route) -> None:
        """Add a route to the index of its host."""
        if host not in self.hosts:
            self.hosts[host] = prefix_map.PrefixMap()
        self.hosts[host].add(locations.normal_path(route.prefix), route.name, route)
        self.by_name[route.name] = route
        self.services_at_holders.update(cacheable_services(route))

    def remove(self, host: str, route: routes.Route) -> None:
        """Remove a route from the index of its host."""
        self.hosts[host].remove(locations.normal_path(route.prefix), route.name)
        if self.hosts[host].is_empty():
            del self.hosts[host]
        del self.by_name[route.name]
        for service in cacheable_services(route):
            self.services_at_holders[service] -= 1
            if not self.services_at_holders[service]:
                del self.services_at_holders[service]

    # -- lookups -------------------------------------------------------------------------------------
    def match(self, host: str, path: str) -> routes.Route:
        """Return the route of the host whose prefix is the longest one that matches the path.

        Args:
            host: The host of the request; capitals, a port and a final dot do not matter.
            path: The path of the request, which is normalised first.

        Raises:
            errors.UnknownPathError: No route of the host has a prefix of the path.
        """
        self.refresh()
        prefixes = self.hosts.get(locations.normal_host(host))
        route = None if prefixes is None else prefixes.longest_match(locations.normal_path(path))
        if route is None:
            raise errors.UnknownPathError(
                f"no route of host {host} matches the path of the request",
                "ask for a path that a route covers",
            )
        return route

    def is_service_allowed(self, route: routes.Route, service: str) -> bool:
        """Return whether the route, as configured now, sends requests to the service."""
        self.refresh()
        current = self.by_name.get(route.name)
        return current is not None and any(name == service and weight > 0 for name, weight in current.splits)


def content_of(item: items.Item | None) -> dict[str, typing.Any] | None:
    """Return an item's content as operators sent it; None if the item is missing, removed or dropped."""
    if item is None or item.value is None:
        return None
    content: dict[str, typing.Any] | None = item.value["item"]
    return content


def cacheable_services(route: routes.Route) -> set[str]:
    """Return the names of the services whose objects the route caches; none if it is not cacheable."""
    return {name for name, _ in route.splits} if route.is_cacheable else set()
