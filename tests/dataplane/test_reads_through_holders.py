"""Reads through object holders: no edge refuses or cancels a read that an origin works on for a holder."""

import asyncio

import departing_clients
import pytest
from test_object_holders import run_scenario

from irisstand import errors


def refuse_all_tokens(node):
    """Refuse every rate limit token to a node's own requests, as if the limit were used up."""

    def refuse(*arguments):
        raise errors.LimitExceededError("the rate limit of s is used up")

    node.direct_node.endpoints.take_token = refuse


def disable_hedging(site):
    """Let no node send hedged requests or retries, so that each run at an origin belongs to one fetch."""
    for node in site.nodes.values():
        node.route("objects", kind="cacheable", attempts=1)


@pytest.mark.parametrize("is_stopping", [False, True])
@pytest.mark.parametrize("seconds", [0.7, 1.8])
def test_edge_does_not_refuse_a_read_that_an_origin_works_on_for_its_holder(seconds, is_stopping):
    async def scenario(site):
        origins = departing_clients.SlowOrigins(site.nodes["holder-1"], seconds)
        disable_hedging(site)
        refuse_all_tokens(site.nodes["edge-1"])
        site.nodes["edge-1"].context.is_draining = is_stopping
        answer = await site.nodes["edge-1"].ask("/objects/1")
        return answer.status, origins.cancelled(), site.sent()

    assert run_scenario(scenario) == (200, [False], {"holder-1": 1})


def test_holder_does_not_break_off_a_read_that_an_origin_works_on_for_another_holder():
    async def scenario(site):
        disable_hedging(site)
        origins_by_holder = [departing_clients.SlowOrigins(site.nodes[f"holder-{n}"], 0.5) for n in (1, 2)]
        for node in site.nodes.values():
            node.direct_node.endpoints.is_scarce = lambda service: True
        statuses = [(await site.nodes["edge-1"].ask(f"/objects/{n}")).status for n in range(6)]
        cancelled_runs = [
            is_cancelled for origins in origins_by_holder for is_cancelled in origins.cancelled()
        ]
        return statuses, cancelled_runs

    # The edge asks the holder of its site, which requests half of the objects from the other holder.
    assert run_scenario(scenario, holders=2, holder_2="south") == ([200] * 6, [False] * 6)


def test_read_with_much_time_left_is_not_refused_when_the_time_of_a_shared_one_is_over():
    async def scenario(site):
        edge = site.nodes["edge-1"]
        departing_clients.SlowOrigins(edge, 1.0)
        short = asyncio.create_task(edge.ask("/objects/1", request_id="r1", x_remaining_ms="400"))
        await asyncio.sleep(0.1)
        long = await edge.ask("/objects/1", request_id="r2", x_remaining_ms="2000")
        with pytest.raises(errors.DeadlineExceededError):
            await short
        return long.status

    assert run_scenario(scenario, holders=0) == 200


@pytest.mark.parametrize("seconds", [1.8])
def test_object_that_took_long_to_fetch_does_not_count_its_way_through_holders_as_age_twice(seconds):
    async def scenario(site):
        for node in site.nodes.values():
            node.route("objects", kind="cacheable", attempts=1, cache_life=2.5)
            node.direct_node.endpoints.is_scarce = lambda service: True
            departing_clients.SlowOrigins(node, seconds)
        statuses = [(await site.nodes["edge-1"].ask(f"/objects/{number}")).status for number in range(4)]
        return statuses, sum(site.sent().values())

    # Some of the objects pass both holders. If the fetch counted twice in their age, they would have expired.
    assert run_scenario(scenario, holders=2, holder_2="south")[0] == [200] * 4
