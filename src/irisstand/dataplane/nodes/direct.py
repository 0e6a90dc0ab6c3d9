"""An edge that reaches origins by itself, and a holder, which does the same for the edges of its site."""

import typing

from irisstand import node_context
from irisstand.dataplane.cache import object_holders, object_reader, objects, ranges
from irisstand.dataplane.http import header_names as vocabularies
from irisstand.dataplane.routing import route_table, routes, snapshot
from irisstand.dataplane.upstream import client, endpoint_pool, exchange, upstream_request

Request = upstream_request.Request


class DirectNode:
    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        connect: exchange.Connect,
    ) -> None:
        self.context, self.view = context, view
        self.header_names = vocabularies.REGISTRY[context.settings.vocabulary]
        self.table = route_table.RouteTable(context)
        self.endpoints = endpoint_pool.EndpointPool(context, view, self.table, self.header_names, connect)
        self.origins = client.UpstreamClient(context, view, self.table, self.endpoints)
        self.holders = object_holders.ObjectHolders(context, self.table, self.endpoints)
        self.reader = object_reader.ObjectReader(context, view, self.origins, self.holders.fetch_from_holder)
        self.holders.serve(self.reader)

    async def run(self) -> None:
        await self.endpoints.run()

    async def handle(self, request: Request) -> exchange.Answer:
        """The answer for the client, or a typed error. A request is decided by one version of its route."""
        self.view.check_current()
        route = self.table.match(request.host, request.path)
        self.context.counters.add("requests", route=route.name)
        given = request.headers.get(self.header_names.remaining, "")
        remaining = min(route.timeout, int(given) / 1000) if given.isdigit() else route.timeout
        if route.is_cacheable and request.method == "GET":
            service = routes.pick_service(route, request.target.decode("latin-1"))
            asked = object_reader.ObjectLookup(route, service, request, remaining)
            return self.give(request, await self.reader.read(asked))
        service = routes.pick_service(route, request.headers.get(self.header_names.request_id, request.path))
        headers = [
            (name, value) for name, value in request.headers.items() if name not in upstream_request.HOP
        ]
        with self.context.count_in_flight():
            return await self.origins.fetch(route, service, request, headers, remaining)

    def give(self, request: Request, thing: objects.CachedObject) -> exchange.Answer:
        # This node may have been paused or cut off while the answer was on its way.
        self.view.check_current()
        headers = dict(thing.headers)
        if self.header_names.request_id in request.headers:
            headers[self.header_names.request_id] = request.headers[self.header_names.request_id]
        whole = exchange.Answer(thing.status, headers, thing.body)
        given = ranges.apply(whole, request.headers) if thing.status == 200 else whole
        if given.status == 416:
            # This node's own refusal: the origin sealed another status.
            given.headers.pop(self.header_names.seal, None)
        return given


def connector(settings: typing.Any) -> exchange.Connect:
    return exchange.connector(vocabularies.REGISTRY[settings.vocabulary].request_id)


def create(
    context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot, connect: typing.Any
) -> DirectNode:
    return DirectNode(context, view, connect or connector(context.settings))
