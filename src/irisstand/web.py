"""HTTP towards people and callers: one sanic application in this very process, with the common pages."""

import asyncio
import json
import math
import typing

import sanic
import sanic.exceptions
import sanic.request
import sanic.response

from irisstand import errors, event_log, node_context

BODY_LIMIT_BYTES = 4 * 1024 * 1024
OPENING_LIMIT_SECONDS = 30.0


def as_json(
    content: typing.Any, status: int = 200, headers: dict | None = None
) -> sanic.response.HTTPResponse:
    return sanic.response.HTTPResponse(
        json.dumps(content), status=status, headers=headers, content_type="application/json"
    )


def as_fault(error: errors.IrisError) -> sanic.response.HTTPResponse:
    headers = {"Cache-Control": "no-store"}
    # Told at once when to come back, instead of being kept waiting until it could.
    if error.retry_after:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return as_json(error.to_json(), error.status, headers)


class Web:
    """`ready` tells whether this node should be sent work."""

    def __init__(self, context: node_context.NodeContext, log_ring: event_log.EventLog) -> None:
        self.context, self.ring = context, log_ring
        name = "irisstand_" + "".join(letter if letter.isalnum() else "_" for letter in context.settings.name)
        self.app = sanic.Sanic(name, configure_logging=False)
        self.app.config.update(
            {
                "MOTD": False,
                "ACCESS_LOG": False,
                "REQUEST_MAX_SIZE": BODY_LIMIT_BYTES,
                "KEEP_ALIVE_TIMEOUT": 30,
                "RESPONSE_TIMEOUT": 70,
                "REQUEST_TIMEOUT": 30,
                "FALLBACK_ERROR_FORMAT": "json",
                "TOUCHUP": False,
            }
        )
        self.server: typing.Any = None
        self.connections: set = set()
        context.close_callbacks.append(self.abort_connections)
        self.app.error_handler.add(Exception, self.on_error)
        self.app.add_route(self.live, "/_irisstand/live", methods=["GET"])
        self.app.add_route(self.ready, "/_irisstand/ready", methods=["GET"])
        self.app.add_route(self.status, "/_irisstand/status", methods=["GET"])
        self.app.add_route(self.counters, "/_irisstand/counters", methods=["GET"])
        self.app.add_route(self.write_ring, "/_irisstand/ring", methods=["POST"])
        self.app.on_response(self.on_response)

    async def open(self) -> None:
        settings = self.context.settings
        self.server = await self.app.create_server(
            host=settings.host, port=settings.http_port, return_asyncio_server=True, access_log=False
        )
        self.connections = self.server.connections
        await self.server.startup()
        await self.server.start_serving()

    async def open_when_current(self) -> None:
        """An edge just started would only turn clients away: it listens once it can answer them."""
        clock, started = self.context.clock, self.context.clock.now()
        while not all(map(self.context.is_current, self.context.replicas.values())):
            # A core that is away for long is no reason to be unreachable: people need to see why.
            if clock.now() - started > OPENING_LIMIT_SECONDS:
                break
            await asyncio.sleep(0.02)
        if not self.context.is_lame_duck:
            try:
                await self.open()
            except OSError as error:
                raise errors.PortTakenError(str(error)) from None

    async def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def abort_connections(self) -> None:
        """The end: a client that does not read must not keep a connection's task, and so the process."""
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def on_response(
        self, request: sanic.request.Request, response: sanic.response.BaseHTTPResponse
    ) -> None:
        # A kept connection would bring more work to a node that is leaving.
        if self.context.is_lame_duck or self.context.is_draining:
            response.headers["Connection"] = "close"

    def on_error(self, request: sanic.request.Request, error: Exception) -> sanic.response.HTTPResponse:
        if isinstance(error, errors.IrisError):
            return as_fault(error)
        if isinstance(error, sanic.exceptions.SanicException):
            status = error.status_code or 500
            # Sanic calls an oversized head an oversized payload; HTTP has a status of its own for it.
            if status == 413 and "header" in str(error).lower():
                status = 431
            remedy = "send what the operators' page describes, within its limits"
            headers = {"Retry-After": "1"} if status in (502, 503, 504) else None
            content = {"code": f"http-{status}", "message": str(error), "remedy": remedy}
            return as_json(content, status, headers)
        event_log.record("crash", error=repr(error))
        self.ring.write_out(f"error in a request: {error!r}")
        return as_fault(errors.IrisError("an error of this node's own"))

    def is_ready(self) -> tuple[bool, str]:
        if self.context.is_lame_duck or self.context.is_draining:
            return False, "draining"
        for copy in self.context.replicas.values():
            if not self.context.is_current(copy):
                return False, f"the {copy.name} table is not known to be current"
        settings = self.context.settings
        # The core works on wherever it is; only clients' work is kept away.
        if self.context.role == "edge" and self.context.is_evacuated(settings.site):
            return False, f"site {settings.site} is evacuated"
        if self.context.role == "edge" and self.context.is_standby(settings.machine):
            return False, f"machine {settings.machine} rests"
        return True, "ready"

    async def live(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        return as_json({"live": True})

    async def ready(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        is_ready, why = self.is_ready()
        return as_json({"ready": is_ready, "why": why}, 200 if is_ready else 503)

    async def status(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        return as_json(self.context.status())

    async def counters(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        return sanic.response.text(
            self.context.counters.text(), content_type="text/plain; version=0.0.4; charset=utf-8"
        )

    async def write_ring(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        return as_json({"written": self.ring.write_out("asked for by an operator")})
