"""Clients that disconnect, on real sockets: the node notices it and resets the origin's connection."""

import asyncio
import socket

import departing_clients
import pytest
import uvloop

from irisstand.dataplane.upstream import connector

# The size of one read of the transport, and of the buffer after which sanic stops reading.
BUFFER_BYTES = 64 * 1024
LARGE_BODY = b"x" * BUFFER_BYTES
LIMIT_SECONDS = 10


class SilentOrigin:
    """An origin that reads a complete request, sends no response, and records how the connection ended."""

    def __init__(self, length):
        self.length = length
        self.has_read = asyncio.Event()
        self.end = asyncio.get_running_loop().create_future()

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2 * len(LARGE_BODY))
        return server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(self.length)
        self.has_read.set()
        try:
            end = await reader.read()
        except ConnectionResetError:
            end = "reset"
        finally:
            writer.close()
        # A hedged request would end in the same way as the first attempt.
        if not self.end.done():
            self.end.set_result(end)


class Node:
    """A node on real sockets whose only origin never responds."""

    def __init__(self, length):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.origin = SilentOrigin(length)
        self.harness = departing_clients.ListenerHarness(address=self.address)

    async def open(self):
        origin = await self.origin.open()
        for endpoint in self.harness.node.direct_node.endpoints.endpoints.values():

            async def connect(host, port):
                return await connector.connector("x-request-id")(*origin)

            endpoint.connect = connect
        await self.harness.listener.open_when_current()


async def leave_while_origin_works(method, body, disconnect):
    """Send a request and disconnect once the origin has read it.

    Returns:
        How the origin's connection ended, and the number of clients that were counted as disconnected.
    """
    node = Node(len(body))
    await node.open()
    _, writer = await asyncio.open_connection(*node.address)
    head = f"{method} /reads/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nContent-Length: {len(body)}\r\n\r\n"
    async with asyncio.timeout(LIMIT_SECONDS):
        await send_whole(node, writer, head.encode(), body)
        await node.origin.has_read.wait()
        disconnect(writer)
        end = await node.origin.end
    return end, node.harness.context.counters.total("clients_left")


async def send_whole(node, writer, head, body):
    """Send a request so that its body reaches the listener in one piece."""
    writer.write(head)
    # Sanic has no event for a new connection.
    while not node.harness.listener.server.connections:  # noqa: ASYNC110 - see above
        await asyncio.sleep(0)
    writer.write(body)


def by_close(writer):
    writer.close()


def by_reset(writer):
    writer.transport.abort()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("disconnect", [by_close, by_reset])
@pytest.mark.parametrize(("method", "body"), [("GET", b""), ("POST", LARGE_BODY)])
def test_origins_connection_is_reset_when_the_client_leaves(run, disconnect, method, body):
    assert run(leave_while_origin_works(method, body, disconnect)) == ("reset", 1)
