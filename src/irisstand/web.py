"""The HTTP server of a node for operators and clients: a sanic application with the pages of all roles."""

import asyncio
import collections.abc
import json
import math
import typing

import sanic
import sanic.exceptions
import sanic.request
import sanic.response

from irisstand import errors, event_log, listening_sockets, node_context
from irisstand.http1 import held_request, open_connections, strict_protocol

BODY_LIMIT_BYTES = 4 * 1024 * 1024
# An edge opens its listener after this time even if its replicas are not current.
OPENING_TIMEOUT_SECONDS = 30.0
OPENING_CHECK_SECONDS = 0.02
SANIC_CONFIG = {
    "MOTD": False,
    "ACCESS_LOG": False,
    "REQUEST_MAX_SIZE": BODY_LIMIT_BYTES,
    "KEEP_ALIVE_TIMEOUT": 30,
    "RESPONSE_TIMEOUT": 70,
    "REQUEST_TIMEOUT": 30,
    "FALLBACK_ERROR_FORMAT": "json",
    "TOUCHUP": False,
}

STATUS_OK = 200
STATUS_PAYLOAD_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
STATUS_INTERNAL_ERROR = 500
STATUSES_WITH_RETRY_AFTER = (502, 503, 504)
STATUS_UNAVAILABLE = 503

Response = sanic.response.HTTPResponse


def json_response(
    content: typing.Any, status: int = STATUS_OK, headers: dict[str, str] | None = None
) -> Response:
    """Return a response with a JSON body."""
    return Response(json.dumps(content), status=status, headers=headers, content_type="application/json")


def error_response(error: errors.IrisError) -> Response:
    """Return the response for an error: its JSON object, its status, and Retry-After if it has a delay."""
    headers = {"Cache-Control": "no-store"}
    if error.retry_after:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return json_response(error.to_json(), error.status, headers)


class Readiness(typing.NamedTuple):
    """Whether a node is ready for requests, as the readiness page reports it.

    Attributes:
        ready: Whether balancers should send requests to the node.
        why: The reason, for operators.
    """

    ready: bool
    why: str


