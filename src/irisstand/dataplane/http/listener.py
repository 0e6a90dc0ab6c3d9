"""The clients' listener of an edge that reaches origins by itself: sanic's requests to ours, and back."""

import asyncio

import sanic.exceptions
import sanic.request
import sanic.response

from irisstand import errors, event_log, node_context, node_settings
from irisstand.dataplane.nodes import direct

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Sanic writes these itself.
SANIC_HEADERS = frozenset(("connection", "keep-alive", "content-length", "transfer-encoding", "content-type"))


class ClientListener:
    def __init__(
        self, context: node_context.NodeContext, part: direct.DirectNode, address: node_settings.Address
    ) -> None:
        self.context, self.part, self.address = context, part, address
        name = "irisstand_front_" + "".join(c if c.isalnum() else "_" for c in context.settings.name)
        self.app = sanic.Sanic(name, configure_logging=False)
        self.app.config.update(
            {"MOTD": False, "ACCESS_LOG": False, "RESPONSE_TIMEOUT": 120, "TOUCHUP": False}
        )
        self.follow()
        context.configuration.watchers.append(self.follow)
        self.app.error_handler.add(Exception, self.on_error)

        async def serve(request: sanic.request.Request, rest: str = "") -> sanic.response.HTTPResponse:
            return await self.serve(request)

        # Streamed, so that the time for a body is this listener's own; sanic marks the handler as such.
        self.app.add_route(serve, "/", methods=METHODS, name="root", stream=True)
        self.app.add_route(serve, "/<rest:path>", methods=METHODS, name="rest", stream=True)
        self.server = None
        context.close_callbacks.append(self.abort_connections)

    def follow(self) -> None:
        """The operators' limits; a connection takes those that stand when it opens."""
        self.part.table.refresh()
        limits = self.part.table.limits
        self.app.config.update(
            {
                "REQUEST_MAX_SIZE": limits.body_bytes,
                "REQUEST_MAX_HEADER_SIZE": limits.header_bytes,
                "REQUEST_TIMEOUT": max(1.0, limits.header),
                "KEEP_ALIVE_TIMEOUT": max(1.0, limits.idle),
            }
        )

    async def open_when_current(self) -> None:
        """A node just started would only turn clients away: it listens once it can answer them."""
        while not all(map(self.context.is_current, self.context.replicas.values())):
            await asyncio.sleep(0.02)
        if self.context.is_lame_duck:
            return
        try:
            self.server = await self.app.create_server(
                host=self.address[0],
                port=self.address[1],
                return_asyncio_server=True,
                access_log=False,
                backlog=512,
            )
            await self.server.startup()
            await self.server.start_serving()
        except OSError as error:
            raise errors.PortTakenError(str(error)) from None

    async def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.context.has_pending_work = self.release

    def release(self) -> bool:
        """Close connections on which nothing is read or asked; True while any is left.

        A node that ended with one open could read a request in its last moment, and leave it unanswered.
        """
        connections = self.server.connections
        for connection in list(connections):
            if not connection.recv_buffer:
                connection.close_if_idle()
        return bool(connections)

    def abort_connections(self) -> None:
        """The end: a client that does not read must not keep a connection's task, and so the process."""
        for connection in list(self.server.connections) if self.server is not None else ():
            if connection.transport is not None:
                connection.transport.abort()

    async def read_body(self, request: sanic.request.Request) -> bytes:
        """The whole body; 408 once nothing came for as long as the limits let a connection be idle, 413 over
        the limits' size.
        """
        pieces: list[bytes] = []
        left = self.part.table.limits.body_bytes
        while request.stream.request_body:
            try:
                async with asyncio.timeout(max(1.0, self.part.table.limits.idle)):
                    piece = await request.stream.read()
            except TimeoutError:
                # What is left of it would be waited for again before the connection could close.
                request.stream.request_body = None
                raise sanic.exceptions.RequestTimeout("the body stopped before it was whole") from None
            pieces.append(piece or b"")
            left -= len(pieces[-1])
            if left < 0:
                raise sanic.exceptions.PayloadTooLarge("the body is over the limit")
        return b"".join(pieces)

    async def serve(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        body = await self.read_body(request)
        headers: dict[str, str] = {}
        for name, value in request.headers.items():
            key = name.lower()
            headers[key] = f"{headers[key]}, {value}" if key in headers else value
        asked = direct.Request(request.method, request.raw_url, headers.pop("host", ""), headers, body)
        # A client that goes away does not take back what an origin is at work on.
        task = asyncio.get_running_loop().create_task(self.answer(asked))
        with self.context.count_in_flight():
            response = await asyncio.shield(task)
        # A kept connection would bring more work to a node that is leaving.
        if self.context.is_lame_duck or self.context.is_draining:
            request.stream.keep_alive = False
        return response

    async def answer(self, asked: direct.Request) -> sanic.response.HTTPResponse:
        try:
            status, headers, body = await self.part.handle(asked)
        except errors.IrisError as error:
            return self.as_fault(error)
        except asyncio.CancelledError:
            # Something that this request shared was given up; to sanic it would look like its client's going.
            self.context.counters.add("requests_crashed")
            return self.as_fault(errors.OutcomeUnknownError("what this request waited for was given up"))
        except Exception as error:
            event_log.record("crash", error=repr(error))
            self.context.counters.add("requests_crashed")
            return self.as_fault(errors.OutcomeUnknownError("an error of this node's own"))
        kept = {name: value for name, value in headers.items() if name not in SANIC_HEADERS}
        content_type = headers.get("content-type", "application/octet-stream")
        return sanic.response.HTTPResponse(body, status, kept, content_type)

    def as_fault(self, error: errors.IrisError) -> sanic.response.HTTPResponse:
        headers = {"Cache-Control": "no-store"}
        # Told at once when to come back, to a part of a second.
        if error.retry_after:
            headers["Retry-After"] = f"{error.retry_after:.2f}"
        return sanic.response.json(error.to_json(), error.status, headers)

    def on_error(self, request: sanic.request.Request, error: Exception) -> sanic.response.HTTPResponse:
        status = getattr(error, "status_code", None) or 500
        if status == 408 and request.stream is not None:
            request.stream.keep_alive = False
        # Sanic calls an oversized head an oversized payload; HTTP has a status of its own for it.
        if status == 413 and "header" in str(error).lower():
            status = 431
        remedy = "send what the operators' page describes, within its limits"
        content = {"code": f"http-{status}", "message": str(error), "remedy": remedy}
        return sanic.response.json(content, status)
