"""Serves the object requests that other nodes send to this one, which is an object holder."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.dataplane.cache import holder_messages, object_lookup, object_reader, stored_body
from irisstand.dataplane.routing import route_table
from irisstand.dataplane.upstream import upstream_request
from irisstand.state import versions

# How long a holder waits until its configuration is as new as the one by which the requesting node routed.
CATCH_UP_TIMEOUT_SECONDS = 0.3
CATCH_UP_INTERVAL_SECONDS = 0.01


class ObjectServer:
    """Answers object requests by reads through this node's cache.

    Args:
        context: The node's context.
        table: The route table.
        reader: Reads the objects.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        table: route_table.RouteTable,
        reader: object_reader.ObjectReader,
    ) -> None:
        self.context = context
        self.table = table
        self.reader = reader
        context.transport.handlers[holder_messages.OBJECT_REQUEST_KIND] = self.on_object_request

    async def on_object_request(self, _: str, body: list[typing.Any]) -> tuple[typing.Any, ...]:
        """Answer an object request of another node.

        Raises:
            errors.DrainingError: This node is shutting down and takes no new requests.
            errors.StaleConfigurationError: This node's configuration is too old or has another route.
        """
        received_at = self.context.clock.now()
        message = holder_messages.ObjectRequest.from_wire(body)
        if self.context.is_draining:
            raise errors.DrainingError("this holder is shutting down")
        # A drain waits for the whole read, also between two fetches of it.
        with self.context.count_in_flight():
            await self.catch_up(message.configuration_version)
            content = await self.reader.read(self.lookup_for(message), message.minimum_version)
        if not isinstance(content.body, bytes):
            if not isinstance(content.body, stored_body.StoredBody):
                content.body.close()
            return holder_messages.TooLarge().to_wire()
        # The requesting node adds the time since its request to the age, so this node must not add it too.
        if message.cached_etag and content.ttl > 0 and object_lookup.etag_of(content) == message.cached_etag:
            return holder_messages.NotModified.from_object(content, received_at).to_wire()
        return holder_messages.object_response(content, received_at)

    def lookup_for(self, message: holder_messages.ObjectRequest) -> object_lookup.ObjectLookup:
        """Return the lookup for an object request, if this node's routes allow it.

        Raises:
            errors.StaleConfigurationError: This node has another route for the request, by which it could go
                to an origin that the requesting node's route does not allow.
        """
        request = upstream_request.Request("GET", message.target, message.host, message.headers, b"")
        route = self.table.match(request.host, request.path)
        if route.name != message.route_name or not self.table.is_service_allowed(route, message.service):
            raise errors.StaleConfigurationError("this holder's route is not that of the requesting node")
        return object_lookup.ObjectLookup(
            route, str(message.service), request, message.max_wait, is_forwarded=message.is_from_holder
        )

    async def catch_up(self, applied: versions.Version) -> None:
        """Wait until this node's configuration has at least the given version.

        Raises:
            errors.StaleConfigurationError: The version did not arrive in time, or a replica is not current.
        """
        started = self.context.clock.now()
        while self.context.configuration.applied < applied:
            if self.context.clock.now() - started > CATCH_UP_TIMEOUT_SECONDS:
                raise errors.StaleConfigurationError(
                    "this holder's configuration is older than that of the requesting node"
                )
            await asyncio.sleep(CATCH_UP_INTERVAL_SECONDS)
        if not all(map(self.context.is_current, self.context.replicas.values())):
            raise errors.StaleConfigurationError("this holder's tables are not known to be current")
