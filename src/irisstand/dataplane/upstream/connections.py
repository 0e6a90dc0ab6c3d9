"""A shield's connections to origins, which confirm the origin's identity and are never silently reopened."""

import asyncio
import collections.abc
import json
import typing

import aiohttp

from irisstand import errors, resource_budget
from irisstand.dataplane.upstream import connection_state

BODY_LIMIT_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 65536
# The idle timeout of aiohttp, long enough that only the origin closes idle connections.
KEEP_ALIVE_SECONDS = 3600
HEALTHY_STATUS = 200


class Answer(typing.NamedTuple):
    """An origin's complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class UpstreamConnection(typing.Protocol):
    """A connection to an origin, for one request at a time.

    `may_have_sent` is set just before the first byte of a request may be sent. The owner of the connection
    clears it.
    """

    may_have_sent: bool

    @property
    def is_open(self) -> bool:
        """Whether the connection may carry another request, as far as is known."""
        ...

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_seconds: float
    ) -> Answer:
        """Send one request and return its complete response."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...


ConnectionOpener = collections.abc.Callable[[str, int], collections.abc.Awaitable[UpstreamConnection]]


class ConnectionReopenedError(OSError):
    """Raised when aiohttp is about to open a second connection in a session that has had one."""

    # The name of this error in the error texts that are sent to edges.
    kind = "Reopened"


class HttpConnection:
    """An aiohttp session that opens exactly one connection.

    Args:
        host: The origin's host.
        port: The origin's port.
        budget: The budget in which responses count while they arrive; None if they do not.
    """

    def __init__(self, host: str, port: int, budget: resource_budget.ResourceBudget | None = None) -> None:
        self.budget = budget
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
        """Whether the connection may carry another request, as far as is known."""
        return self.state is not connection_state.ConnectionState.CLOSED

    async def on_create(self, *_: typing.Any) -> None:
        """Allow aiohttp to open the first connection of the session, and reject any further one."""
        # aiohttp replaces a dead connection and sends the request again by itself. The process that accepts
        # the new connection has not confirmed its identity, and the request may already have run, so the
        # connection is closed instead.
        if self.state is not connection_state.ConnectionState.NEW:
            self.state = connection_state.ConnectionState.CLOSED
            raise ConnectionReopenedError("the origin closed the connection, and it is not reopened")
        self.state = connection_state.ConnectionState.OPEN

    async def on_reuse(self, *_: typing.Any) -> None:
        """Record that aiohttp is about to send a request on the existing connection."""
        self.may_have_sent = True

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes, timeout_seconds: float
    ) -> Answer:
        """Send one request and return its complete response.

        Raises:
            ConnectionReopenedError: The connection was closed before, and nothing has been sent.
            ResponseIntegrityError: The response body is over the size limit.
            TimeoutError: No complete response came in time.
            OSError: The connection failed.
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
            # aiohttp wraps the error that `on_create` raised; the caller gets the original error.
            if isinstance(error.__cause__, ConnectionReopenedError):
                raise error.__cause__ from None
            raise
        except BaseException:
            # After an incomplete exchange, the next request would read the response to this one.
            self.state = connection_state.ConnectionState.CLOSED
            raise

    async def read(self, response: aiohttp.ClientResponse) -> Answer:
        """Read the body, and return the complete response."""
        holding = None if self.budget is None else self.budget.open()
        content = bytearray()
        try:
            async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                content += chunk
                # An endless body must not exhaust the memory of this process.
                if len(content) > BODY_LIMIT_BYTES:
                    raise errors.ResponseIntegrityError(f"the response body is over {BODY_LIMIT_BYTES} bytes")
                if holding is not None and not holding.try_set(len(content)):
                    raise errors.OriginFailedError("this node has no memory left for the response")
        finally:
            if holding is not None:
                holding.close()
        headers = {name.lower(): value for name, value in response.headers.items()}
        if headers.get("connection", "").lower() == "close":
            self.state = connection_state.ConnectionState.CLOSED
        return Answer(response.status, headers, bytes(content))

    async def close(self) -> None:
        """Close the connection."""
        self.state = connection_state.ConnectionState.CLOSED
        await self.session.close()


async def open_http(
    host: str, port: int, budget: resource_budget.ResourceBudget | None = None
) -> UpstreamConnection:
    """Return a connection to an origin; the TCP connection is opened by the first request."""
    return HttpConnection(host, port, budget)


async def confirm_identity(
    connection: UpstreamConnection, probe: str, service: str, instance: str, timeout_seconds: float
) -> None:
    """Send a health probe, and check that the expected service and instance answer it.

    Args:
        connection: The connection to send the probe on.
        probe: The path of the health probe.
        service: The name of the expected service.
        instance: The name of the expected origin instance.
        timeout_seconds: How long to wait for the response, in seconds.

    Raises:
        WrongServiceError: Another origin answers there.
        NoOriginError: The origin is unhealthy.
    """
    try:
        status, _, body = await connection.send("GET", probe, {}, b"", timeout_seconds)
        named = json.loads(body)
        found = (named.get("service"), named.get("instance"))
    except (ValueError, AttributeError):
        raise errors.WrongServiceError("the response to the health probe names no service") from None
    if found != (service, instance):
        raise errors.WrongServiceError(
            f"origin {found[0]}/{found[1]} answers the health probe in place of {service}/{instance}"
        )
    if status != HEALTHY_STATUS:
        raise errors.NoOriginError(f"origin {instance} answered the health probe with status {status}")
