"""Shutdown of the HTTP listeners for operators and of edges, on real sockets: all requests are answered."""

import asyncio
import itertools
import socket

import direct_edge
import pytest

from irisstand import event_log, web
from irisstand.controlplane.api import operator_reads
from irisstand.dataplane.http import sanic_adapter

# Sanic registers applications by name until the process ends, so every node needs a name of its own.
NODE_NUMBERS = itertools.count(1)
DRAIN_SECONDS = 0.5


class SlowNode:
    """Stub of an edge's request handling and of a majority of voters, which responds after some seconds."""

    def __init__(self, context, seconds):
        self.context, self.seconds = context, seconds

    async def handle(self, request):
        await asyncio.sleep(self.seconds)

    async def confirm(self, *tables):
        await asyncio.sleep(self.seconds)


def run_scenario(scenario, seconds=60):
    """Run `scenario(server, address)` with an HTTP server for operators and for clients of an edge."""

    async def run():
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = probe.getsockname()
        settings = direct_edge.SETTINGS._replace(
            name=f"stops-{next(NODE_NUMBERS)}", host=address[0], http_port=address[1], drain=DRAIN_SECONDS
        )
        context = direct_edge.DirectNodeHarness(settings=settings).context
        context.detector.leave = lambda: None
        server = web.HttpServer(context, event_log.EventLog())
        slow = SlowNode(context, seconds)
        operator_reads.OperatorReads(context, None, slow, server)
        sanic_adapter.SanicAdapter(server, slow)
        await server.open()
        async with asyncio.timeout(20):
            return await scenario(server, address)

    return asyncio.run(run())


async def stop(server):
    await server.stop_listening()
    await server.context.drain()
    await server.context.close()


async def request_and_stop(server, address, request_line):
    """Send a request, stop the node while it works on the request, and return the response."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request_line + b" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
    await asyncio.sleep(0.05)
    await stop(server)
    response = await reader.read()
    writer.close()
    return response


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        # An operator's read, which waits for a majority of voters, then a read and a write by clients.
        (b"GET /items", b"503"),
        (b"GET /vacancies/1", b"503"),
        (b"POST /applications", b"504"),
    ],
)
def test_a_request_that_waits_at_the_end_of_a_drain_is_answered(request_line, status):
    """Guards against requests that wait in a handler when the drain ends and get no response."""

    async def scenario(server, address):
        return await request_and_stop(server, address, request_line)

    assert run_scenario(scenario).startswith(b"HTTP/1.1 " + status)


def test_an_operator_s_read_that_is_confirmed_within_the_drain_is_answered_by_itself():
    """Guards against a drain that ends while a request that was read is still being processed."""

    async def scenario(server, address):
        return await request_and_stop(server, address, b"GET /items")

    assert run_scenario(scenario, seconds=DRAIN_SECONDS / 2).startswith(b"HTTP/1.1 200")


def test_a_connection_at_rest_is_closed_when_the_listener_stops():
    """Guards against unanswered requests that arrive on a kept-alive connection just before the node ends."""

    async def scenario(server, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /_irisstand/live HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"}")
        started_at = server.context.clock.now()
        await stop(server)
        elapsed_seconds = server.context.clock.now() - started_at
        remaining_bytes = await reader.read()
        writer.close()
        return remaining_bytes, elapsed_seconds < DRAIN_SECONDS

    assert run_scenario(scenario) == (b"", True)
