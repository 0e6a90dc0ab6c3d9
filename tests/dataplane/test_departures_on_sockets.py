"""Clients that leave, on real sockets: the node learns of it, and the origin's connection is reset."""

import asyncio
import socket

import departing_clients
import pytest
import uvloop

from irisstand.dataplane.upstream import exchange

# As much as the transport reads at once, and as sanic buffers before it stops reading.
BUFFER_BYTES = 64 * 1024
LARGE_BODY = b"x" * BUFFER_BYTES
LIMIT_SECONDS = 10


class SilentOrigin:
    """An origin that reads a whole request, answers nothing, and notes how the connection ended."""

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
        # A second attempt beside the first would end like it.
        if not self.end.done():
            self.end.set_result(end)


class Node:
    """A node on real sockets, with one silent origin."""

    def __init__(self, length):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.origin = SilentOrigin(length)
        self.stage = departing_clients.ListenerHarness(address=self.address)

    async def open(self):
        origin = await self.origin.open()
        for endpoint in self.stage.node.direct_node.endpoints.endpoints.values():

            async def connect(host, port):
                return await exchange.connector("x-request-id")(*origin)

            endpoint.connect = connect
        await self.stage.listener.open_when_current()


async def leave_while_origin_works(method, body, leave):
    """Ask by a client that leaves once the origin has read its request; return how the origin's ended."""
    node = Node(len(body))
    await node.open()
    _, writer = await asyncio.open_connection(*node.address)
    head = f"{method} /reads/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nContent-Length: {len(body)}\r\n\r\n"
    async with asyncio.timeout(LIMIT_SECONDS):
        await send_whole(node, writer, head.encode(), body)
        await node.origin.has_read.wait()
        leave(writer)
        end = await node.origin.end
    return end, node.stage.context.counters.total("clients_left")


async def send_whole(node, writer, head, body):
    """Send a request so that its body comes to the listener as one piece."""
    writer.write(head)
    # Sanic has no event for a connection that was made.
    while not node.stage.listener.server.connections:  # noqa: ASYNC110 - see above
        await asyncio.sleep(0)
    writer.write(body)


def by_close(writer):
    writer.close()


def by_reset(writer):
    writer.transport.abort()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("leave", [by_close, by_reset])
@pytest.mark.parametrize(("method", "body"), [("GET", b""), ("POST", LARGE_BODY)])
def test_origins_connection_is_reset_when_the_client_leaves(run, leave, method, body):
    assert run(leave_while_origin_works(method, body, leave)) == ("reset", 1)
