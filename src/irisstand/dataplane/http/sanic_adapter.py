"""Adapts sanic's requests and responses to those of an edge that forwards requests to shields."""

import urllib.parse

import sanic.request
import sanic.response

from irisstand import drain_guard, errors, web
from irisstand.dataplane.http import client_departures
from irisstand.dataplane.nodes import edge as edge_node

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
WorkState = drain_guard.WorkState
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class SanicAdapter:
    """Serves clients on all paths that the node's own pages do not use.

    Args:
        server: The node's HTTP server, to which the routes are added.
        edge: The edge that handles the requests.
    """

    def __init__(self, server: web.HttpServer, edge: edge_node.Edge) -> None:
        self.edge = edge
        server.app.add_route(self.serve, "/", methods=METHODS, name="root")
        server.app.add_route(self.serve, "/<rest:path>", methods=METHODS, name="rest")

    async def serve(self, request: sanic.request.Request, rest: str = "") -> sanic.response.HTTPResponse:
        """Return the response to a client's request.

        Args:
            request: The request as sanic parsed it.
            rest: The path without its first slash, which sanic passes in; unused.

        Raises:
            errors.BadRequestError: The path has empty or dotted segments.
        """
        check_path(request.path)
        client_departures.resume_reading(request)
        headers = {name.lower(): value for name, value in request.headers.items()}
        edge_request = edge_node.Request(
            request.method, request.path, request.query_string, headers, request.body or b""
        )
        context = self.edge.context
        # The edge does not know how far shields got with the request; a read may be aborted in any case.
        is_read = request.method in edge_node.READ_METHODS
        work_state = (lambda: WorkState.WITHDRAWABLE) if is_read else (lambda: WorkState.BEGUN)
        try:
            with (
                client_departures.count_departure(context.counters),
                context.drain_guard.fail_at_end(work_state),
            ):
                result = await self.edge.handle(edge_request)
        except errors.IrisError as error:
            return web.error_response(error)
        response_headers = dict(result.headers)
        content_type = response_headers.pop("content-type", DEFAULT_CONTENT_TYPE)
        response_headers["age"] = str(int(result.age))
        body = b"" if request.method == "HEAD" else result.body
        return sanic.response.HTTPResponse(body, result.status, response_headers, content_type)


def check_path(path: str) -> None:
    """Check that a path has no empty or dotted segments.

    With them, one path would have two spellings and a purge would miss one of them, and dots could lead out
    of an allowed path.

    Raises:
        errors.BadRequestError: The path has empty or dotted segments.
    """
    parts = urllib.parse.unquote(path).split("/")
    if "//" in path or any(part in (".", "..") for part in parts):
        raise errors.BadRequestError(
            "the path has empty segments or the segments . or ..", "send the plain path"
        )
