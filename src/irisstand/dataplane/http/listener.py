"""The clients' listener of a node that connects to origins itself: adapts requests and responses of sanic."""

import asyncio
import typing

import sanic
import sanic.exceptions
import sanic.request
import sanic.response

from irisstand import drain_guard, errors, event_log, listening_sockets, node_context, node_settings
from irisstand.dataplane.http import client_departures, closing_connections, messages, request_body
from irisstand.dataplane.nodes import direct
from irisstand.http1 import open_connections, request_head, streamed_response, strict_protocol

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Headers that sanic writes itself, so that they are not copied from an origin's response.
SANIC_HEADERS = frozenset(("connection", "keep-alive", "content-length", "transfer-encoding", "content-type"))
DEFAULT_CONTENT_TYPE = "application/octet-stream"
# Timeouts of sanic, longer than any deadline of a request, which is a day at most, so that they never apply:
# requests have their own deadlines, and `closing_connections` watches connections that are slow to close.
RESPONSE_TIMEOUT_SECONDS = 100_000
CLOSE_TIMEOUT_SECONDS = 100_000
# The minimum of the timeouts for a request's head and for an idle connection, whatever operators configure.
MIN_TIMEOUT_SECONDS = 1.0
# The time between two checks whether the replicas are current, before the listener opens.
OPENING_CHECK_SECONDS = 0.02
BACKLOG = 512
# An error response of the node itself counts as late after this time: the lack of a rate limit token or of an
# origin alone is found out sooner.
LATE_RESPONSE_SECONDS = 0.5
STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_PAYLOAD_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503


