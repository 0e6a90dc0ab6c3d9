"""Answers that end early, cut at any place, in every framing: never a complete success with another body."""

import pytest
import scripted_transport
from scripted_transport import in_chunks, read_all, split, with_length

from irisstand import errors
from irisstand.http1 import body_source
from irisstand.simulator import virtual_time

MIB = body_source.HELD_BODY_BYTES
SIZES = [1000, MIB - 1, MIB + 5_000, 2 * MIB]
# Bytes that are missing at the end of an answer.
MISSING = [1, 4, 5, 6, 500, 300_000]
ENDS = [None, ConnectionResetError("reset")]
ROUTES = [("/reads/1", "GET"), ("/writes/1", "POST"), ("/objects/1", "GET")]


def until_the_end(request_id, body):
    """Return an answer whose body ends with its connection."""
    return scripted_transport.head(request_id, "connection: close") + body


async def outcome_of(asking):
    """Return the status and body of a complete answer; None without one."""
    try:
        answer = await asking
        return answer.status, await read_all(answer.body)
    except errors.IrisError:
        return None


@pytest.mark.parametrize(("path", "method"), ROUTES)
@pytest.mark.parametrize("read_bytes", [1 << 30, 64 * 1024])
@pytest.mark.parametrize("make_answer", [with_length, in_chunks, until_the_end])
@pytest.mark.parametrize("size", SIZES)
def test_answer_that_ends_early_never_looks_complete(size, make_answer, read_bytes, path, method):
    """Guards against MIXED: a cut-off answer, wherever it is cut, that a client takes for the whole one."""
    body = b"y" * size

    async def scenario():
        outcomes = []
        for missing in MISSING:
            for end in ENDS:

                def answer(request_id, missing=missing, end=end):
                    return [*split(make_answer(request_id, body)[:-missing], read_bytes), end]

                harness = scripted_transport.Harness(answer)
                harness.route("objects", kind="cacheable", timeout=0.2)
                outcomes.append(await outcome_of(harness.ask(path, method)))
        return outcomes

    assert virtual_time.run(scenario()) == [None] * len(MISSING) * len(ENDS)


@pytest.mark.parametrize(("path", "method"), ROUTES)
def test_answer_that_is_reset_is_not_completed_by_its_connection(path, method):
    """Guards against MIXED: without a length, an answer whose connection was reset is not whole."""

    async def scenario():
        def answer(request_id):
            return [until_the_end(request_id, b"z" * MIB), ConnectionResetError("reset")]

        return await outcome_of(scripted_transport.Harness(answer).ask(path, method))

    assert virtual_time.run(scenario()) is None
