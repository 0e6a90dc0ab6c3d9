"""Reads that lose the object that they fetched: what follows has a pause, a bound and a budget."""

import asyncio

import pytest
import scripted_transport
from direct_edge import complete_answer, run_scenario
from scripted_transport import in_chunks

from irisstand import errors
from irisstand.dataplane.cache import body_owners
from irisstand.http1 import body_source
from irisstand.simulator import virtual_time
from irisstand.state import items

ORIGIN_SECONDS = 0.01
PURGE = "purge/path/h/objects/1"
LARGE = b"x" * (body_source.HELD_BODY_BYTES + 5_000)


def purge_while_fetched(harness):
    """Let each answer be purged before it arrives."""

    async def origin(request_id):
        await asyncio.sleep(ORIGIN_SECONDS)
        harness.put(items.LEDGER, PURGE, {"purge": "path"})
        return complete_answer(request_id)

    harness.respond = lambda key, headers, body: origin(headers["x-request-id"])


def harness_of_large_objects():
    """Return a node whose origins answer with a large object, and the ids of the requests that they get."""
    asked = []

    def answer(request_id):
        asked.append(request_id)
        return [in_chunks(request_id, LARGE)]

    return scripted_transport.Harness(answer), asked


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_object_that_purges_outrun_is_fetched_as_often_as_its_route_allows(attempts):
    """Guards against BUDGET: a read that fetched again, at once, until its deadline."""

    async def scenario(harness):
        harness.route("objects", kind="cacheable", attempts=attempts)
        purge_while_fetched(harness)
        with pytest.raises(errors.LimitExceededError):
            await harness.ask("/objects/1")
        return len(harness.sent)

    assert run_scenario(scenario) == attempts


def test_further_fetches_of_many_reads_stay_within_the_retry_budget():
    """Guards against BUDGET: reads of purged objects whose retries together are too many."""
    reads = 100

    async def scenario(harness):
        harness.route("objects", kind="cacheable", attempts=3)
        purge_while_fetched(harness)
        for number in range(reads):
            with pytest.raises(errors.LimitExceededError):
                await harness.ask("/objects/1", request_id=f"r{number}")
        budget = harness.direct_node.origins.budget("s")
        return len(harness.sent) - reads, budget.share * reads + budget.allowance

    retries, allowed = run_scenario(scenario)
    assert 0 < retries <= allowed


def test_further_fetch_follows_after_a_pause():
    async def scenario(harness):
        purge_while_fetched(harness)
        with pytest.raises(errors.LimitExceededError):
            await harness.ask("/objects/1")
        return harness.sent[1][-1] - harness.sent[0][-1]

    assert run_scenario(scenario) > ORIGIN_SECONDS


def test_read_that_waited_for_the_fetch_of_another_may_send_its_own():
    async def scenario(harness):
        harness.route("objects", kind="cacheable", attempts=1)

        async def origin(request_id):
            await asyncio.sleep(ORIGIN_SECONDS)
            return complete_answer(request_id, request_id.encode(), 404)

        harness.respond = lambda key, headers, body: origin(headers["x-request-id"])
        reads = [harness.ask("/objects/1", request_id=f"r{number}") for number in range(3)]
        return [answer.body for answer in await asyncio.gather(*reads)]

    assert run_scenario(scenario) == [b"r0", b"r1", b"r2"]


def test_large_object_whose_body_is_lost_each_time_is_not_fetched_without_end(monkeypatch):
    """Guards against BUDGET: hundreds of runs at origins for one read, as each body was taken."""
    monkeypatch.setattr(body_owners, "is_taken", lambda body: True)

    async def scenario():
        harness, asked = harness_of_large_objects()
        with pytest.raises(errors.LimitExceededError):
            await harness.ask("/objects/1")
        return len(asked)

    assert virtual_time.run(scenario()) == 2


def test_equal_reads_of_one_large_object_each_get_it_whole_from_a_run_of_their_own():
    async def scenario():
        harness, asked = harness_of_large_objects()
        reads = [harness.ask("/objects/1", request_id=f"r{number}") for number in range(4)]
        answers = await asyncio.gather(*reads)
        bodies = [await scripted_transport.read_all(found.body) for found in answers]
        return [body == LARGE for body in bodies], sorted(asked)

    assert virtual_time.run(scenario()) == ([True] * 4, ["r0", "r1", "r2", "r3"])
