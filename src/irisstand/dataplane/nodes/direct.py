"""A node that reaches origins by itself: an edge (`direct`), or a `holder` of objects for such edges."""

import typing

from irisstand import node_context, node_settings
from irisstand.dataplane.cache import object_holders, object_reader, objects, ranges
from irisstand.dataplane.http import header_names
from irisstand.dataplane.routing import route_table, routes, snapshot
from irisstand.dataplane.upstream import client, endpoint_pool, exchange, upstream_request
from irisstand.http1 import grammar

Request = upstream_request.Request

STATUS_OK = 200
MILLISECONDS = 1000


class DirectNode:
    """Answers clients' requests out of its cache, from object holders, or from origins.

    Args:
        context: The node's context.
        view: The configuration in force.
        connect: Opens connections to origins.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        connect: exchange.Connect,
    ) -> None:
        self.context = context
        self.view = view
        self.header_names = header_names.REGISTRY[context.settings.vocabulary]
        self.table = route_table.RouteTable(context)
        self.endpoints = endpoint_pool.EndpointPool(context, view, self.table, self.header_names, connect)
        self.origins = client.UpstreamClient(context, view, self.table, self.endpoints)
        self.holders = object_holders.ObjectHolders(context, self.table, self.endpoints)
        self.reader = object_reader.ObjectReader(context, view, self.origins, self.holders.fetch_from_holder)
        self.holders.serve(self.reader)

    async def run(self) -> None:
        """Probe origins that are down, until cancelled."""
        await self.endpoints.run()

    async def handle(self, request: Request) -> exchange.Answer:
        """Answer a client's request, which is judged by one version of its route.

        Raises:
            errors.IrisError: The request is refused or failed.
        """
        self.view.check_current()
        route = self.table.match(request.host, request.path)
        self.context.counters.add("requests", route=route.name)
        remaining = self.remaining_seconds(request, route)
        if route.is_cacheable and request.method == "GET":
            service = routes.pick_service(route, request.target.decode("latin-1"))
            lookup = object_reader.ObjectLookup(route, service, request, remaining)
            return self.answer_from_object(request, await self.reader.read(lookup))
        service = routes.pick_service(route, request.headers.get(self.header_names.request_id, request.path))
        headers = upstream_request.end_to_end_headers(request.headers)
        with self.context.count_in_flight():
            return await self.origins.fetch(route, service, request, headers, remaining)

    def remaining_seconds(self, request: Request, route: routes.Route) -> float:
        """Return how long the client waits: what it says in whole milliseconds, up to the route's timeout."""
        client_millis = grammar.whole_number(request.headers.get(self.header_names.remaining, ""))
        return route.timeout if client_millis is None else min(route.timeout, client_millis / MILLISECONDS)

    def answer_from_object(self, request: Request, content: objects.CachedObject) -> exchange.Answer:
        """Answer a request with an object, or with the range of it that the client asks for.

        Raises:
            errors.StaleConfigurationError: This node may no longer answer by its tables.
        """
        # This node may have been paused or cut off while the object was on its way.
        self.view.check_current()
        headers = dict(content.headers)
        if self.header_names.request_id in request.headers:
            headers[self.header_names.request_id] = request.headers[self.header_names.request_id]
        complete = exchange.Answer(content.status, headers, content.body)
        answer = ranges.apply(complete, request.headers) if content.status == STATUS_OK else complete
        if answer.status == ranges.RANGE_NOT_SATISFIABLE:
            # This node's own refusal: the origin sealed another status.
            answer.headers.pop(self.header_names.seal, None)
        return answer


def connector(settings: node_settings.Settings) -> exchange.Connect:
    """Return what opens real connections to origins, by the header names of the settings."""
    return exchange.connector(header_names.REGISTRY[settings.vocabulary].request_id)


def create(
    context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot, connect: typing.Any
) -> DirectNode:
    """Make the node; `connect` is None for real connections."""
    return DirectNode(context, view, connect or connector(context.settings))
