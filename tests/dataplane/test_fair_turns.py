"""What one connection has sent at once is worked off in parts, and others have their turn in between."""

import asyncio

import sanic.http
import test_listener

from irisstand.http1 import chunked_coding

CHUNK = b"\r\n1\r\nx"
CHUNKS = 4000
REQUESTS = 60


async def watch_buffer(protocol, sizes):
    while True:
        sizes.append(len(protocol.recv_buffer))
        await asyncio.sleep(0)


async def connection_that_has_read(harness, has_head):
    """Return the listener's connection once it waits for the body of a request, or for a request."""
    wanted = sanic.http.Stage.HANDLER if has_head else sanic.http.Stage.IDLE
    while True:
        for protocol in harness.listener.server.connections:
            if protocol.http is not None and protocol.http.stage is wanted:
                return protocol
        await asyncio.sleep(0.01)


def most_bytes_in_a_turn(head, waiting, responses):
    """Return how many bytes of a full buffer the listener works off before other tasks have a turn."""

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(head)
        protocol = await connection_that_has_read(harness, bool(head))
        sizes = []
        watcher = asyncio.get_running_loop().create_task(watch_buffer(protocol, sizes))
        await asyncio.sleep(0)
        protocol.data_received(waiting)
        for _ in range(responses):
            await reader.readuntil(b"whole")
        watcher.cancel()
        writer.close()
        assert max(sizes) >= len(waiting)
        return max(before - after for before, after in zip(sizes, sizes[1:], strict=False))

    return test_listener.run_with_listener(scenario, test_listener.echo_body)


def test_many_small_chunks_are_worked_off_in_parts():
    head = b"POST /writes/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    body = CHUNK * CHUNKS + b"\r\n5\r\nwhole\r\n0\r\n\r\n"
    # The line break behind the head is the one in front of the first chunk.
    most = most_bytes_in_a_turn(head, body[2:], 1)
    assert most <= chunked_coding.CHUNKS_PER_CALL * len(CHUNK)


def test_many_requests_at_once_are_answered_one_in_a_turn():
    most = most_bytes_in_a_turn(b"", test_listener.HEAD * REQUESTS, REQUESTS)
    assert most == len(test_listener.HEAD)
