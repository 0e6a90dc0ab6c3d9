"""Which connection to an origin may carry a request, so that its response can be told from all others."""

import asyncio

import direct_edge
import pytest
from test_exchange import ID, answer, run_with_origin, send_get

from irisstand import errors
from irisstand.dataplane.upstream import connection_history


def count_and_answer(received):
    async def origin(number, reader, writer):
        received.append(number)
        writer.write(answer("a") if number == 1 else f"HTTP/1.1 200 OK\r\n{ID}: b\r\n\r\n".encode())

    return origin


@pytest.mark.parametrize("request_id", ["a", ""])
def test_request_that_a_late_response_could_answer_is_not_sent_on_the_connection(request_id):
    received = []

    async def scenario(connection):
        await send_get(connection, "a")
        connection.may_have_sent = False
        with pytest.raises(errors.NotSentError):
            await send_get(connection, request_id)
        await asyncio.sleep(0.02)
        return connection.may_have_sent, connection.is_usable()

    assert run_with_origin(count_and_answer(received), scenario) == (False, True)
    assert received == [1]


def test_connection_is_replaced_when_its_history_is_full():
    async def origin(number, reader, writer):
        writer.write(answer(f"r{number}"))

    async def scenario(connection):
        for number in range(1, connection_history.REQUESTS_LIMIT + 1):
            assert connection.is_usable()
            await send_get(connection, f"r{number}")
        return connection.is_usable()

    assert run_with_origin(origin, scenario) is False


def idle_connection(harness, *carried_ids):
    connection = direct_edge.ScriptedConnection(harness, "a")
    for request_id in carried_ids:
        connection.history.add(request_id)
    return connection


def endpoint_with(harness, *idle):
    endpoint = harness.direct_node.endpoints.endpoints["origin/a"]
    endpoint.idle = list(idle)
    return endpoint


def test_endpoint_takes_the_connection_used_last_that_has_not_carried_the_id():
    async def scenario(harness):
        oldest, middle, newest = (idle_connection(harness, name) for name in "xyz")
        endpoint = endpoint_with(harness, oldest, middle, newest)
        taken = [await endpoint.acquire(1.0, "z"), await endpoint.acquire(1.0, "z")]
        return taken == [middle, oldest], endpoint.idle == [newest], harness.connections.total()

    assert direct_edge.run_scenario(scenario) == (True, True, 0)


@pytest.mark.parametrize(("limit", "is_closed"), [(2, False), (1, True), (None, False)])
def test_connection_that_is_opened_for_an_id_keeps_the_limit_of_the_origin(limit, is_closed):
    async def scenario(harness):
        idle = idle_connection(harness, "z")
        endpoint = endpoint_with(harness, idle)
        endpoint.begin()
        await endpoint.acquire(1.0, "z", limit)
        return harness.connections.total(), not idle.is_open

    assert direct_edge.run_scenario(scenario) == (1, is_closed)


def test_probe_of_an_origin_that_was_down_uses_no_connection_that_has_carried_a_request():
    """Guards against an origin that stays down: the response to a probe bears no id."""

    async def scenario(harness):
        idle = idle_connection(harness, "z")
        endpoint = endpoint_with(harness, idle)
        endpoint.mark_down("no connection in time")
        await harness.direct_node.endpoints.prober.probe(endpoint)
        return endpoint.is_down, harness.connections.total(), idle.history.carried_count

    assert direct_edge.run_scenario(scenario) == (False, 1, 1)
