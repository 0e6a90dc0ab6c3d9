"""Large bodies on real sockets: passed on in pieces, held up by slow readers, never complete if cut off."""

import asyncio

import pytest
import test_exchange

from irisstand import counters, errors, resource_budget
from irisstand.dataplane.upstream import connector, exchange, response_stream

MB = 1_000_000
LARGE_BYTES = 20 * MB


def large_answer(request_id, body, announced=None):
    length = announced or len(body)
    head = f"HTTP/1.1 200 OK\r\n{test_exchange.ID}: {request_id}\r\ncontent-length: {length}\r\n\r\n"
    return head.encode() + body


async def read_all(stream):
    pieces = []
    while piece := await stream.read():
        pieces.append(piece)
    return b"".join(pieces)


def chunked_answer(body):
    head = f"HTTP/1.1 200 OK\r\n{test_exchange.ID}: a\r\ntransfer-encoding: chunked\r\n\r\n".encode()
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


@pytest.mark.parametrize("make_answer", [lambda body: large_answer("a", body), chunked_answer])
def test_large_answer_is_passed_on_whole_and_its_connection_carries_the_next_request(make_answer):
    body = bytes(range(256)) * (LARGE_BYTES // 256)

    async def origin(number, reader, writer):
        writer.write(make_answer(body) if number == 1 else test_exchange.answer("b", b"next"))

    async def scenario(connection):
        first = await test_exchange.send_get(connection, "a")
        assert not isinstance(first.body, bytes)
        found = await read_all(first.body)
        first.body.close()
        second = await test_exchange.send_get(connection, "b")
        return found == body, second.body

    assert test_exchange.run_with_origin(origin, scenario) == (True, b"next")


class PausableTransport:
    """A transport that remembers whether reading is paused."""

    def __init__(self):
        self.is_paused = False

    def is_closing(self):
        return False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0


def test_connection_is_read_again_after_an_answer_whose_end_filled_the_window():
    async def scenario():
        connection, transport = exchange.Exchange(test_exchange.ID), PausableTransport()
        connection.connection_made(transport)
        sending = asyncio.get_running_loop().create_task(test_exchange.send_get(connection))
        await asyncio.sleep(0)
        whole = large_answer("a", b"x" * 2 * MB)
        connection.data_received(whole[: -2 * response_stream.WINDOW_BYTES])
        found = await sending
        was_paused = transport.is_paused
        connection.data_received(whole[-2 * response_stream.WINDOW_BYTES :])
        return was_paused, transport.is_paused, len(await read_all(found.body))

    assert asyncio.run(scenario()) == (True, False, 2 * MB)


def test_answer_that_nobody_reads_holds_up_its_origin():
    sent = []

    async def origin(number, reader, writer):
        writer.write(large_answer("a", b"", LARGE_BYTES))
        for _ in range(LARGE_BYTES // MB):
            writer.write(b"x" * MB)
            await writer.drain()
            sent.append(MB)

    async def scenario(connection):
        found = await test_exchange.send_get(connection)
        await asyncio.sleep(0.5)
        return len(found.body.buffer), sum(sent)

    held, sent_bytes = test_exchange.run_with_origin(origin, scenario)
    assert held <= response_stream.STREAM_BYTES
    assert sent_bytes < LARGE_BYTES


@pytest.mark.parametrize("is_chunked", [False, True])
def test_large_answer_that_its_origin_cuts_off_is_an_error_for_its_reader(is_chunked):
    async def origin(number, reader, writer):
        whole = chunked_answer(b"x" * LARGE_BYTES) if is_chunked else large_answer("a", b"x" * LARGE_BYTES)
        writer.write(whole[:-10])
        writer.close()

    async def scenario(connection):
        found = await test_exchange.send_get(connection)
        with pytest.raises(errors.OriginFailedError):
            await read_all(found.body)
        return connection.is_usable()

    assert test_exchange.run_with_origin(origin, scenario) is False


def test_answer_that_is_given_up_closes_its_connection_and_counts_no_more():
    budget = resource_budget.ResourceBudget(100 * MB, 10, lambda: 0.0, counters.Counters())

    async def origin(number, reader, writer):
        writer.write(large_answer("a", b"x" * LARGE_BYTES))

    async def scenario(connection):
        other = connector.connector(test_exchange.ID, budget)
        connection = await other(*connection.transport.get_extra_info("peername"))
        found = await test_exchange.send_get(connection)
        held = budget.held
        found.body.close()
        found.body.close()
        return held, budget.held, connection.is_open

    assert test_exchange.run_with_origin(origin, scenario) == (response_stream.STREAM_BYTES, 0, False)


def test_endless_answer_ends_at_the_size_limit():
    async def origin(number, reader, writer):
        writer.write(
            f"HTTP/1.1 200 OK\r\n{test_exchange.ID}: a\r\ntransfer-encoding: chunked\r\n\r\n".encode()
        )
        while True:
            writer.write(b"100000\r\n" + b"x" * 0x100000 + b"\r\n")
            await writer.drain()

    async def scenario(connection):
        found = await test_exchange.send_get(connection)
        with pytest.raises(errors.OriginFailedError):
            await read_all(found.body)
        return found.body.received

    assert test_exchange.run_with_origin(origin, scenario) >= response_stream.BODY_LIMIT_BYTES


def test_large_late_answer_to_an_earlier_request_is_skipped():
    async def origin(number, reader, writer):
        writer.write(large_answer("earlier", b"x" * LARGE_BYTES) + test_exchange.answer("a", b"yours"))

    assert test_exchange.run_with_origin(origin, test_exchange.send_get).body == b"yours"


def test_answer_without_a_body_may_announce_the_length_of_a_large_one():
    async def origin(number, reader, writer):
        head = f"HTTP/1.1 304 Not Modified\r\n{test_exchange.ID}: a\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
        writer.write(head.encode())

    found = test_exchange.run_with_origin(origin, test_exchange.send_get)
    assert (found.status, found.body) == (304, b"")
