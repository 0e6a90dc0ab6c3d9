"""The clients' listener on real sockets: incomplete bodies, and clients that disconnect or never read."""

import asyncio
import itertools
import socket

import direct_edge
import pytest

from irisstand import errors
from irisstand.dataplane.http import listener
from irisstand.dataplane.upstream import exchange

HEAD = b"GET /reads/1 HTTP/1.1\r\nHost: h\r\n\r\n"
NUMBERS = itertools.count(1)
# The size of a body that is far larger than the socket buffers of both ends.
LARGE = 64 * 1024 * 1024


class ListenerHarness:
    """A client listener in front of a node whose method `handle` the test provides."""

    def __init__(self, handle):
        # Sanic registers applications by name until the process ends, so each one needs a new name.
        name = f"edge-{next(NUMBERS)}"
        node_harness = direct_edge.DirectNodeHarness(settings=direct_edge.SETTINGS._replace(name=name))
        self.context, node_harness.direct_node.handle = node_harness.context, handle
        self.context.crashed = asyncio.get_running_loop().create_future()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.node = node_harness.direct_node
        self.listener = listener.ClientListener(self.context, node_harness.direct_node, self.address)

    async def connect(self):
        return await asyncio.open_connection(*self.address)


def run_with_listener(scenario, handle):
    async def run():
        harness = ListenerHarness(handle)
        await harness.listener.open_when_current()
        async with asyncio.timeout(20):
            return await scenario(harness)

    return asyncio.run(run())


async def echo_body(request):
    return exchange.Answer(200, {"x-request-id": "a"}, request.body or b"whole")


def test_body_that_stops_half_way_is_refused_after_the_idle_limit():
    async def scenario(harness):
        harness.node.table.limits = harness.node.table.limits._replace(header=1.0, idle=1.0)
        harness.node.table.refresh = lambda: None
        harness.listener.apply_client_limits()
        reader, writer = await harness.connect()
        writer.write(b"POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nshort")
        try:
            async with asyncio.timeout(4):
                response = await reader.read()
        finally:
            writer.close()
        return response, harness.context.counters.total("requests")

    response, handled = run_with_listener(scenario, echo_body)
    assert b" 408 " in response.split(b"\r\n")[0]
    assert handled == 0


def test_body_that_comes_in_pieces_is_handed_on_complete():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(b"POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nshort")
        await asyncio.sleep(0.05)
        writer.write(b"-long")
        response = await reader.readuntil(b"short-long")
        writer.close()
        return response

    assert b" 200 " in run_with_listener(scenario, echo_body).split(b"\r\n")[0]


def test_clients_that_do_not_read_leave_no_task_after_shutdown():
    handled = []

    async def large(request):
        handled.append(request)
        # The second request is in flight at the shutdown, behind a response that the client never reads.
        if len(handled) == 2:
            await asyncio.sleep(60)
        return exchange.Answer(200, {}, b"x" * LARGE)

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.transport.pause_reading()
        writer.write(HEAD * 3)
        await asyncio.sleep(0.5)
        await harness.listener.stop_listening()
        await harness.context.close()
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        pending = (await asyncio.wait(left, timeout=2))[1] if left else set()
        writer.transport.abort()
        return len(pending)

    assert run_with_listener(scenario, large) == 0


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.05, 0.06])
def test_clients_that_disconnect_crash_nothing_and_leave_no_request_counted(delay):
    async def slow(request):
        await asyncio.sleep(0.05)
        return exchange.Answer(200, {}, b"x" * 200000)

    async def scenario(harness):
        loop_errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
        for _ in range(20):
            reader, writer = await harness.connect()
            writer.write(HEAD * 2)
            await asyncio.sleep(delay)
            writer.transport.abort()
        await asyncio.sleep(0.3)
        return loop_errors, harness.context.crashed.done(), harness.context.in_flight

    assert run_with_listener(scenario, slow) == ([], False, 0)


def test_cancelled_shared_read_is_answered_with_an_error():
    async def cancelled(request):
        raise asyncio.CancelledError

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(HEAD)
        response = await reader.readuntil(b"\r\n")
        writer.close()
        return response

    status = int(run_with_listener(scenario, cancelled).split()[1])
    assert status == errors.OutcomeUnknownError.status


def test_large_body_is_passed_on_while_it_arrives():
    async def count(request):
        assert not isinstance(request.body, bytes)
        received = 0
        while piece := await request.body.read():
            received += len(piece)
        return exchange.Answer(200, {}, b"%d bytes" % received)

    async def scenario(harness):
        reader, writer = await harness.connect()
        head = f"POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE}\r\n\r\n"
        writer.write(head.encode() + b"x" * LARGE + HEAD)
        first = await reader.readuntil(b"%d bytes" % LARGE)
        # The next request behind the body is a request of its own.
        second = await reader.readuntil(b"\r\n")
        writer.close()
        return first, second

    first, second = run_with_listener(scenario, count)
    assert b" 200 " in first.split(b"\r\n")[0]
    assert b" 500 " in second or b" 504 " in second


def test_body_that_announces_more_than_the_limit_is_refused_at_once():
    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(f"POST /w HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE + 1}\r\n\r\n".encode())
        response = await reader.readuntil(b"\r\n")
        writer.close()
        return response

    assert b" 413 " in run_with_listener(scenario, echo_body)


def test_response_that_ends_early_resets_the_connection_of_its_client():
    class Cut:
        length, retained_bytes = 10, 0

        def __init__(self):
            self.pieces = [b"short"]
            self.is_closed = False

        async def read(self):
            if self.pieces:
                return self.pieces.pop()
            raise errors.OriginFailedError("cut off")

        def close(self):
            self.is_closed = True

    source = Cut()

    async def cut(request):
        return exchange.Answer(200, {}, source)

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(HEAD)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readuntil(b"a complete response")
        writer.close()

    run_with_listener(scenario, cut)
    assert source.is_closed
