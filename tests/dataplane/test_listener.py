"""The clients' listener on real sockets: bodies that stop, clients that go away or never read."""

import asyncio
import itertools
import socket

import direct_edge
import pytest

from irisstand import errors
from irisstand.dataplane.http import listener
from irisstand.dataplane.upstream import exchange

HEAD = b"GET /reads/1 HTTP/1.1\r\nHost: h\r\n\r\n"
# Far more than the socket buffers of both ends hold.
NUMBERS = itertools.count(1)
LARGE = 64 * 1024 * 1024


class Face:
    """A listener whose data plane answers as `play(request)` says."""

    def __init__(self, play):
        # Sanic knows its applications by name for as long as the process lives.
        name = f"edge-{next(NUMBERS)}"
        stage = direct_edge.DirectNodeHarness(settings=direct_edge.SETTINGS._replace(name=name))
        self.context, stage.direct_node.handle = stage.context, play
        self.context.crashed = asyncio.get_running_loop().create_future()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.node = stage.direct_node
        self.listener = listener.ClientListener(self.context, stage.direct_node, self.address)

    async def connect(self):
        return await asyncio.open_connection(*self.address)


def play(scene, answer):
    async def whole():
        face = Face(answer)
        await face.listener.open_when_current()
        async with asyncio.timeout(20):
            return await scene(face)

    return asyncio.run(whole())


async def quick(request):
    return exchange.Answer(200, {"x-request-id": "a"}, request.body or b"whole")


def test_body_that_stops_half_way_is_refused_after_the_idle_limit():
    async def scene(face):
        face.node.table.limits = face.node.table.limits._replace(header=1.0, idle=1.0)
        face.node.table.refresh = lambda: None
        face.listener.apply_client_limits()
        reader, writer = await face.connect()
        writer.write(b"POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nshort")
        try:
            async with asyncio.timeout(4):
                told = await reader.read()
        finally:
            writer.close()
        return told, face.context.counters.total("requests")

    told, asked = play(scene, quick)
    assert b" 408 " in told.split(b"\r\n")[0]
    assert asked == 0


def test_body_that_comes_in_pieces_is_handed_on_complete():
    async def scene(face):
        reader, writer = await face.connect()
        writer.write(b"POST /writes/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nshort")
        await asyncio.sleep(0.05)
        writer.write(b"-long")
        told = await reader.readuntil(b"short-long")
        writer.close()
        return told

    assert b" 200 " in play(scene, quick).split(b"\r\n")[0]


def test_clients_that_do_not_read_leave_no_task_after_shutdown():
    asked = []

    async def large(request):
        asked.append(request)
        # The second is under way at the end, behind a first answer that nobody reads.
        if len(asked) == 2:
            await asyncio.sleep(60)
        return exchange.Answer(200, {}, b"x" * LARGE)

    async def scene(face):
        reader, writer = await face.connect()
        writer.transport.pause_reading()
        writer.write(HEAD * 3)
        await asyncio.sleep(0.5)
        await face.listener.stop_listening()
        await face.context.close()
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        pending = (await asyncio.wait(left, timeout=2))[1] if left else set()
        writer.transport.abort()
        return len(pending)

    assert play(scene, large) == 0


@pytest.mark.parametrize("moment", [0.0, 0.02, 0.05, 0.06])
def test_clients_that_disconnect_crash_nothing_and_leave_no_request_counted(moment):
    async def slow(request):
        await asyncio.sleep(0.05)
        return exchange.Answer(200, {}, b"x" * 200000)

    async def scene(face):
        faults = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        for _ in range(20):
            reader, writer = await face.connect()
            writer.write(HEAD * 2)
            await asyncio.sleep(moment)
            writer.transport.abort()
        await asyncio.sleep(0.3)
        return faults, face.context.crashed.done(), face.context.in_flight

    assert play(scene, slow) == ([], False, 0)


def test_cancelled_shared_read_is_answered_with_an_error():
    async def cancelled(request):
        raise asyncio.CancelledError

    async def scene(face):
        reader, writer = await face.connect()
        writer.write(HEAD)
        told = await reader.readuntil(b"\r\n")
        writer.close()
        return told

    status = int(play(scene, cancelled).split()[1])
    assert status == errors.OutcomeUnknownError.status
