"""Bodies that are given up before they are read: an error for whoever reads on, never the end of a body."""

import asyncio

import pytest
import scripted_transport
from scripted_transport import in_chunks, read_all, with_length

from irisstand import counters, errors, resource_budget
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.upstream import response_stream
from irisstand.http1 import body_source
from irisstand.simulator import virtual_time

BODY = b"x" * (body_source.HELD_BODY_BYTES + 5_000)
FRAMINGS = [with_length, in_chunks]


class OpenConnection:
    """A connection to an origin that does nothing."""

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def abort(self):
        pass


def ended_stream():
    """Return a stream of which all bytes have arrived, and none was read."""
    stream = response_stream.ResponseStream(None, OpenConnection(), None)
    stream.feed(BODY)
    stream.finish()
    return stream


def test_reader_of_a_complete_answer_that_was_given_up_gets_an_error():
    """Guards against MIXED: bytes that were dropped, with the end of the body in their place."""

    async def scenario():
        stream = ended_stream()
        await stream.read()
        stream.close()
        with pytest.raises(errors.OriginFailedError):
            await stream.read()

    virtual_time.run(scenario())


def test_answer_that_was_read_to_its_end_stays_whole_when_it_is_closed():
    async def scenario():
        stream = ended_stream()
        found = await read_all(stream)
        return found == BODY, await stream.read()

    assert virtual_time.run(scenario()) == (True, b"")


def test_answer_that_nobody_took_in_time_is_not_passed_on():
    """Guards against MIXED: an answer that a timer had given up, passed on as an empty success."""

    async def scenario():
        stream = ended_stream()
        await asyncio.sleep(response_stream.CLAIM_SECONDS + 1)
        with pytest.raises(errors.OriginFailedError):
            direct.check_claim(stream)
        with pytest.raises(errors.OriginFailedError):
            await stream.read()

    virtual_time.run(scenario())


def test_process_that_stood_still_passes_on_the_answer_that_waited():
    async def scenario():
        stream = ended_stream()
        # As after a standstill: the timer is due before the task that is about to claim the stream runs.
        stream.claim_timer._run()
        direct.check_claim(stream)
        return await read_all(stream) == BODY

    assert virtual_time.run(scenario())


@pytest.mark.parametrize("make_answer", FRAMINGS)
def test_large_failure_that_waits_for_a_better_answer_reaches_its_client_whole(make_answer):
    """Guards against an empty failure: the timer gave the first answer up while a retry was slow."""

    async def scenario():
        asked = []

        def answer(request_id):
            asked.append(request_id)
            return [make_answer(request_id, BODY, status="500 Broken")] if len(asked) == 1 else []

        harness = scripted_transport.Harness(answer)
        harness.route("reads", kind="idempotent", timeout=30.0, target=20.0)
        response = await harness.ask("/reads/1")
        return response.status, await read_all(response.body) == BODY, len(asked)

    assert virtual_time.run(scenario()) == (500, True, 2)


def test_large_failure_that_a_better_answer_replaces_is_given_up_at_once():
    async def scenario():
        asked = []

        def answer(request_id):
            asked.append(request_id)
            head = with_length(request_id, BODY, status="500 Broken")[:-1]
            return [head] if len(asked) == 1 else [with_length(request_id, b"better")]

        harness = scripted_transport.Harness(answer)
        response = await harness.ask("/reads/1")
        await asyncio.sleep(0)
        return response.body, [transport.is_closed for transport in harness.transports]

    assert virtual_time.run(scenario()) == (b"better", [True, False])


def test_answer_that_broke_off_before_it_is_passed_on_is_a_failed_attempt():
    """Guards against a success that is cut off although its origin had failed before it was begun."""

    async def scenario():
        asked = []

        def answer(request_id):
            asked.append(request_id)
            whole = in_chunks(request_id, BODY)
            return [whole.removesuffix(b"0\r\n\r\n") + b"no chunk\r\n"] if len(asked) == 1 else [whole]

        harness = scripted_transport.Harness(answer)
        response = await harness.ask("/reads/1")
        return response.status, await read_all(response.body) == BODY, len(asked)

    assert virtual_time.run(scenario()) == (200, True, 2)


def test_all_bytes_that_a_stream_holds_count():
    """Guards against FAULT: the first MiB of a body without a length, held and counted as a window."""

    async def scenario():
        budget = resource_budget.ResourceBudget(100 * len(BODY), 10, lambda: 0.0, counters.Counters())
        stream = response_stream.ResponseStream(None, OpenConnection(), budget)
        stream.feed(BODY)
        stream.finish()
        held = [budget.held]
        while await stream.read():
            held.append(budget.held)
        stream.close()
        return held[0], held[-1], budget.held

    assert virtual_time.run(scenario()) == (len(BODY), response_stream.STREAM_BYTES, 0)
