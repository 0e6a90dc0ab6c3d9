"""Sanic's connection protocol with strict checks, and with the bytes that each connection holds counted."""

import asyncio
import typing

import sanic.exceptions
import sanic.http
import sanic.server.protocols.http_protocol

from irisstand.http1 import connection_budget, strict_http


class StrictHttpProtocol(sanic.server.protocols.http_protocol.HttpProtocol):
    """Sanic's HTTP protocol, with `strict_http.StrictHttp` to receive the requests.

    Attributes:
        budget: What the connection holds of the budget of the process, `app.ctx.budget`.
        has_received: Whether bytes have arrived since the head of the last request was read.
    """

    __slots__ = ("budget", "has_received")

    HTTP_CLASS = strict_http.StrictHttp
    budget: connection_budget.ConnectionBudget
    has_received: bool

    def connection_made(self, transport: typing.Any) -> None:
        """Serve a new connection, unless the process has too many."""
        parent: typing.Any = super()
        self.has_received = False
        parent.connection_made(transport)
        process_budget = self.app.ctx.budget
        holding = process_budget.open_connection(self)
        self.budget = connection_budget.ConnectionBudget(self, holding or process_budget.open())
        if holding is None:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass on the next bytes of the client, and count them."""
        self.has_received = True
        super().data_received(data)
        self.budget.receive(len(data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Let go of all that the connection holds."""
        parent: typing.Any = super()
        parent.connection_lost(exc)
        self.budget.close()
        # Sanic's objects refer to one another, so that only the garbage collector frees the connection.
        self.recv_buffer.clear()
        if self.http is not None:
            self.http.free_request()

    async def wait_until_writable(self) -> None:
        """Wait until the client has read most of what was sent; one that reads nothing is disconnected.

        Raises:
            sanic.exceptions.RequestCancelled: The client has read nothing for as long as it may be idle.
        """
        while not self._can_write.is_set():
            unsent = self.unsent_bytes()
            try:
                async with asyncio.timeout(self.keep_alive_timeout):
                    await self._can_write.wait()
            except TimeoutError:
                if self.unsent_bytes() >= unsent:
                    self.evict()
                    raise sanic.exceptions.RequestCancelled from None

    def is_evictable(self) -> bool:
        """Return whether the connection waits for its client: for a request, or to read a response."""
        http = self.http
        if http is None or self.unsent_bytes():
            return True
        return http.stage in (sanic.http.Stage.IDLE, sanic.http.Stage.REQUEST) or bool(http.request_body)

    def evict(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def unsent_bytes(self) -> int:
        """Return the bytes that are written and not sent yet."""
        if self.transport is None:
            return 0
        unsent: int = self.transport.get_write_buffer_size()
        return unsent
