"""An origin on a loopback socket that parses requests as leniently as RFC 9112 (2.2, 5.1, 5.2) allows."""

import asyncio
import typing


class Run(typing.NamedTuple):
    """A request as the origin parsed it: header names in lower case, values without blanks around them."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def value(self, name):
        return dict(self.headers).get(name)


class LenientOrigin:
    """An origin that accepts a lone LF as the end of a line, blanks around header names, and folded lines."""

    def __init__(self):
        self.runs = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**20)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while run := await self.read(reader):
                self.runs.append(run)
                request_id = (run.value("x-request-id") or "").encode("latin-1")
                id_line = b"X-Request-Id: %b\r\n" % request_id if request_id else b""
                body = b"" if run.method == "HEAD" else b"done"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Digest: seal\r\n" + id_line)
                writer.write(b"Content-Length: 4\r\n\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def read_line(self, reader):
        """Return a line without its line end (LF or CRLF), or None at the end of the connection."""
        line = await reader.readline()
        return line.rstrip(b"\r\n") if line else None

    async def read(self, reader):
        line = b""
        while not line:
            line = await self.read_line(reader)
            if line is None:
                return None
        method, target, *_ = [*line.decode("latin-1").split(), "", ""]
        headers = []
        while field := await self.read_line(reader):
            if field[:1] in b" \t" and headers:
                name, value = headers.pop()
                headers.append((name, value + " " + field.decode("latin-1").strip(" \t")))
                continue
            name, _, value = field.decode("latin-1").partition(":")
            headers.append((name.strip().lower(), value.strip(" \t")))
        return Run(method, target, tuple(headers), await self.read_body(reader, dict(headers)))

    async def read_body(self, reader, headers):
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = b""
            while size := int(((await self.read_line(reader)) or b"0").split(b";")[0].strip(), 16):
                body += await reader.readexactly(size)
                await self.read_line(reader)
            await self.read_line(reader)
            return body
        return await reader.readexactly(int(headers.get("content-length", "0").split(",")[0]))