class HttpServer:
    """The HTTP listener of a node, with its pages for liveness, readiness, status, counters and event log.

    Attributes:
        app: The sanic application, to which other modules add routes.
        server: The listening server of sanic; None while the node does not listen.
        connections: The open connections of the server; they remain when it stops listening.
    """

    def __init__(self, context: node_context.NodeContext, log: event_log.EventLog) -> None:
        self.context = context
        self.log = log
        app_name = "".join(letter if letter.isalnum() else "_" for letter in context.settings.name)
        self.app = sanic.Sanic(
            f"irisstand_{app_name}", configure_logging=False, request_class=held_request.HeldRequest
        )
        self.app.config.update(SANIC_CONFIG)
        self.app.ctx.budget = context.budget
        self.server: typing.Any = None
        self.connections: collections.abc.Iterable[typing.Any] = ()
        context.close_callbacks.append(self.abort_connections)
        self.app.error_handler.add(Exception, self.on_error)
        self.app.add_route(self.live, "/_irisstand/live", methods=["GET"])
        self.app.add_route(self.ready, "/_irisstand/ready", methods=["GET"])
        self.app.add_route(self.status, "/_irisstand/status", methods=["GET"])
        self.app.add_route(self.counters, "/_irisstand/counters", methods=["GET"])
        self.app.add_route(self.write_log, "/_irisstand/ring", methods=["POST"])
        self.app.register_middleware(self.on_response, "response")

    async def open(self) -> None:
        """Listen on the HTTP port of the settings; raises OSError if the port is taken."""
        settings = self.context.settings
        self.server = await self.app.create_server(
            sock=listening_sockets.bind_tcp(settings.host, settings.http_port),
            protocol=strict_protocol.StrictHttpProtocol,
            return_asyncio_server=True,
            access_log=False,
        )
        self.connections = self.server.connections
        await self.server.startup()
        await self.server.start_serving()

    async def open_when_current(self) -> None:
        """Listen once all replicas are current, as an edge would reject every request before that.

        Raises:
            errors.PortTakenError: The HTTP port is taken.
        """
        clock = self.context.clock
        started_at = clock.now()
        while not all(map(self.context.is_current, self.context.replicas.values())):
            # During a long quorum loss the node must become reachable, so that operators can see the cause.
            if clock.now() - started_at > OPENING_TIMEOUT_SECONDS:
                break
            await asyncio.sleep(OPENING_CHECK_SECONDS)
        if not self.context.is_lame_duck:
            try:
                await self.open()
            except OSError as error:
                raise errors.PortTakenError(str(error)) from None

    async def stop_listening(self) -> None:
        """Accept no more connections; open connections are served until they are idle, then closed."""
        if self.server is not None:
            self.server.close()
            self.server = None
            self.context.pending_work_checks.append(lambda: open_connections.close_idle(self.connections))

    def abort_connections(self) -> None:
        """Abort all open connections, as the last step of the shutdown."""
        open_connections.abort(self.connections)

    async def on_response(
        self, _request: sanic.request.Request, response: sanic.response.BaseHTTPResponse
    ) -> None:
        """Close the connection after a response while the node shuts down, as it would bring more work."""
        if self.context.is_lame_duck or self.context.is_draining:
            response.headers["Connection"] = "close"

    def on_error(self, _request: sanic.request.Request, error: Exception) -> Response:
        """Return the response for an exception that a request handler or sanic raised."""
        if isinstance(error, errors.IrisError):
            return error_response(error)
        if isinstance(error, sanic.exceptions.SanicException):
            return _sanic_error_response(error)
        event_log.record("crash", error=repr(error))
        self.log.write_out(f"unexpected error while handling an HTTP request: {error!r}")
        return error_response(errors.IrisError("internal error of this node"))

    def readiness(self) -> Readiness:
        """Return whether this node is ready for requests, and the reason."""
        context = self.context
        if context.is_lame_duck or context.is_draining:
            return Readiness(ready=False, why="draining")
        for table in context.replicas.values():
            if not context.is_current(table):
                return Readiness(
                    ready=False, why=f"the replica of table {table.name} is not known to be current"
                )
        # Evacuation and standby keep only client requests away, so control plane nodes there remain ready.
        if context.role == "edge" and context.is_evacuated(context.settings.site):
            return Readiness(ready=False, why=f"site {context.settings.site} is evacuated")
        if context.role == "edge" and context.is_standby(context.settings.machine):
            return Readiness(ready=False, why=f"machine {context.settings.machine} is on standby")
        return Readiness(ready=True, why="ready")

    async def live(self, _request: sanic.request.Request) -> Response:
        """Serve the liveness page: status 200 whenever the process runs."""
        return json_response({"live": True})

    async def ready(self, _request: sanic.request.Request) -> Response:
        """Serve the readiness page: status 200 if this node is ready for requests, 503 otherwise."""
        readiness = self.readiness()
        return json_response(readiness._asdict(), STATUS_OK if readiness.ready else STATUS_UNAVAILABLE)

    async def status(self, _request: sanic.request.Request) -> Response:
        """Serve the status page of this node as JSON."""
        return json_response(self.context.status())

    async def counters(self, _request: sanic.request.Request) -> Response:
        """Serve all counters and gauges in the Prometheus text format."""
        return sanic.response.text(
            self.context.counters.text(), content_type="text/plain; version=0.0.4; charset=utf-8"
        )

    async def write_log(self, _request: sanic.request.Request) -> Response:
        """Write the event log to standard error, and respond with the number of events written."""
        return json_response({"written": self.log.write_out("requested by an operator")})


def _sanic_error_response(error: sanic.exceptions.SanicException) -> Response:
    status = error.status_code or STATUS_INTERNAL_ERROR
    # Sanic reports an oversized header section as an oversized payload; HTTP has status 431 for it (RFC 6585,
    # section 5).
    if status == STATUS_PAYLOAD_TOO_LARGE and "header" in str(error).lower():
        status = STATUS_HEADERS_TOO_LARGE
    remedy = "send what the operators' page describes, within its limits"
    headers = {"Retry-After": "1"} if status in STATUSES_WITH_RETRY_AFTER else None
    return json_response({"code": f"http-{status}", "message": str(error), "remedy": remedy}, status, headers)
