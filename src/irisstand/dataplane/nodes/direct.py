"""Nodes that connect to origins themselves: edges (role `direct`), and object holders (role `holder`)."""

import typing

from irisstand import errors, node_context
from irisstand.dataplane.cache import (
    object_holders,
    object_lookup,
    object_reader,
    object_server,
    objects,
    ranges,
    stored_body,
)
from irisstand.dataplane.http import header_names
from irisstand.dataplane.routing import configuration_view, route_table, routes
from irisstand.dataplane.upstream import (
    client,
    connector,
    endpoint_pool,
    exchange,
    response_reports,
    response_stream,
    upstream_request,
)
from irisstand.http1 import grammar

Request = upstream_request.Request

STATUS_OK = 200
MILLISECONDS = 1000


class DirectNode:
    """Answers clients' requests from its cache, from object holders, or from origins.

    Args:
        context: The node's context.
        view: The replicated configuration and purges.
        connect: Opens a connection to an origin, by its host and port.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        connect: connector.Connect,
    ) -> None:
        self.context = context
        self.view = view
        self.header_names = header_names.REGISTRY[context.settings.vocabulary]
        self.table = route_table.RouteTable(context)
        self.endpoints = endpoint_pool.EndpointPool(context, view, self.table, self.header_names, connect)
        self.origins = client.UpstreamClient(context, view, self.table, self.endpoints)
        self.holders = object_holders.ObjectHolders(context, self.table, self.endpoints, self.origins.budget)
        self.reader = object_reader.ObjectReader(context, view, self.origins, self.holders.fetch_from_holder)
        self.object_server = object_server.ObjectServer(context, self.table, self.reader)

    async def run(self) -> None:
        """Probe unhealthy origin endpoints until cancelled."""
        await self.endpoints.run()

    async def handle(self, request: Request) -> exchange.Answer:
        """Answer a client's request by the route that it matches when it arrives.

        Raises:
            errors.IrisError: The request is refused or has failed.
        """
        self.view.check_current()
        route = self.table.match(request.host, request.path)
        self.context.counters.add("requests", route=route.name)
        remaining = self.remaining_seconds(request, route)
        if route.is_cacheable and request.method == "GET" and isinstance(request.body, bytes):
            service = routes.pick_service(route, request.target.decode("latin-1"))
            lookup = object_lookup.ObjectLookup(route, service, request, remaining)
            return self.answer_from_object(request, await self.reader.read(lookup))
        service = routes.pick_service(route, request.headers.get(self.header_names.request_id, request.path))
        headers = upstream_request.end_to_end_headers(request.headers)
        with self.context.count_in_flight():
            answer = await self.origins.fetch(route, service, request, headers, remaining)
        if isinstance(answer.body, response_stream.ResponseStream):
            check_claim(answer.body)
        return answer

    def remaining_seconds(self, request: Request, route: routes.Route) -> float:
        """Return the request's timeout: the route's, or the one in the client's header if that is shorter."""
        client_millis = grammar.whole_number(request.headers.get(self.header_names.remaining, ""))
        return route.timeout if client_millis is None else min(route.timeout, client_millis / MILLISECONDS)

    def answer_from_object(self, request: Request, content: objects.CachedObject) -> exchange.Answer:
        """Return the response with an object, or with the byte range of it that the client requested.

        Raises:
            errors.StaleConfigurationError: This node's replicas are no longer current.
        """
        # This node may have been paused or partitioned while it waited for the object.
        self.view.check_current()
        headers = dict(content.headers)
        if self.header_names.request_id in request.headers:
            headers[self.header_names.request_id] = request.headers[self.header_names.request_id]
        body = content.body
        if isinstance(body, stored_body.StoredBody):
            body = body.open_reader()
        complete = exchange.Answer(content.status, headers, body)
        answer = ranges.apply(complete, request.headers) if content.status == STATUS_OK else complete
        if answer.status == ranges.RANGE_NOT_SATISFIABLE:
            # The 416 response is this node's own, so the origin's integrity header does not belong to it.
            answer.headers.pop(self.header_names.digest, None)
        return answer


def check_claim(stream: response_stream.ResponseStream) -> None:
    """Take the body of a response in order to pass it on.

    Raises:
        errors.OriginFailedError: It was given up before.
    """
    if not stream.claim():
        raise errors.OriginFailedError("the response was given up before its client could get it")


def network_connector(context: node_context.NodeContext) -> connector.Connect:
    """Return the function that opens network connections to origins, with the configured header names."""
    names = header_names.REGISTRY[context.settings.vocabulary]
    report = response_reports.recorder(context.counters)
    return connector.connector(names.request_id, context.budget, report)


def create(
    context: node_context.NodeContext, view: configuration_view.ConfigurationView, connect: typing.Any
) -> DirectNode:
    """Create the node; `connect` opens connections to origins, and None stands for network connections."""
    return DirectNode(context, view, connect or network_connector(context))
