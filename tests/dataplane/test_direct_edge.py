"""Edges that reach origins by themselves: what may be asked where, how often, and what clients get."""

import asyncio

import direct_edge
import pytest
from direct_edge import play, whole

from irisstand import errors
from irisstand.dataplane.upstream import exchange
from irisstand.state import items

BROKEN = exchange.ConnectionBrokenError("cut")
FULL = whole("", b"", 503, x_not_run="1", content_digest=None)


def fails(scene, kind, **fields):
    """The error that a scene ends with."""

    async def run(stage):
        with pytest.raises(kind) as raised:
            await scene(stage)
        return raised.value, stage

    return play(run, **fields)


# -- writes ------------------------------------------------------------------------------------------------
@pytest.mark.parametrize("status", [408, 429, 503])
def test_write_that_may_have_run_is_not_reported_as_not_run_and_not_retried(status):
    async def scene(stage):
        stage.play = lambda key, headers, body: whole(headers["x-request-id"], status=status)
        await stage.ask("/writes/1", "POST")

    error, stage = fails(scene, errors.OutcomeUnknownError)
    assert error.status not in (408, 421, 429, 503)
    assert len(stage.sent) == 1


def test_write_with_lost_answer_is_not_retried():
    async def scene(stage):
        stage.play = lambda key, headers, body: BROKEN
        await stage.ask("/writes/1", "POST")

    error, stage = fails(scene, errors.OutcomeUnknownError)
    assert len(stage.sent) == 1


def test_write_that_did_not_run_goes_to_another_origin_and_is_then_reported_as_not_run():
    async def scene(stage):
        stage.play = lambda key, headers, body: FULL
        await stage.ask("/writes/1", "POST")

    error, stage = fails(scene, errors.LimitExceededError)
    assert error.status == 503
    assert 0 < error.retry_after < 1
    assert sorted(stage.instances_asked()) == ["a", "b"]


def test_write_that_met_another_instance_has_not_run():
    async def scene(stage):
        stage.play = lambda key, headers, body: (
            whole("", b"", 421) if key == stage.instances_asked()[0] else whole(headers["x-request-id"])
        )
        return (await stage.ask("/writes/1", "POST")).status, stage.sent

    status, sent = play(scene)
    assert status == 200
    assert [entry[0] for entry in sent] in (["a", "b"], ["b", "a"])
    assert all(entry[3]["x-expected-instance"] == entry[0] for entry in sent)


def test_write_in_flight_when_the_route_is_withdrawn_is_not_sent_to_the_old_service():
    async def scene(stage):
        def origin(key, headers, body):
            stage.put(items.CONFIGURATION, "route/writes", {"version": 9, "item": None})
            return FULL

        stage.play = origin
        await stage.ask("/writes/1", "POST")

    error, stage = fails(scene, errors.IrisError)
    assert len(stage.sent) == 1
    assert error.status == 503


# -- reads -------------------------------------------------------------------------------------------------
@pytest.mark.parametrize("first", [BROKEN, FULL, whole("other"), whole("r1", content_digest=None)])
def test_failed_read_is_answered_by_another_origin(first):
    async def scene(stage):
        stage.play = lambda key, headers, body: (
            first if len(stage.sent) == 1 else whole(headers["x-request-id"], b"good")
        )
        return await stage.ask("/reads/1"), stage.instances_asked()

    answer, keys = play(scene)
    assert (answer.status, answer.body) == (200, b"good")
    assert sorted(keys) == ["a", "b"]


def test_read_of_a_silent_origin_is_hedged_and_its_first_attempt_not_cancelled():
    async def scene(stage):
        async def silent():
            await asyncio.sleep(1.5)
            return whole("r1", b"late")

        stage.play = lambda key, headers, body: silent() if len(stage.sent) == 1 else whole("r1", b"soon")
        started = asyncio.get_running_loop().time()
        answer = await stage.ask("/reads/1")
        took = asyncio.get_running_loop().time() - started
        left = len(stage.part.origins.attempts)
        await asyncio.sleep(2)
        return answer.body, took, left, len(stage.part.origins.attempts)

    body, took, left, in_the_end = play(scene)
    assert body == b"soon"
    assert took < 0.5
    assert (left, in_the_end) == (1, 0)


def test_retries_stay_within_this_edges_part_of_the_budget():
    async def scene(stage):
        stage.play = lambda key, headers, body: whole(headers["x-request-id"], status=500)
        for number in range(200):
            assert (await stage.ask(f"/reads/{number}", request_id=f"r{number}")).status == 500
        return len(stage.sent) - 200

    settings = direct_edge.SETTINGS
    assert (
        0
        < play(scene, edges=4)
        <= 200 * settings.second_share * 0.8 + settings.second_allowance * 0.8 / 4 + 1
    )


def test_server_error_of_an_origin_is_passed_on_when_no_other_answers_better():
    async def scene(stage):
        stage.play = lambda key, headers, body: whole(headers["x-request-id"], b"sorry", 500)
        return await stage.ask("/reads/1")

    answer = play(scene)
    assert (answer.status, answer.body) == (500, b"sorry")


def test_request_without_a_route_gets_404_and_without_an_origin_503():
    async def nowhere(stage):
        await stage.ask("/elsewhere/1")

    assert fails(nowhere, errors.UnknownPathError)[0].status == 404

    async def refused(stage):
        stage.refused = {"a", "b"}
        await stage.ask("/reads/1")

    error, stage = fails(refused, errors.NotSentError)
    assert error.status == 503
    assert not stage.sent


def test_node_with_stale_tables_serves_nothing():
    async def scene(stage):
        for copy in stage.context.replicas.values():
            copy.current_as_of = stage.context.clock.now() - 1.6
        await stage.ask("/reads/1")

    error, stage = fails(scene, errors.StaleConfigurationError)
    assert not stage.sent
