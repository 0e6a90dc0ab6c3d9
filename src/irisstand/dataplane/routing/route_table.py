"""The routes in force: by host and longest path prefix, kept up to date with the configuration."""

import collections
import typing

from irisstand import errors, node_context
from irisstand.dataplane.routing import prefix_map, routes
from irisstand.http1 import locations
from irisstand.state import items, replica, versioned_items, versions

ROUTE_PREFIX = "route/"
UPSTREAM_PREFIX = "upstream/"


class CompiledItem(typing.NamedTuple):
    """An item as it was last read; `route` is None for a service, and where the item is dropped."""

    item: items.Item
    host: str
    route: routes.Route | None


class RouteTable:
    """Routes and services, read from the configuration item by item: a change costs what it changed.

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
        # Services of which holders fetch objects, each with the number of its cacheable routes.
        self.services_at_holders: collections.Counter[str] = collections.Counter()
        # All items of routes and services by key, the dropped ones too, and the container they were read
        # from.
        self.compiled: dict[str, CompiledItem] = {}
        self.source_items: object = None

    # -- following the configuration -----------------------------------------------------------------
    def refresh(self) -> None:
        """Take over what changed in the configuration since the last time."""
        configuration = self.context.configuration
        if configuration.applied == self.applied and configuration.items is self.source_items:
            return
        # A replica that was repaired may have other items at versions that were read already.
        if configuration.items is self.source_items and configuration.applied > self.applied:
            self.apply_changes(configuration)
        else:
            self.compare_all(configuration)
        self.applied = configuration.applied
        self.source_items = configuration.items
        self.limits = routes.ClientLimits.from_item(configuration.value(versioned_items.LIMITS_KEY))

    def apply_changes(self, configuration: replica.Replica) -> None:
        """Take over the items that changed since the version that was read."""
        changed, removed = configuration.changes_since(self.applied)
        for item in changed:
            self.update(item.key, item)
        for key in removed:
            self.update(key, None)
        # More may have been removed than the replica remembers by name.
        if (
            len(self.compiled)
            != configuration.counts_by_prefix["route"] + configuration.counts_by_prefix["upstream"]
        ):
            self.compare_all(configuration)

    def compare_all(self, configuration: replica.Replica) -> None:
        """Look at every item, and take over those that differ from what was read."""
        for key in [key for key in self.compiled if key not in configuration.items]:
            self.update(key, None)
        for prefix in (ROUTE_PREFIX, UPSTREAM_PREFIX):
            for key in configuration.items.irange(prefix, prefix + replica.KEY_UPPER_BOUND):
                item = configuration.items[key]
                compiled_item = self.compiled.get(key)
                if compiled_item is None or compiled_item.item != item:
                    self.update(key, item)

    def update(self, key: str, item: items.Item | None) -> None:
        """Take over one item as it is now; None is an item that is gone."""
        if key.startswith(ROUTE_PREFIX):
            self.update_route(key, item)
        elif key.startswith(UPSTREAM_PREFIX):
            self.update_upstream(key, item)

    def update_route(self, key: str, item: items.Item | None) -> None:
        """Replace the route that was read from the item."""
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
        """Replace the service that was read from the item."""
        name = key.removeprefix(UPSTREAM_PREFIX)
        self.compiled.pop(key, None)
        self.upstreams.pop(name, None)
        content = content_of(item)
        if content is not None:
            self.upstreams[name] = routes.Upstream.from_content(content)
        if item is not None:
            self.compiled[key] = CompiledItem(item, "", None)

    def add(self, host: str, route: routes.Route) -> None:
        """Add a route of a host."""
        if host not in self.hosts:
            self.hosts[host] = prefix_map.PrefixMap()
        self.hosts[host].add(locations.normal_path(route.prefix), route.name, route)
        self.by_name[route.name] = route
        self.services_at_holders.update(cacheable_services(route))

    def remove(self, host: str, route: routes.Route) -> None:
        """Remove a route of a host."""
        self.hosts[host].remove(locations.normal_path(route.prefix), route.name)
        if self.hosts[host].is_empty():
            del self.hosts[host]
        del self.by_name[route.name]
        for service in cacheable_services(route):
            self.services_at_holders[service] -= 1
            if not self.services_at_holders[service]:
                del self.services_at_holders[service]

    # -- asking --------------------------------------------------------------------------------------
    def match(self, host: str, path: str) -> routes.Route:
        """Return the route of the host with the longest prefix of the path.

        Args:
            host: The request's host, however it is spelt.
            path: The request's path, however it is spelt.

        Raises:
            errors.UnknownPathError: No route covers the path.
        """
        self.refresh()
        prefixes = self.hosts.get(locations.normal_host(host))
        route = None if prefixes is None else prefixes.longest_match(locations.normal_path(path))
        if route is None:
            raise errors.UnknownPathError(
                f"no route of {host} covers the path", "ask for a path that a route covers"
            )
        return route

    def is_service_allowed(self, route: routes.Route, service: str) -> bool:
        """Tell whether the route as it is now lets a request go to the service."""
        self.refresh()
        current = self.by_name.get(route.name)
        return current is not None and any(name == service and weight > 0 for name, weight in current.splits)


def content_of(item: items.Item | None) -> dict[str, typing.Any] | None:
    """Return what the operator sent; None where the item is gone, removed or says that it is dropped."""
    if item is None or item.value is None:
        return None
    content: dict[str, typing.Any] | None = item.value["item"]
    return content


def cacheable_services(route: routes.Route) -> set[str]:
    """Return the services of which the route caches objects."""
    return {name for name, _ in route.splits} if route.is_cacheable else set()
