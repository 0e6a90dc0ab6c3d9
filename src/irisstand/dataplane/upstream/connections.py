"""Lines to origins: one connection each, confirmed for by a probe, and never silently reopened."""

import asyncio
import collections.abc
import json
import typing

import aiohttp

from irisstand import errors

BODY_LIMIT = 4 * 1024 * 1024
Answer = tuple[int, dict[str, str], bytes]


class UpstreamConnection(typing.Protocol):
    """`touched` is True from just before the first byte of a request may have left."""

    alive: bool
    touched: bool

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, patience: float
    ) -> Answer: ...
    async def close(self) -> None: ...


ConnectionOpener = collections.abc.Callable[[str, int], collections.abc.Awaitable[UpstreamConnection]]


class ConnectionReopenedError(OSError):
    """The library was about to open a second connection in a session that had one."""

    # Texts of errors that go back to edges name the kind by this word.
    kind = "Reopened"


class HttpConnection:
    """A client session that may open exactly one connection in its life."""

    def __init__(self, host: str, port: int) -> None:
        self.base = f"http://{host}:{port}"
        self.alive, self.touched, self.opened = True, False, False
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(self.on_create)
        trace.on_connection_reuseconn.append(self.on_reuse)
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=3600)
        self.session = aiohttp.ClientSession(
            connector=connector,
            trace_configs=[trace],
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )

    async def on_create(self, *_: typing.Any) -> None:
        # aiohttp reopens a dead connection and sends again by itself. Whoever answers there now was not
        # confirmed for, and the request may have run already: so the line ends instead.
        if self.opened:
            self.alive = False
            raise ConnectionReopenedError("the connection was gone")
        self.opened = True

    async def on_reuse(self, *_: typing.Any) -> None:
        self.touched = True

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, patience: float
    ) -> Answer:
        if not self.opened:
            self.touched = True
        try:
            async with asyncio.timeout(patience):
                async with self.session.request(
                    method, self.base + target, headers=headers, data=body or None, allow_redirects=False
                ) as response:
                    return await self.read(response)
        except aiohttp.ClientOSError as error:
            self.alive = False
            # The library wraps what its own hook raised; whoever asks should see the plain kind.
            if isinstance(error.__cause__, ConnectionReopenedError):
                raise error.__cause__ from None
            raise
        except BaseException:
            # Half a conversation cannot be carried on; the next request would read this one's answer.
            self.alive = False
            raise

    async def read(self, response: aiohttp.ClientResponse) -> Answer:
        content = bytearray()
        async for chunk in response.content.iter_chunked(65536):
            content += chunk
            # An endless body must not fill this process's memory.
            if len(content) > BODY_LIMIT:
                raise errors.UnsealedResultError(f"the body is over {BODY_LIMIT} bytes")
        headers = {name.lower(): value for name, value in response.headers.items()}
        if headers.get("connection", "").lower() == "close":
            self.alive = False
        return response.status, headers, bytes(content)

    async def close(self) -> None:
        self.alive = False
        await self.session.close()


async def open_http(host: str, port: int) -> UpstreamConnection:
    return HttpConnection(host, port)


async def confirm_current(
    line: UpstreamConnection, probe: str, service: str, instance: str, patience: float
) -> None:
    """The first exchange on a connection: it must name the service and the instance that are meant."""
    try:
        status, _, body = await line.send("GET", probe, {}, b"", patience)
        named = json.loads(body)
        found = (named.get("service"), named.get("instance"))
    except (ValueError, AttributeError):
        raise errors.WrongServiceError("the probe's answer names no service") from None
    if found != (service, instance):
        raise errors.WrongServiceError(f"{found[0]}/{found[1]} answers where {service}/{instance} should")
    if status != 200:
        raise errors.NoOriginError(f"the probe of {instance} answered {status}")
