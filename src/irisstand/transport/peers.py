"""Calls of peers and answers to them: one outgoing connection and one reading task for each peer."""

import asyncio
import typing

from irisstand import counters, errors
from irisstand.transport import codec, network, peer_connection, request_server

# A connection on which a request went unanswered and nothing came for that long is given up.
UNRESPONSIVE_SECONDS = 0.5


class Transport(request_server.RequestServer):
    """All messages between this node and its peers; docs/control/connections.md has the rules."""

    def __init__(self, net: network.Network, counters: counters.Counters, name: str) -> None:
        super().__init__(net, counters, name)
        self.connections: dict[network.Address, peer_connection.PeerConnection] = {}
        self.connect_locks: dict[network.Address, asyncio.Lock] = {}

    async def close(self) -> None:
        """Close the listener and all connections."""
        for connection in list(self.connections.values()):
            connection.close()
            if connection.reader_task is not None:
                connection.reader_task.cancel()
        await super().close()

    async def connect(self, address: network.Address, name: str) -> peer_connection.PeerConnection:
        """Return a usable connection to the peer `name`, opened if there is none.

        Args:
            address: Where the peer is expected; another node may be there by now.
            name: The node name that the hello must bear; "" for any.

        Raises:
            NotSentError: Another node answers at the address.
            MalformedFrameError: The peer's hello is malformed.
            OSError: There is no connection to the address.
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
                    # TRY301: raised here so that the handler below closes the stream.
                    raise errors.NotSentError(f"{address} is not {name} any more")  # noqa: TRY301
            except BaseException:
                # Also when the caller is cancelled: an open stream without an owner would leak.
                stream.close()
                raise
            connection = peer_connection.PeerConnection(stream, hello, self.counters)
            connection.reader_task = asyncio.create_task(connection.read_responses())
            self.connections[address] = connection
            return connection

    def is_unresponsive(self, address: network.Address, since: float) -> bool:
        """Return whether nothing at all has come from a peer since a moment of the event loop's clock."""
        connection = self.connections.get((address[0], address[1]))
        return connection is None or connection.last_received_at < since

    def retire(self, address: network.Address) -> None:
        """Send no new requests on the connection to a peer; what is pending there may still be answered."""
        connection = self.connections.get((address[0], address[1]))
        if connection is not None and connection.is_usable_for(""):
            connection.close_when_idle()

    async def call(  # noqa: PLR0913, PLR0917 - who, what and how long are all needed, and every caller gives them
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
            name: The peer's node name; "" for whoever answers at the address.
            kind: The name of the peer's handler.
            body: What the handler is given.
            timeout_seconds: For the connection and the response together.
            incarnation_id: The only incarnation of the peer that may answer; "" for the one of its hello.

        Returns:
            The decoded body of the response, not checked.

        Raises:
            NotSentError: Certainly, nothing was sent.
            UnansweredError: The request was sent, and may have been carried out.
            IrisError: What the peer's handler raised.
        """
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        address = (address[0], address[1])
        peer = name or address
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self.connect(address, name)
        except (OSError, TimeoutError, errors.MalformedFrameError, ValueError, TypeError) as error:
            raise errors.NotSentError(f"{peer}: {codec.drop_reason(error)}") from None
        # Nothing is awaited between this point and the write, so a closed connection is known as such.
        try:
            call = connection.send(kind, body, incarnation_id)
        except OSError:
            raise errors.NotSentError(f"{peer}: the connection was closed") from None
        self.counters.add("frames_sent", kind=kind)
        try:
            async with asyncio.timeout_at(deadline):
                await connection.stream.flush()
                return await call.response
        except TimeoutError:
            connection.cancel(call.number)
            # A machine that lost its power never closes a connection. One that is silent gets no new
            # requests, while those that it has may still be answered.
            is_unresponsive = connection.last_received_at < deadline - timeout_seconds
            if timeout_seconds >= UNRESPONSIVE_SECONDS and is_unresponsive:
                connection.close_when_idle()
            raise errors.UnansweredError(f"{peer} gave no result in time") from None
        except OSError:
            raise errors.UnansweredError(f"{peer}: the connection broke") from None
        except asyncio.CancelledError:
            connection.cancel(call.number)
            raise
