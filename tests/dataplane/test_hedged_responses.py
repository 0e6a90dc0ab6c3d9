"""Responses of hedged requests that come after the client has been answered."""

import asyncio
import gc

import direct_edge

from irisstand.dataplane.upstream import exchange

LATE_BODY = b"late"


def alive_late_answers():
    return [
        found for found in gc.get_objects() if isinstance(found, exchange.Answer) and found.body == LATE_BODY
    ]


def test_late_response_of_a_hedged_attempt_is_freed_without_the_garbage_collector():
    async def scenario():
        harness = direct_edge.DirectNodeHarness()

        is_answered = asyncio.Event()

        async def respond_late(request_id):
            await is_answered.wait()
            return direct_edge.complete_answer(request_id, LATE_BODY)

        def respond(key, headers, body):
            request_id = headers["x-request-id"]
            is_first = len(harness.sent) == 1
            return respond_late(request_id) if is_first else direct_edge.complete_answer(request_id)

        harness.respond = respond
        answer = await harness.ask("/reads/1")
        is_answered.set()
        while len(harness.direct_node.origins.attempts):  # noqa: ASYNC110 - no event tells
            await asyncio.sleep(0.01)
        return answer.body, len(harness.sent), len(alive_late_answers())

    gc.collect()
    gc.disable()
    try:
        # Not in virtual time, whose loop keeps the arguments of callbacks for longer than asyncio's.
        assert asyncio.run(scenario()) == (b"whole", 2, 0)
    finally:
        gc.enable()
