"""uvloop refuses a write on a connection that it has closed, before it tells the protocol of the end."""

import asyncio

import pytest
import uvloop

import irisstand.counters as counting
import irisstand.dataplane.upstream.exchange as exchange
import irisstand.errors as errors
import irisstand.transport.network as network
import irisstand.transport.peers as peers


async def listen(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()


async def silent(reader, writer):
    await reader.read()
    writer.close()


def test_a_request_on_a_connection_just_closed_has_certainly_not_left():
    async def scene():
        server, place = await listen(silent)
        line = await exchange.connector("x-request-id")(*place)
        line.transport.abort()
        with pytest.raises(exchange.ConnectionBrokenError):
            await line.send("POST", b"/x", [("host", "h")], b"", "a")
        server.close()
        return line.may_have_sent, line.is_usable()

    assert uvloop.run(scene()) == (False, False)


def test_asking_and_withdrawing_on_a_link_just_closed_are_typed():
    async def scene():
        asked = peers.Transport(network.RealNetwork(), counting.Counters(), "peer")

        async def never(sender, body):
            await asyncio.sleep(60)

        asked.handlers["do"] = never
        server, place = await listen(lambda reader, writer: asked.serve(network.TcpStream(reader, writer)))
        asker = peers.Transport(network.RealNetwork(), counting.Counters(), "asker")
        connection = await asker.connect(place, "peer")
        connection.stream.writer.transport.abort()
        with pytest.raises(errors.NotSentError):
            await asker.call(place, "peer", "do", (), 1.0)
        connection = await asker.connect(place, "peer")
        asking = asyncio.create_task(asker.call(place, "peer", "do", (), 5.0))
        await asyncio.sleep(0.05)
        connection.stream.writer.transport.abort()
        asking.cancel()
        # The asker's cancellation stays one; an error in its place would end a controller, and its process.
        with pytest.raises((asyncio.CancelledError, errors.UnansweredError)):
            await asking
        await asker.close()
        await asked.close()
        server.close()

    uvloop.run(scene())
