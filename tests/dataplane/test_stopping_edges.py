"""Graceful shutdown of edges: every request that was read is answered, if need be by a refusal in time."""

import asyncio

import pytest
from departing_clients import run_scenario
from test_object_holders import run_scenario as run_site_scenario
from test_reads_through_holders import disable_hedging, refuse_all_tokens

from irisstand import errors
from irisstand.state import items

DRAIN_SECONDS = 1.0
UPSTREAM = {"name": "s", "version": 2, "cold_rate": 5.0, "connections": 50}


async def drain(context):
    """Drain a node for at most `DRAIN_SECONDS`, as its process does, and return the duration in seconds."""
    context.settings = context.settings._replace(drain=DRAIN_SECONDS)
    context.detector.leave = lambda: None
    started_at = context.clock.now()
    await context.drain()
    return context.clock.now() - started_at


def test_request_that_comes_whole_during_the_drain_is_refused_and_never_sent():
    async def scenario(harness):
        harness.context.is_draining = True
        response = await harness.start_request("/writes/1", "POST")
        return response.status, response.headers["Retry-After"], harness.node.sent

    assert run_scenario(scenario) == (503, "0.10", [])


@pytest.mark.parametrize(
    ("path", "method"), [("/reads/1", "GET"), ("/objects/1", "GET"), ("/writes/1", "POST")]
)
def test_request_that_waits_for_a_token_at_the_end_of_a_drain_is_refused_and_never_sent(path, method):
    async def scenario(harness):
        # At this rate the next token accrues only after the end of the drain.
        harness.node.put(items.CONFIGURATION, "upstream/s", {"version": 2, "item": {**UPSTREAM, "rate": 0.1}})
        for name, kind in (("reads", "idempotent"), ("objects", "cacheable"), ("writes", "non_idempotent")):
            harness.node.route(name, kind=kind, timeout=60.0, target=30.0)
        client = harness.start_request(path, method)
        await asyncio.sleep(0.01)
        drain_seconds = await drain(harness.context)
        return client.result().status, round(drain_seconds, 1) <= DRAIN_SECONDS, harness.node.sent

    assert run_scenario(scenario) == (503, True, [])


def test_read_at_an_origin_is_refused_only_at_the_very_end_of_a_drain():
    async def scenario(harness):
        harness.node.route("reads", kind="idempotent", timeout=60.0, attempts=1)
        harness.origins.seconds = DRAIN_SECONDS - 0.1
        finished = harness.start_request("/reads/1")
        await asyncio.sleep(0.01)
        harness.origins.seconds = 9
        unfinished = harness.start_request("/reads/2")
        await asyncio.sleep(0.01)
        await drain(harness.context)
        return finished.result().status, unfinished.result().status, harness.origins.cancelled()

    assert run_scenario(scenario) == (200, 503, [False, True])


def test_write_that_an_origin_may_have_begun_is_answered_and_not_refused_at_the_end_of_a_drain():
    """Guards against a lost write (LOST): 503 would mean that it has not run, a closed connection nothing."""

    async def scenario(harness):
        harness.node.route("writes", kind="non_idempotent", timeout=60.0)
        harness.origins.seconds = 9
        client = harness.start_request("/writes/1", "POST")
        await asyncio.sleep(0.01)
        drain_seconds = await drain(harness.context)
        return client.result().status, drain_seconds >= DRAIN_SECONDS, harness.origins.cancelled()

    assert run_scenario(scenario) == (504, True, [False])


def test_read_at_a_silent_holder_is_refused_at_the_end_of_a_drain():
    async def scenario(site):
        site.silent_nodes = {"holder-1"}
        disable_hedging(site)
        edge = site.nodes["edge-1"]
        edge.route("objects", kind="cacheable", timeout=60.0)
        refuse_all_tokens(edge)
        read = asyncio.create_task(edge.ask("/objects/1"))
        await asyncio.sleep(0.01)
        await drain(edge.context)
        await asyncio.wait([read])
        return type(read.exception())

    assert run_site_scenario(scenario) is errors.DrainingError
