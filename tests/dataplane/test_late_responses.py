"""Origins that answer twice: each caller gets its own whole response, and no copy is older than its purge."""

import asyncio
import json

import cluster
import pytest
import stuttering_edge

from irisstand import errors
from irisstand.emulators import surplus_responses

PATH = "/objects/1"
KINDS = surplus_responses.SurplusKind
REQUESTS = 12
# Sent in the place of the next response on the connection.
IN_PLACE_OF_NEXT = None


def surplus(kind, count=1):
    return [surplus_responses.Surplus(kind, IN_PLACE_OF_NEXT)] * count


def read_purged_in_flight(*surplus, is_cached):
    """Return the bodies of a read that is purged in flight, and of one half a second later."""

    async def scenario(edge):
        if is_cached:
            await edge.ask(PATH, request_id="r0")
            edge.purge(PATH)
        bodies = [(await edge.ask_while_purged(PATH, "r1")).body]
        await asyncio.sleep(0.5)
        bodies.append((await edge.ask(PATH, request_id="r2")).body)
        return bodies, edge.records.object_body(PATH, edge.records.version(PATH))

    return stuttering_edge.run_scenario(scenario, *surplus)


@pytest.mark.parametrize("is_cached", [False, True])
def test_purged_object_is_not_served_from_a_late_response_to_the_fetch_before(is_cached):
    """Guards against STALE: the late response passes for that to the fetch after the purge."""
    bodies, newest = read_purged_in_flight(*surplus(KINDS.SAME), is_cached=is_cached)
    assert bodies == [newest, newest]


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("is_cached", [False, True])
def test_no_caller_gets_the_body_of_a_late_response(is_cached, count):
    """Guards against MIXED: a body that is not the origin's for the object, to the caller and to others."""
    bodies, newest = read_purged_in_flight(*surplus(KINDS.OTHER_BODY, count), is_cached=is_cached)
    assert bodies == [newest, newest]


@pytest.mark.parametrize("is_cached", [False, True])
def test_late_304_does_not_confirm_a_purged_copy(is_cached):
    bodies, newest = read_purged_in_flight(*surplus(KINDS.NOT_MODIFIED), is_cached=is_cached)
    assert bodies == [newest, newest]


@pytest.mark.parametrize("kind", [KINDS.WITHOUT_ID, KINDS.NOT_RUN])
def test_late_refusal_or_response_without_an_id_does_not_end_a_fetch(kind):
    bodies, newest = read_purged_in_flight(*surplus(kind), is_cached=False)
    assert bodies == [newest, newest]


def test_late_refusal_under_an_id_that_comes_again_is_not_taken_for_the_second_write():
    """Guards against REFUSED and TWICE: a write that runs is refused with a late "did not run"."""

    async def scenario(edge):
        await edge.ask("/writes/1", "POST", request_id="r1")
        try:
            status = (await edge.ask("/writes/1", "POST", request_id="r1")).status
        except errors.IrisError as error:
            status = error.status
        return status, edge.records.runs("r1")

    assert stuttering_edge.run_scenario(scenario, *surplus(KINDS.NOT_RUN)) == (200, 2)


def test_stuttering_origin_costs_no_further_connection_while_no_id_comes_again():
    async def scenario(edge):
        answers = [await edge.ask(f"/reads/{number}", request_id=f"r{number}") for number in range(REQUESTS)]
        return [answer.body for answer in answers], edge.connections.total()

    bodies, connections = stuttering_edge.run_scenario(scenario, *surplus(KINDS.OTHER_BODY))
    assert bodies == [f"/reads/{number} run for r{number}".encode() for number in range(REQUESTS)]
    assert connections == 1


def test_request_whose_place_many_late_responses_take_fails_and_its_connection_is_closed():
    async def scenario(edge):
        await edge.ask("/reads/1", request_id="r1")
        with pytest.raises(errors.OriginFailedError):
            await edge.ask("/reads/2", request_id="r2")
        return edge.context.counters.get("surplus_responses", fate="refused", reason="too-many")

    assert stuttering_edge.run_scenario(scenario, *surplus(KINDS.OTHER_BODY, 9)) == 1


def test_object_that_is_purged_in_flight_costs_one_connection_more_at_the_most():
    async def scenario(edge):
        for number in range(5):
            await edge.ask_while_purged(PATH, f"r{number}")
        return edge.connections.total()

    assert stuttering_edge.run_scenario(scenario) <= 2


def test_shield_closes_a_connection_on_which_a_late_response_came():
    """Guards against responses that stay one behind: each request on the connection would fail."""

    async def scenario(day):
        for origin in day.actors.origins:
            origin.faults.add("stutter")
        await read_all(day, "before", 20)
        for origin in day.actors.origins:
            origin.faults.discard("stutter")
        await read_all(day, "between", 20)
        return await read_all(day, "after", 20)

    assert cluster.run_scenario(scenario) == {200}


async def read_all(day, prefix, count):
    """Read objects one after another; return the statuses, and check that each body is the origin's."""
    statuses = set()
    for number in range(count):
        path = f"/vacancies/{prefix}-{number}"
        answer = await day.actors.send_request("edge-1", "GET", path)
        statuses.add(answer.status)
        if answer.status == 200:
            assert json.loads(answer.result.body)["target"] == path
    return statuses
