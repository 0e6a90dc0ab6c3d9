"""Answers of every size near a limit, framed and split in every way: whole, or an error for their reader."""

import pytest
import scripted_transport
from scripted_transport import in_chunks, read_all, split, with_length

from irisstand.dataplane.upstream import response_stream
from irisstand.http1 import body_source
from irisstand.simulator import virtual_time

MIB = body_source.HELD_BODY_BYTES
# The largest read from a socket.
READ_BYTES = 256 * 1024
SIZES = [
    0,
    1,
    MIB - 1,
    MIB,
    MIB + 1,
    MIB + 5_000,
    MIB + 12_000,
    MIB + response_stream.WINDOW_BYTES - 1,
    MIB + response_stream.WINDOW_BYTES,
    MIB + READ_BYTES,
    2 * MIB + 1,
]
ROUTES = [("/reads/1", "GET"), ("/writes/1", "POST"), ("/objects/1", "GET")]


def body_of(size):
    return (b"0123456789abcdef" * (size // 16 + 1))[:size]


def ask_for(answer, path, method, turns=1):
    """Return the statuses and bodies that a client gets for `turns` requests, and the runs at origins."""

    async def scenario():
        harness = scripted_transport.Harness(answer)
        found = []
        for number in range(turns):
            response = await harness.ask(path, method, request_id=f"r{number}")
            found.append((response.status, await read_all(response.body)))
        return found, len(harness.transports)

    return virtual_time.run(scenario())


@pytest.mark.parametrize(("path", "method"), ROUTES)
@pytest.mark.parametrize("make_answer", [with_length, in_chunks])
@pytest.mark.parametrize("read_bytes", [1 << 30, READ_BYTES, 64 * 1024 + 7])
@pytest.mark.parametrize("size", SIZES)
def test_answer_reaches_its_client_whole_however_it_is_framed_and_split(
    size, read_bytes, make_answer, path, method
):
    """Guards against MIXED: an answer whose end came with its last bytes, passed on without a body."""
    body, runs = body_of(size), []

    def answer(request_id):
        runs.append(request_id)
        return split(make_answer(request_id, body), read_bytes)

    found, _ = ask_for(answer, path, method)
    assert [(status, len(got), got == body) for status, got in found] == [(200, size, True)]
    assert runs == ["r0"]


@pytest.mark.parametrize("make_answer", [with_length, in_chunks])
def test_connection_whose_answer_ended_before_it_was_read_carries_the_next_request(make_answer):
    body = body_of(MIB + 1)
    found, connections = ask_for(lambda request_id: [make_answer(request_id, body)], "/reads/1", "GET", 3)
    assert [(status, got == body) for status, got in found] == [(200, True)] * 3
    assert connections == 1
