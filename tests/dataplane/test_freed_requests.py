"""What a request held is freed when it has been answered, without the garbage collector."""

import asyncio
import contextlib
import gc

import direct_edge
import pytest

from irisstand import errors
from irisstand.dataplane.upstream import exchange, upstream_request

BODY = b"x" * 1000


def alive_requests():
    return [found for found in gc.get_objects() if isinstance(found, upstream_request.Request)]


def whole(harness):
    pass


def origins_break(harness):
    harness.respond = lambda key, headers, body: exchange.ConnectionBrokenError("connection reset")


def origins_answer_without_a_digest(harness):
    harness.respond = lambda key, headers, body: direct_edge.complete_answer(
        headers.get("x-request-id"), content_digest=None
    )


def origins_accept_no_connection(harness):
    harness.refused = {"a", "b"}


def origins_are_silent(harness):
    harness.respond = lambda key, headers, body: asyncio.sleep(10)


@pytest.mark.parametrize("path", ["/writes/1", "/reads/1", "/objects/1", "/nowhere/1"])
@pytest.mark.parametrize(
    "prepare",
    [
        whole,
        origins_break,
        origins_answer_without_a_digest,
        origins_accept_no_connection,
        origins_are_silent,
    ],
)
def test_request_is_freed_with_its_answer(prepare, path):
    async def scenario():
        harness = direct_edge.DirectNodeHarness()
        prepare(harness)
        method = "POST" if "writes" in path else "GET"
        for number in range(3):
            with contextlib.suppress(errors.IrisError):
                await harness.ask(path, method, f"r{number}", BODY, x_remaining_ms="150")
        # A write that may have been sent is carried on for a second after its deadline.
        while len(harness.direct_node.origins.attempts):  # noqa: ASYNC110 - no event tells
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        return [found for found in alive_requests() if not any(found is one for one in earlier)]

    gc.collect()
    # Those that other tests of this process have left; they are kept, so that none is freed meanwhile.
    earlier = alive_requests()
    gc.disable()
    try:
        # Not in virtual time, whose loop keeps the arguments of callbacks for longer than asyncio's.
        assert asyncio.run(scenario()) == []
    finally:
        gc.enable()
