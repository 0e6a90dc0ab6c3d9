"""Clients that disconnect before the response: only work that docs/departures.md names goes on for them."""

import asyncio

import pytest
from departing_clients import run_scenario
from direct_edge import UPSTREAM

from irisstand import errors
from irisstand.state import items

# Times before and after the moment at which a hedged request is sent beside the first attempt.
BEFORE_HEDGE, AFTER_HEDGE = 0.1, 0.35


def now():
    return asyncio.get_running_loop().time()


# -- work that ends when its client disconnects -------------------------------------------------------------
@pytest.mark.parametrize("path", ["/reads/1", "/objects/1"])
@pytest.mark.parametrize(("seconds", "attempts"), [(BEFORE_HEDGE, 1), (AFTER_HEDGE, 2)])
def test_read_is_withdrawn_from_its_origins_when_its_client_leaves(path, seconds, attempts):
    async def scenario(harness):
        await harness.request_and_disconnect(path, seconds)
        left_at = now()
        await asyncio.sleep(2)
        return [run.ended_at - left_at for run in harness.origins.runs], harness.origins.cancelled()

    ended, cancelled_runs = run_scenario(scenario)
    assert cancelled_runs == [True] * attempts
    assert max(ended) < 0.001


@pytest.mark.parametrize("path", ["/reads/1", "/objects/1"])
def test_no_attempt_begins_after_the_client_left(path):
    async def scenario(harness):
        await harness.request_and_disconnect(path, BEFORE_HEDGE)
        await asyncio.sleep(2)
        return len(harness.node.sent)

    assert run_scenario(scenario) == 1


@pytest.mark.parametrize("path", ["/reads/1", "/objects/1", "/writes/1"])
def test_request_that_is_still_being_connected_is_never_sent(path):
    async def scenario(harness):
        connect = harness.node.connect

        async def slow(host, port):
            await asyncio.sleep(0.3)
            return await connect(host, port)

        for endpoint in harness.node.direct_node.endpoints.endpoints.values():
            endpoint.connect = slow
        await harness.request_and_disconnect(path, BEFORE_HEDGE, "GET" if path != "/writes/1" else "POST")
        await asyncio.sleep(2)
        return harness.node.sent, len(harness.node.direct_node.origins.attempts)

    assert run_scenario(scenario) == ([], 0)


@pytest.mark.parametrize(
    ("path", "method"), [("/reads/1", "GET"), ("/objects/1", "GET"), ("/writes/1", "POST")]
)
def test_request_that_waits_for_a_limit_is_never_sent(path, method):
    async def scenario(harness):
        harness.node.put(
            items.CONFIGURATION, "upstream/s", {"version": 2, "item": {**UPSTREAM, "rate": 20.0}}
        )
        harness.origins.seconds = 0.001
        # The token bucket is empty at first, so that both requests wait; tokens accrue every 50 ms.
        clients = [harness.start_request(f"{path}{number}", method) for number in range(2)]
        await asyncio.sleep(0.002)
        waiting = len(harness.node.sent)
        for client in clients:
            await harness.disconnect(client)
        await asyncio.sleep(2)
        return waiting, len(harness.node.sent), harness.context.in_flight

    assert run_scenario(scenario) == (0, 0, 0)


def test_failure_after_the_client_left_is_not_retried():
    async def scenario(harness):
        harness.origins.seconds = 0.15
        harness.origins.status = 500
        await harness.request_and_disconnect("/writes/1", BEFORE_HEDGE, "POST")
        await harness.request_and_disconnect("/reads/1", BEFORE_HEDGE)
        await asyncio.sleep(2)
        return len(harness.node.sent), harness.origins.cancelled()

    assert run_scenario(scenario) == (2, [False, True])


def test_departure_is_counted_as_such_and_not_as_a_crash():
    async def scenario(harness):
        client = harness.start_request("/reads/1")
        await asyncio.sleep(BEFORE_HEDGE)
        await harness.disconnect(client)
        counters = harness.context.counters
        return client.cancelled(), counters.total("clients_left"), counters.total("requests_crashed")

    assert run_scenario(scenario) == (True, 1, 0)


def test_withdrawn_attempt_leaves_its_connection_unused_and_its_endpoint_free():
    async def scenario(harness):
        await harness.request_and_disconnect("/reads/1", BEFORE_HEDGE)
        await asyncio.sleep(0.01)
        endpoints = harness.node.direct_node.endpoints.endpoints.values()
        return [(len(e.in_flight), len(e.idle)) for e in endpoints], harness.context.in_flight

    assert run_scenario(scenario) == ([(0, 0), (0, 0)], 0)


