"""Reads that an edge has an object holder fetch: an answer of the edge's own never replaces the origin's."""

import asyncio

import departing_clients
import pytest
from test_object_holders import play

from irisstand import errors


def leave_no_token(node):
    """Refuse every token to a node's own requests, as where the rate is used up."""

    def refuse(*arguments):
        raise errors.LimitExceededError("s is at its ceiling")

    node.part.endpoints.take_token = refuse


def send_each_read_once(site):
    """Let no node send a hedged request, so that each run belongs to one fetch."""
    for node in site.nodes.values():
        node.route("objects", kind="cacheable", attempts=1)


@pytest.mark.parametrize("is_stopping", [False, True])
@pytest.mark.parametrize("seconds", [0.7, 1.8])
def test_edge_does_not_refuse_a_read_that_an_origin_works_on_for_its_holder(seconds, is_stopping):
    async def scene(site):
        origins = departing_clients.WorkingOrigins(site.nodes["holder-1"], seconds)
        send_each_read_once(site)
        leave_no_token(site.nodes["edge-1"])
        site.nodes["edge-1"].context.is_draining = is_stopping
        answer = await site.nodes["edge-1"].ask("/objects/1")
        return answer.status, origins.cut(), site.sent()

    assert play(scene) == (200, [False], {"holder-1": 1})


def test_holder_does_not_break_off_a_read_that_an_origin_works_on_for_another_holder():
    async def scene(site):
        send_each_read_once(site)
        fetching = [departing_clients.WorkingOrigins(site.nodes[f"holder-{n}"], 0.5) for n in (1, 2)]
        for node in site.nodes.values():
            node.part.endpoints.is_scarce = lambda service: True
        statuses = [(await site.nodes["edge-1"].ask(f"/objects/{n}")).status for n in range(6)]
        cut = [is_cut for origins in fetching for is_cut in origins.cut()]
        return statuses, cut

    # Both holders are asked by the edge's site in turn; half of the objects belong to the other one.
    assert play(scene, holders=2, holder_2="south") == ([200] * 6, [False] * 6)


def test_read_with_much_time_left_is_not_refused_when_the_time_of_a_shared_one_is_over():
    async def scene(site):
        edge = site.nodes["edge-1"]
        departing_clients.WorkingOrigins(edge, 1.0)
        short = asyncio.create_task(edge.ask("/objects/1", request_id="r1", x_remaining_ms="400"))
        await asyncio.sleep(0.1)
        long = await edge.ask("/objects/1", request_id="r2", x_remaining_ms="2000")
        with pytest.raises(errors.DeadlineExceededError):
            await short
        return long.status

    assert play(scene, holders=0) == 200


@pytest.mark.parametrize("seconds", [1.8])
def test_object_that_took_long_to_fetch_does_not_count_its_way_through_holders_as_age_twice(seconds):
    async def scene(site):
        for node in site.nodes.values():
            node.route("objects", kind="cacheable", attempts=1, cache_life=2.5)
            node.part.endpoints.is_scarce = lambda service: True
            departing_clients.WorkingOrigins(node, seconds)
        statuses = [(await site.nodes["edge-1"].ask(f"/objects/{number}")).status for number in range(4)]
        return statuses, sum(site.sent().values())

    # Some of the objects go from holder to holder; none is fetched again for its age.
    assert play(scene, holders=2, holder_2="south")[0] == [200] * 4
