"""Connections of a shield to origins: confirmed by a probe, and never silently reopened."""

import asyncio
import collections.abc
import json
import typing

import aiohttp

from irisstand import errors
from irisstand.dataplane.upstream import connection_state

BODY_LIMIT_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 65536
# The origin closes idle connections; this is only to keep the library from doing so.
KEEP_ALIVE_SECONDS = 3600
HEALTHY_STATUS = 200


class Answer(typing.NamedTuple):
    """An origin's complete answer; header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class UpstreamConnection(typing.Protocol):
    """One connection to an origin.

    `may_have_sent` is True from just before the first byte of a request may have left, until whoever manages
    the connection resets it.
    """

    may_have_sent: bool

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry a further request, as far as is known."""
        ...

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_seconds: float
    ) -> Answer:
        """Send one request and return its complete answer."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


ConnectionOpener = collections.abc.Callable[[str, int], collections.abc.Awaitable[UpstreamConnection]]


class ConnectionReopenedError(OSError):
    """The library was about to open a second connection in a session that had one."""

    # Texts of errors that go back to edges name the kind by this word.
    kind = "Reopened"


class HttpConnection:
    """A client session that may open exactly one connection in its life."""

    def __init__(self, host: str, port: int) -> None:
        self.base = f"http://{host}:{port}"
        self.state = connection_state.ConnectionState.NEW
        self.may_have_sent = False
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(self.on_create)
        trace.on_connection_reuseconn.append(self.on_reuse)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=KEEP_ALIVE_SECONDS),
            trace_configs=[trace],
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry a further request, as far as is known."""
        return self.state is not connection_state.ConnectionState.CLOSED

    async def on_create(self, *_: typing.Any) -> None:
        """Let the library open the one connection, and no other."""
        # aiohttp reopens a dead connection and sends again by itself. Whoever answers there now was not
        # confirmed, and the request may have run already: so the connection ends instead.
        if self.state is not connection_state.ConnectionState.NEW:
            self.state = connection_state.ConnectionState.CLOSED
            raise ConnectionReopenedError("the connection was gone")
        self.state = connection_state.ConnectionState.OPEN

    async def on_reuse(self, *_: typing.Any) -> None:
        """Note that the library is about to send on the connection that it has."""
        self.may_have_sent = True

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_seconds: float
    ) -> Answer:
        """Send one request and return its complete answer.

        Raises:
            ConnectionReopenedError: the connection was closed, and nothing has been sent.
            UnsealedResultError: the body is over the limit.
            TimeoutError: no complete answer came in time.
            OSError: the connection failed.
        """
        if self.state is connection_state.ConnectionState.NEW:
            self.may_have_sent = True
        url = self.base + target
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self.session.request(
                    method, url, headers=headers, data=body or None, allow_redirects=False
                ) as response:
                    return await self.read(response)
        except aiohttp.ClientOSError as error:
            self.state = connection_state.ConnectionState.CLOSED
            # The library wraps what its own hook raised; whoever asks should see the plain kind.
            if isinstance(error.__cause__, ConnectionReopenedError):
                raise error.__cause__ from None
            raise
        except BaseException:
            # Half an exchange cannot be carried on; the next request would read this one's answer.
            self.state = connection_state.ConnectionState.CLOSED
            raise

    async def read(self, response: aiohttp.ClientResponse) -> Answer:
        """Return the complete answer."""
        content = bytearray()
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            content += chunk
            # An endless body must not fill this process's memory.
            if len(content) > BODY_LIMIT_BYTES:
                raise errors.UnsealedResultError(f"the body is over {BODY_LIMIT_BYTES} bytes")
        headers = {name.lower(): value for name, value in response.headers.items()}
        if headers.get("connection", "").lower() == "close":
            self.state = connection_state.ConnectionState.CLOSED
        return Answer(response.status, headers, bytes(content))

    async def close(self) -> None:
        """Close the connection."""
        self.state = connection_state.ConnectionState.CLOSED
        await self.session.close()


async def open_http(host: str, port: int) -> UpstreamConnection:
    """Return a connection to an origin; it is opened by its first request."""
    return HttpConnection(host, port)


async def confirm_identity(
    connection: UpstreamConnection, probe: str, service: str, instance: str, timeout_seconds: float
) -> None:
    """Probe a connection: the origin must name the service and the instance that are meant.

    Raises:
        WrongServiceError: another origin answers there.
        NoOriginError: the origin is not healthy.
    """
    try:
        status, _, body = await connection.send("GET", probe, {}, b"", timeout_seconds)
        named = json.loads(body)
        found = (named.get("service"), named.get("instance"))
    except (ValueError, AttributeError):
        raise errors.WrongServiceError("the probe's answer names no service") from None
    if found != (service, instance):
        raise errors.WrongServiceError(f"{found[0]}/{found[1]} answers where {service}/{instance} should")
    if status != HEALTHY_STATUS:
        raise errors.NoOriginError(f"the probe of {instance} answered {status}")