class ClientListener:
    """Listens for clients and passes their requests to the node.

    Args:
        context: The node's context.
        node: The node that handles the requests.
        address: The host and port to listen on.
    """

    def __init__(
        self, context: node_context.NodeContext, node: direct.DirectNode, address: node_settings.Address
    ) -> None:
        self.context = context
        self.node = node
        self.address = address
        # Sanic's server once this listener is open; sanic declares no types for it.
        self.server: typing.Any = None
        name = "irisstand_front_" + "".join(c if c.isalnum() else "_" for c in context.settings.name)
        self.app: sanic.Sanic[typing.Any, typing.Any] = sanic.Sanic(name, configure_logging=False)
        self.app.config.update(
            {
                "MOTD": False,
                "ACCESS_LOG": False,
                "RESPONSE_TIMEOUT": RESPONSE_TIMEOUT_SECONDS,
                "GRACEFUL_TCP_CLOSE_TIMEOUT": CLOSE_TIMEOUT_SECONDS,
                "TOUCHUP": False,
            }
        )
        self.app.ctx.budget = context.budget
        self.apply_client_limits()
        context.configuration.watchers.append(self.apply_client_limits)
        self.app.error_handler.add(Exception, self.on_error)
        self.add_routes()
        context.close_callbacks.append(self.abort_connections)
        self.closing_watcher = closing_connections.ClosingConnections(
            context.clock.now, lambda: self.server.connections, self.idle_seconds
        )

    def add_routes(self) -> None:
        """Serve all paths, with streamed bodies so that this listener enforces the timeout for a body."""

        # Sanic sets an attribute on a handler with streamed bodies, which a bound method does not allow.
        async def serve(request: sanic.request.Request, rest: str = "") -> sanic.response.HTTPResponse:
            return await self.serve(request)

        self.app.add_route(serve, "/", methods=METHODS, name="root", stream=True)
        self.app.add_route(serve, "/<rest:path>", methods=METHODS, name="rest", stream=True)

    def apply_client_limits(self) -> None:
        """Apply the configured client limits; each connection keeps those in force when it was opened."""
        self.node.table.refresh()
        limits = self.node.table.limits
        self.app.config.update(
            {
                "REQUEST_MAX_SIZE": limits.body_bytes,
                "REQUEST_MAX_HEADER_SIZE": limits.header_bytes,
                "REQUEST_TIMEOUT": max(MIN_TIMEOUT_SECONDS, limits.header),
                "KEEP_ALIVE_TIMEOUT": self.idle_seconds(),
            }
        )

    def idle_seconds(self) -> float:
        """Return the seconds for which a client may neither send nor read a byte."""
        return max(MIN_TIMEOUT_SECONDS, self.node.table.limits.idle)

    # -- listening -----------------------------------------------------------------------------------
    async def open_when_current(self) -> None:
        """Listen as soon as the replicas are current: until then, the node would refuse all requests.

        Raises:
            errors.PortTakenError: Another process listens on the address.
        """
        # Whether replicas are current depends on the time, too, so there is no event to wait for.
        while not all(map(self.context.is_current, self.context.replicas.values())):  # noqa: ASYNC110 - see above
            await asyncio.sleep(OPENING_CHECK_SECONDS)
        if self.context.is_lame_duck:
            return
        try:
            self.server = await self.app.create_server(
                sock=listening_sockets.bind_tcp(*self.address),
                protocol=strict_protocol.StrictHttpProtocol,
                return_asyncio_server=True,
                access_log=False,
                backlog=BACKLOG,
            )
            await self.server.startup()
            await self.server.start_serving()
            self.context.start_task(self.closing_watcher.run(), "closing connections")
        except OSError as error:
            raise errors.PortTakenError(str(error)) from None

    async def stop_listening(self) -> None:
        """Stop accepting connections; open ones are closed as they become idle."""
        if self.server is not None:
            self.server.close()
            connections = self.server.connections
            self.context.pending_work_checks.append(lambda: open_connections.close_idle(connections))

    def abort_connections(self) -> None:
        """Abort all connections, as the last step of a shutdown."""
        if self.server is not None:
            open_connections.abort(self.server.connections)

    # -- requests ------------------------------------------------------------------------------------
    async def serve(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return the response to a request; sanic cancels this call if the client disconnects."""
        # Sanic declares no types for its stream, which here is a `strict_protocol.StrictHttp`.
        head: request_head.RequestHead = typing.cast(typing.Any, request.stream).head
        limits = self.node.table.limits
        body_reader = request_body.RequestBodyReader(request.stream, limits.body_bytes, self.idle_seconds())
        body = await body_reader.read()
        client_departures.resume_reading(request)
        node_request = direct.Request(request.method, request.raw_url, head.host, head.headers, body)
        with self.context.count_in_flight(), client_departures.count_departure(self.context.counters):
            response = await self.respond(node_request)
        request_body.end_unread(request.stream, body, response)
        # A connection that stays open would bring more requests to a node that is shutting down.
        if self.context.is_lame_duck or self.context.is_draining:
            typing.cast(typing.Any, request.stream).keep_alive = False
        return response

    async def respond(self, request: direct.Request) -> sanic.response.HTTPResponse:
        """Return the response to a request, even after an error; raises only if the client disconnects."""
        started_at = self.context.clock.now()
        try:
            self.check_admission()
            status, headers, body = await self.node.handle(request)
        except errors.IrisError as error:
            self.count_error_response(error, started_at)
            return messages.error_response(error)
        except asyncio.CancelledError:
            if client_departures.is_cancelled():
                raise
            # A task that this request shares with others was cancelled. Raised on, the error would tell sanic
            # that the client has disconnected.
            self.context.counters.add("requests_crashed")
            return messages.error_response(
                errors.OutcomeUnknownError("a task that this request shared with others was cancelled")
            )
        except Exception as error:  # A bug ends one request, not the node.
            event_log.record("crash", error=repr(error))
            self.context.counters.add("requests_crashed")
            return messages.error_response(
                errors.OutcomeUnknownError("an internal error of the node ended this request")
            )
        forwarded = {
            name: messages.header_text(value) for name, value in headers.items() if name not in SANIC_HEADERS
        }
        content_type = messages.header_text(headers.get("content-type", DEFAULT_CONTENT_TYPE))
        if isinstance(body, bytes):
            return sanic.response.HTTPResponse(body, status, forwarded, content_type)
        return streamed_response.StreamedResponse(body, status, forwarded, content_type)

    def check_admission(self) -> None:
        """Refuse a new request while the node drains, as it might not be complete when the drain ends.

        Raises:
            errors.DrainingError: The node is draining.
        """
        if self.context.is_draining:
            raise drain_guard.make_draining_error()

    def count_error_response(self, error: errors.IrisError, started_at: float) -> None:
        """Count an error response of the node itself by error code, stage of a shutdown, and lateness."""
        is_late = self.context.clock.now() - started_at > LATE_RESPONSE_SECONDS
        self.context.counters.add(
            "own_answers", code=error.code, stage=self.context.shutdown_stage(), late=str(is_late)
        )

    def on_error(self, request: sanic.request.Request, error: Exception) -> sanic.response.HTTPResponse:
        """Return the response to a request that sanic refused or failed to handle."""
        status = getattr(error, "status_code", None) or STATUS_INTERNAL_ERROR
        if status == STATUS_BAD_REQUEST:
            self.context.counters.add("malformed_requests")
        if status == STATUS_REQUEST_TIMEOUT and request.stream is not None:
            typing.cast(typing.Any, request.stream).keep_alive = False
        # Sanic reports an oversized head as status 413, an oversized body; HTTP has status 431 for heads.
        if status == STATUS_PAYLOAD_TOO_LARGE and "header" in str(error).lower():
            status = STATUS_HEADERS_TOO_LARGE
        remedy = "send what the operators' page describes, within its limits"
        content = {"code": f"http-{status}", "message": str(error), "remedy": remedy}
        headers = {"Retry-After": "1"} if status == STATUS_UNAVAILABLE else None
        return sanic.response.json(content, status, headers)