def test_endpoint_whose_attempts_are_withdrawn_late_counts_as_slow():
    async def scenario(harness):
        usual = {key: e.usual_seconds for key, e in harness.node.direct_node.endpoints.endpoints.items()}
        await harness.request_and_disconnect("/reads/1", 0.19)
        await asyncio.sleep(0.01)
        endpoint_key = f"origin/{harness.origins.runs[0].instance}"
        return harness.node.direct_node.endpoints.endpoints[endpoint_key].usual_seconds - usual[endpoint_key]

    assert run_scenario(scenario) > 0.01


@pytest.mark.parametrize(
    ("path", "method", "seconds"),
    [("/reads/1", "GET", 0.1), ("/objects/1", "GET", 0.1), ("/writes/1", "POST", 1.0)],
)
def test_attempt_ends_soon_after_the_deadline_of_a_client_that_was_not_answered(path, method, seconds):
    async def scenario(harness):
        harness.origins.seconds = 60
        started = now()
        response = await harness.start_request(path, method)
        # The route's timeout of 2 s, less 15 ms that are kept for sending the response to the client.
        deadline = started + 2.0 - 0.015
        await asyncio.sleep(5)
        return response.status, {round(run.ended_at - deadline, 3) for run in harness.origins.runs}

    assert run_scenario(scenario) == (504, {seconds})


# -- work that goes on after its client disconnects ---------------------------------------------------------
def test_write_at_its_origin_is_carried_on_and_counted_until_it_ends():
    async def scenario(harness):
        await harness.request_and_disconnect("/writes/1", BEFORE_HEDGE, "POST")
        counted = harness.context.in_flight
        await asyncio.sleep(2)
        return counted, harness.context.in_flight, harness.origins.cancelled(), len(harness.node.sent)

    assert run_scenario(scenario) == (1, 0, [False], 1)


def test_shared_fetch_goes_on_while_another_client_waits():
    async def scenario(harness):
        harness.origins.seconds = 0.3
        first = harness.start_request("/objects/1")
        await asyncio.sleep(0.05)
        second = harness.start_request("/objects/1")
        await asyncio.sleep(0.05)
        await harness.disconnect(first)
        return (await second).status, len(harness.node.sent), harness.origins.cancelled()

    status, sent, cancelled_runs = run_scenario(scenario)
    assert (status, cancelled_runs[0]) == (200, False)
    assert sent <= 2


def test_shared_fetch_ends_with_its_last_client():
    async def scenario(harness):
        clients = [harness.start_request("/objects/1") for _ in range(3)]
        await asyncio.sleep(0.05)
        cancelled_runs = []
        for client in clients:
            await harness.disconnect(client)
            await asyncio.sleep(0.01)
            cancelled_runs.append(harness.origins.cancelled())
        return cancelled_runs

    assert run_scenario(scenario) == [[False], [False], [True]]


def test_read_after_an_abandoned_one_begins_anew():
    async def scenario(harness):
        await harness.request_and_disconnect("/objects/1", 0.05)
        harness.origins.seconds = 0.01
        return (await harness.start_request("/objects/1")).status

    assert run_scenario(scenario) == 200


def test_client_that_stays_gets_the_error_of_a_read_that_was_cancelled_inside():
    async def scenario(harness):
        async def cancelled(_):
            raise asyncio.CancelledError

        harness.node.direct_node.handle = cancelled
        response = await harness.start_request("/reads/1")
        return response.status, harness.context.counters.total("clients_left")

    assert run_scenario(scenario) == (errors.OutcomeUnknownError.status, 0)


def test_during_a_drain_a_read_ends_with_its_client_and_a_write_is_waited_for():
    async def scenario(harness):
        clients = [harness.start_request("/reads/1"), harness.start_request("/writes/1", "POST")]
        await asyncio.sleep(0.05)
        harness.context.is_lame_duck = harness.context.is_draining = True
        for client in clients:
            await harness.disconnect(client)
        harness.context.detector.leave = lambda: None
        started_at = now()
        await harness.context.drain()
        return harness.origins.cancelled(), harness.context.in_flight, now() - started_at

    cancelled_runs, in_flight, drain_seconds = run_scenario(scenario)
    assert (sorted(cancelled_runs), in_flight) == ([False, True], 0)
    # The write began 0.05 s before the drain, and its origin works on it for 1.5 s.
    assert 1.44 < drain_seconds < 1.6
