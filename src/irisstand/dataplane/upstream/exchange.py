"""A connection to an origin, one request at a time, that tells a surplus answer by its id.

aiohttp's client hands whatever comes on an idle connection to the next request, and opens and sends
again by itself;
here both would break a rule, so the answers are parsed by httptools and the connection is our own
(docs/platform.md).
"""

import asyncio
import collections.abc
import typing

import httptools

from irisstand import errors

BODY_LIMIT = 64 * 1024 * 1024
# An idle connection is given up this long before its origin said it would close it.
IDLE_MARGIN = 1.0
IDLE_DEFAULT = 4.0
# Answers that belong to no request here, read past before the connection is given up.
SURPLUS_LIMIT = 3


class Answer(typing.NamedTuple):
    """Header names in lower case, in the order in which they came."""

    status: int
    headers: dict[str, str]
    body: bytes


# The connection ended, or brought bytes that are no answer, before the answer was whole.
Broken = errors.OriginFailedError


class Exchange(asyncio.Protocol):
    """`touched` is True from just before the first byte of a request may have left."""

    def __init__(self, id_header: str) -> None:
        self.id_header = id_header
        self.alive, self.touched = True, False
        # Set from the first request on: what comes after it may be a surplus answer to it.
        self.is_used, self.is_first = False, True
        self.transport: asyncio.Transport | None = None
        self.parser: typing.Any = None
        self.request_id = ""
        self.method = ""
        self.waiting: asyncio.Future | None = None
        self.surplus = 0
        self.idle_limit = IDLE_DEFAULT
        self.idle_since = asyncio.get_running_loop().time()
        self.started_reading = False
        self.reset()

    def reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_whole = False
        self.began = False

    # -- the connection's side -----------------------------------------------------------------------
    def connection_made(self, transport: typing.Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        # Nobody waits for an answer here: what comes belongs to no request.
        if self.waiting is None or self.waiting.done():
            self.end(None)
            return
        self.started_reading = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            self.end(Broken(f"the origin sent bytes that are no answer: {type(error).__name__}"))

    def connection_lost(self, error: Exception | None) -> None:
        # An answer without length or chunks would end here, but then nothing shows that it is whole.
        self.end(Broken("the origin closed the connection before its answer was whole"))

    def end(self, error: Exception | None) -> None:
        self.alive = False
        if self.transport is not None:
            self.transport.close()
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(error or Broken("the connection was given up"))

    # -- the parser's side ---------------------------------------------------------------------------
    def on_message_begin(self) -> None:
        # A second answer behind the first, in the same bytes: it belongs to no request.
        if self.waiting is None or self.waiting.done():
            self.alive = False
        self.headers, self.body, self.is_whole = {}, bytearray(), False

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        self.headers[key] = f"{self.headers[key]}, {text}" if key in self.headers else text

    def on_headers_complete(self) -> None:
        # Only a length or chunks show where an answer ends.
        status = self.parser.get_status_code()
        bodiless = self.method == "HEAD" or status in (204, 304) or status < 200
        framed = "content-length" in self.headers or "chunked" in self.headers.get("transfer-encoding", "")
        if not framed and not bodiless:
            raise ValueError("an answer without length or chunks")
        if status < 200:
            raise ValueError("not an answer that this connection can carry")
        # The parser waits for the body that a HEAD's answer only announces.
        if self.method == "HEAD" and self.waiting is not None and not self.waiting.done():
            if not self.is_meant():
                raise ValueError("an answer that does not name its request")
            self.alive = False
            self.waiting.set_result(Answer(status, self.headers, b""))

    def is_meant(self) -> bool:
        """Whether the answer is this request's. Without an id that is certain only of a connection's first.

        Believed of a surplus answer, "did not run" would have an unrepeatable request sent a second time.
        """
        found = self.headers.get(self.id_header)
        return self.is_first if found is None else found == self.request_id

    def on_body(self, body: bytes) -> None:
        self.body += body
        # An endless body must not fill this process's memory.
        if len(self.body) > BODY_LIMIT:
            raise ValueError("an endless body")

    def on_message_complete(self) -> None:
        if self.waiting is None or self.waiting.done():
            return
        found = self.headers.get(self.id_header)
        # A late answer to an earlier request in the place of this one's: the right one comes behind it.
        if found is not None and found != self.request_id:
            self.surplus += 1
            if self.surplus > SURPLUS_LIMIT:
                raise ValueError("too many answers to other requests")
            return
        if not self.is_meant():
            raise ValueError("an answer that does not name its request")
        # It was given before the request had left whole: what is left of that would go on after it.
        if self.transport.get_write_buffer_size():
            self.alive = False
        status = self.parser.get_status_code()
        if "close" in self.headers.get("connection", "").lower() or not self.parser.should_keep_alive():
            self.alive = False
        for part in self.headers.get("keep-alive", "").split(","):
            name, _, seconds = part.strip().partition("=")
            if name == "timeout" and seconds.isdigit():
                self.idle_limit = max(0.0, int(seconds) - IDLE_MARGIN)
        self.waiting.set_result(Answer(status, self.headers, bytes(self.body)))

    # -- the asker's side ----------------------------------------------------------------------------
    def is_usable(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self.alive and now - self.idle_since < self.idle_limit

    async def send(
        self,
        method: str,
        target: bytes,
        headers: collections.abc.Iterable[tuple[str, str]],
        body: bytes,
        request_id: str,
    ) -> Answer:
        """One request and its answer; a cancelled one leaves the connection unusable."""
        lines = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
        for name, value in headers:
            lines += [name.encode("latin-1"), b": ", value.encode("latin-1"), b"\r\n"]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(b"content-length: %d\r\n" % len(body))
        lines += [b"\r\n", body]
        self.reset()
        self.method, self.request_id = method, request_id
        self.waiting = asyncio.get_running_loop().create_future()
        # Closed, but not yet told so: what is written now would go nowhere.
        if self.transport.is_closing():
            self.waiting = None
            self.end(None)
            raise Broken("the connection was closed before the request could leave")
        self.touched = True
        self.is_first, self.is_used = not self.is_used, True
        try:
            self.transport.write(b"".join(lines))
            return await self.waiting
        except BaseException:
            # Half a conversation cannot be carried on: the next request would read this one's answer.
            self.end(None)
            raise
        finally:
            self.waiting = None
            self.idle_since = asyncio.get_running_loop().time()

    def close(self) -> None:
        self.end(None)


Connect = collections.abc.Callable[[str, int], collections.abc.Awaitable[Exchange]]


def connector(id_header: str) -> Connect:
    async def connect(host: str, port: int) -> Exchange:
        loop = asyncio.get_running_loop()
        _, made = await loop.create_connection(lambda: Exchange(id_header), host, port)
        return made

    return connect
