"""Tests of writes to a closed connection, which uvloop refuses before it calls connection_lost().

Until that call, the connection looks open to its owner. Callers must get a typed error for such a write.
"""

import asyncio

import pytest
import uvloop

from irisstand import counters, errors
from irisstand.dataplane.upstream import connector, exchange
from irisstand.transport import network, peers


async def listen(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()


async def read_until_closed(reader, writer):
    await reader.read()
    writer.close()


def test_request_on_a_closed_upstream_connection_was_not_sent():
    async def scenario():
        server, address = await listen(read_until_closed)
        upstream_connection = await connector.connector("x-request-id")(*address)
        upstream_connection.transport.abort()
        with pytest.raises(exchange.ConnectionBrokenError):
            await upstream_connection.send("POST", b"/x", [("host", "h")], b"", "a")
        server.close()
        return upstream_connection.may_have_sent, upstream_connection.is_usable()

    assert uvloop.run(scenario()) == (False, False)


def test_call_and_cancellation_on_a_closed_peer_connection_raise_typed_errors():
    async def scenario():
        callee = peers.Transport(network.RealNetwork(), counters.Counters(), "peer")

        async def never_respond(sender, body):
            await asyncio.sleep(60)

        callee.handlers["do"] = never_respond
        server, address = await listen(lambda reader, writer: callee.serve(network.TcpStream(reader, writer)))
        caller = peers.Transport(network.RealNetwork(), counters.Counters(), "caller")
        connection = await caller.connect(address, "peer")
        connection.stream.writer.transport.abort()
        with pytest.raises(errors.NotSentError):
            await caller.call(address, "peer", "do", (), 1.0)
        connection = await caller.connect(address, "peer")
        pending_call = asyncio.create_task(caller.call(address, "peer", "do", (), 5.0))
        await asyncio.sleep(0.05)
        connection.stream.writer.transport.abort()
        pending_call.cancel()
        # A cancelled call must not raise the error of the write: it would end a controller, and its process.
        with pytest.raises((asyncio.CancelledError, errors.UnansweredError)):
            await pending_call
        await caller.close()
        await callee.close()
        server.close()

    uvloop.run(scenario())
