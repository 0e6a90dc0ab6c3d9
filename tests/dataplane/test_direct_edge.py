"""Edges that connect to origins themselves: which requests they retry or hedge, and what they respond."""

import asyncio

import direct_edge
import pytest
from direct_edge import complete_answer, run_scenario

from irisstand import errors
from irisstand.dataplane.upstream import exchange
from irisstand.state import items

BROKEN_CONNECTION = exchange.ConnectionBrokenError("connection reset")
NOT_RUN = complete_answer("", b"", 503, x_not_run="1", content_digest=None)


def error_of(scenario, kind, **fields):
    """Run a scenario that must raise an error of the given class; return the error and the harness."""

    async def run(harness):
        with pytest.raises(kind) as raised:
            await scenario(harness)
        return raised.value, harness

    return run_scenario(run, **fields)


# -- writes ------------------------------------------------------------------------------------------------
@pytest.mark.parametrize("status", [408, 429, 503])
def test_write_that_may_have_run_is_not_reported_as_not_run_and_not_retried(status):
    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(headers["x-request-id"], status=status)
        await harness.ask("/writes/1", "POST")

    error, harness = error_of(scenario, errors.OutcomeUnknownError)
    assert error.status not in (408, 421, 429, 503)
    assert len(harness.sent) == 1


def test_write_with_lost_answer_is_not_retried():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: BROKEN_CONNECTION
        await harness.ask("/writes/1", "POST")

    error, harness = error_of(scenario, errors.OutcomeUnknownError)
    assert len(harness.sent) == 1


def test_write_that_did_not_run_goes_to_another_origin_and_is_then_reported_as_not_run():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: NOT_RUN
        await harness.ask("/writes/1", "POST")

    error, harness = error_of(scenario, errors.LimitExceededError)
    assert error.status == 503
    assert 0 < error.retry_after < 1
    assert sorted(harness.instances_asked()) == ["a", "b"]


def test_write_that_met_another_instance_has_not_run():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: (
            complete_answer("", b"", 421)
            if key == harness.instances_asked()[0]
            else complete_answer(headers["x-request-id"])
        )
        return (await harness.ask("/writes/1", "POST")).status, harness.sent

    status, sent = run_scenario(scenario)
    assert status == 200
    assert [entry[0] for entry in sent] in (["a", "b"], ["b", "a"])
    assert all(entry[3]["x-expected-instance"] == entry[0] for entry in sent)


def test_write_in_flight_when_the_route_is_withdrawn_is_not_sent_to_the_old_service():
    async def scenario(harness):
        def origin(key, headers, body):
            harness.put(items.CONFIGURATION, "route/writes", {"version": 9, "item": None})
            return NOT_RUN

        harness.respond = origin
        await harness.ask("/writes/1", "POST")

    error, harness = error_of(scenario, errors.IrisError)
    assert len(harness.sent) == 1
    assert error.status == 503


# -- reads -------------------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    "first",
    [BROKEN_CONNECTION, NOT_RUN, complete_answer("other"), complete_answer("r1", content_digest=None)],
)
def test_failed_read_is_answered_by_another_origin(first):
    async def scenario(harness):
        harness.respond = lambda key, headers, body: (
            first if len(harness.sent) == 1 else complete_answer(headers["x-request-id"], b"good")
        )
        return await harness.ask("/reads/1"), harness.instances_asked()

    answer, keys = run_scenario(scenario)
    assert (answer.status, answer.body) == (200, b"good")
    assert sorted(keys) == ["a", "b"]


def test_read_of_a_silent_origin_is_hedged_and_its_first_attempt_not_cancelled():
    async def scenario(harness):
        async def silent():
            await asyncio.sleep(1.5)
            return complete_answer("r1", b"late")

        harness.respond = lambda key, headers, body: (
            silent() if len(harness.sent) == 1 else complete_answer("r1", b"soon")
        )
        started = asyncio.get_running_loop().time()
        answer = await harness.ask("/reads/1")
        elapsed = asyncio.get_running_loop().time() - started
        attempts_left = len(harness.direct_node.origins.attempts)
        await asyncio.sleep(2)
        return answer.body, elapsed, attempts_left, len(harness.direct_node.origins.attempts)

    body, elapsed, attempts_left, attempts_left_later = run_scenario(scenario)
    assert body == b"soon"
    assert elapsed < 0.5
    assert (attempts_left, attempts_left_later) == (1, 0)


def test_retries_stay_within_this_edges_part_of_the_budget():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(headers["x-request-id"], status=500)
        for number in range(200):
            assert (await harness.ask(f"/reads/{number}", request_id=f"r{number}")).status == 500
        return len(harness.sent) - 200

    settings = direct_edge.SETTINGS
    assert (
        0
        < run_scenario(scenario, edges=4)
        <= 200 * settings.second_share * 0.8 + settings.second_allowance * 0.8 / 4 + 1
    )


def test_server_error_of_an_origin_is_passed_on_when_no_other_answers_better():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(headers["x-request-id"], b"sorry", 500)
        return await harness.ask("/reads/1")

    answer = run_scenario(scenario)
    assert (answer.status, answer.body) == (500, b"sorry")


def test_request_without_a_route_gets_404_and_without_an_origin_503():
    async def nowhere(harness):
        await harness.ask("/elsewhere/1")

    assert error_of(nowhere, errors.UnknownPathError)[0].status == 404

    async def refused(harness):
        harness.refused = {"a", "b"}
        await harness.ask("/reads/1")

    error, harness = error_of(refused, errors.NotSentError)
    assert error.status == 503
    assert not harness.sent


def test_node_with_stale_tables_serves_nothing():
    async def scenario(harness):
        for copy in harness.context.replicas.values():
            copy.current_as_of = harness.context.clock.now() - 1.6
        await harness.ask("/reads/1")

    error, harness = error_of(scenario, errors.StaleConfigurationError)
    assert not harness.sent
