"""The edge's HTTP face: from sanic's request to ours, and from our result to sanic's response."""

import asyncio
import urllib.parse

import sanic.exceptions
import sanic.request
import sanic.response

from irisstand import errors, web
from irisstand.dataplane.nodes import edge as edges

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class SanicAdapter:
    def __init__(self, server: web.HttpServer, edge: edges.Edge) -> None:
        self.edge, self.web = edge, server
        server.app.add_route(self.serve, "/", methods=METHODS, name="root")
        server.app.add_route(self.serve, "/<rest:path>", methods=METHODS, name="rest")

    async def serve(self, request: sanic.request.Request, rest: str = "") -> sanic.response.HTTPResponse:
        path = request.path
        # Two spellings of one path would be two objects to a purge, and dots would climb out of a grant.
        if "//" in path or any(part in (".", "..") for part in urllib.parse.unquote(path).split("/")):
            raise errors.BadRequestError("the path has empty or dotted parts", "send the plain path")
        headers = {name.lower(): value for name, value in request.headers.items()}
        asked = edges.Request(request.method, path, request.query_string, headers, request.body or b"")
        try:
            result = await self.edge.handle(asked)
        except asyncio.CancelledError:
            raise
        except errors.IrisError as error:
            return web.error_response(error)
        kept = dict(result.headers)
        content_type = kept.pop("content-type", "application/octet-stream")
        kept["age"] = str(int(result.age))
        body = b"" if request.method == "HEAD" else result.body
        return sanic.response.HTTPResponse(body, result.status, kept, content_type)
