"""Calls to peers over one outgoing connection for each peer address, and the server for the peers' calls."""

import asyncio
import typing

from irisstand import counters, errors
from irisstand.transport import codec, network, peer_connection, request_server

# If a call with at least this timeout ends without a single frame from the peer, its connection gets no new
# requests.
UNRESPONSIVE_SECONDS = 0.5


class Transport(request_server.RequestServer):
    """Sends requests to peers and serves theirs, as docs/control/connections.md describes.

    Attributes:
        connections: The newest outgoing connection by the peer's address; it may be closed by now.
        connect_locks: A lock by address, so that concurrent calls to a peer open only one connection.
    """

    def __init__(self, net: network.Network, counters: counters.Counters, name: str) -> None:
        super().__init__(net, counters, name)
        self.connections: dict[network.Address, peer_connection.PeerConnection] = {}
        self.connect_locks: dict[network.Address, asyncio.Lock] = {}

    async def close(self) -> None:
        """Close the listener, the outgoing connections and the incoming ones."""
        for connection in list(self.connections.values()):
            connection.close()
            if connection.reader_task is not None:
                connection.reader_task.cancel()
        await super().close()

    async def connect(self, address: network.Address, name: str) -> peer_connection.PeerConnection:
        """Return a usable connection to the peer `name`, and open one if there is none.

        Args:
            address: The address at which the peer is expected; another node may have it by now.
            name: The node name that the peer's hello must contain; "" for any.

        Raises:
            NotSentError: Another node answers at the address.
            MalformedFrameError: The peer's hello is malformed.
            OSError: No connection to the address can be opened.
        """
        lock = self.connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self.connections.get(address)
            if connection is not None and connection.is_usable_for(name):
                return connection
            stream = await self.net.connect(address)
            try:
                stream.write(codec.encode(self.hello()))
                hello = codec.decode(await stream.read())
                if not isinstance(hello, codec.Hello) or (name and hello.name != name):
                    # TRY301: raised here so that the except clause below closes the stream.
                    raise errors.NotSentError(f"the node at {address} is not {name}")  # noqa: TRY301
            except BaseException:
                # BaseException covers a cancelled caller, too: the open stream would leak.
                stream.close()
                raise
            connection = peer_connection.PeerConnection(stream, hello, self.counters)
            connection.reader_task = asyncio.create_task(connection.read_responses())
            self.connections[address] = connection
            return connection

    def is_unresponsive(self, address: network.Address, since: float) -> bool:
        """Return whether the connection to a peer has received nothing since a time, or does not exist.

        Args:
            address: The peer's address.
            since: A time of the event loop's clock, in seconds.
        """
        connection = self.connections.get((address[0], address[1]))
        return connection is None or connection.last_received_at < since

    def retire(self, address: network.Address) -> None:
        """Send no new requests on the connection to a peer; pending calls may still get their responses."""
        connection = self.connections.get((address[0], address[1]))
        if connection is not None and connection.is_usable_for(""):
            connection.close_when_idle()

    async def call(  # noqa: PLR0913, PLR0917 - every caller gives peer, request and timeout
        self,
        address: network.Address,
        name: str,
        kind: str,
        body: tuple[typing.Any, ...],
        timeout_seconds: float,
        incarnation_id: str = "",
    ) -> typing.Any:
        """Send a request to a peer and wait for its response.

        Args:
            address: The peer's address.
            name: The peer's node name; "" for any node that answers at the address.
            kind: The name of the peer's handler.
            body: The argument of the handler.
            timeout_seconds: The time limit for the connection and the response together, in seconds.
            incarnation_id: The only incarnation of the peer that may execute the request; "" for the one in
                the peer's hello.

        Returns:
            The decoded body of the response, which is not checked.

        Raises:
            NotSentError: Certainly no byte of the request was sent.
            UnansweredError: The request was sent, and may have been executed.
            IrisError: The peer rejected the request, or its handler raised this error.
        """
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        address = (address[0], address[1])
        peer = name or address
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self.connect(address, name)
        except (OSError, TimeoutError, errors.MalformedFrameError, ValueError, TypeError) as error:
            raise errors.NotSentError(f"no connection to {peer}: {codec.drop_reason(error)}") from None
        # There is no await between here and the write, so the connection cannot close unnoticed in between.
        try:
            call = connection.send(kind, body, incarnation_id)
        except OSError:
            raise errors.NotSentError(f"the connection to {peer} was closed before the request") from None
        self.counters.add("frames_sent", kind=kind)
        try:
            async with asyncio.timeout_at(deadline):
                await connection.stream.flush()
                return await call.response
        except TimeoutError:
            connection.cancel(call.number)
            # A machine that lost power never closes its connections. A connection on which nothing arrives
            # therefore gets no new requests, but its pending calls may still be answered.
            is_unresponsive = connection.last_received_at < deadline - timeout_seconds
            if timeout_seconds >= UNRESPONSIVE_SECONDS and is_unresponsive:
                connection.close_when_idle()
            raise errors.UnansweredError(f"{peer} sent no response before the timeout") from None
        except OSError:
            raise errors.UnansweredError(f"the connection to {peer} broke before the response") from None
        except asyncio.CancelledError:
            connection.cancel(call.number)
            raise
