"""The choice of an origin is checked again after a request has waited for a token or a connection."""

import asyncio

import cluster
import direct_edge
import pytest
import test_object_holders

from irisstand import errors
from irisstand.state import items

# The token bucket is empty at first, so at this rate a single request waits half a second for its token.
RATE = 2.0
SECONDS_INTO_THE_WAIT = 0.1


def run_scenario(scenario):
    """Run a scenario with a rate limit, and with routes whose timeouts let requests wait for tokens."""

    async def with_rate_limit(harness):
        harness.put(
            items.CONFIGURATION,
            "upstream/s",
            {"version": 9, "item": {**direct_edge.UPSTREAM, "version": 9, "rate": RATE}},
        )
        for name, kind in direct_edge.KINDS.items():
            harness.route(name, kind=kind, timeout=20.0, target=10.0)
        for endpoint in harness.direct_node.endpoints.endpoints.values():
            keep_connection(harness, endpoint)
        return await scenario(harness)

    return direct_edge.run_scenario(with_rate_limit)


def keep_connection(harness, endpoint):
    """Give an endpoint an idle connection that has carried a request, so that none has to be opened."""
    connection = direct_edge.ScriptedConnection(harness, endpoint.instance)
    connection.history.add("earlier")
    endpoint.idle.append(connection)


def leave(harness, key):
    harness.origin(key, state="leaving")


def evacuate(harness, key):
    harness.origin("b" if key == "a" else "a", site="south")
    harness.put(items.LEDGER, "evacuated/north", {"site": "north"})


def remove(harness, key):
    harness.put(items.LEDGER, f"origin/{key}", None)


def turn_cold(harness, key):
    harness.origin(key, state="cold", warmup=3)


def fail(harness, key):
    harness.direct_node.endpoints.endpoints[f"origin/{key}"].mark_down("refused a connection")


@pytest.mark.parametrize(
    "change", [leave, evacuate, remove, turn_cold, fail], ids=lambda change: change.__name__
)
@pytest.mark.parametrize(
    ("path", "method"), [("/reads/1", "GET"), ("/objects/1", "GET"), ("/writes/1", "POST")]
)
def test_origin_that_changed_while_a_request_waited_for_a_token_does_not_get_it(path, method, change):
    async def scenario(harness):
        chosen = []
        choose = harness.direct_node.endpoints.choose

        def record_choice(*arguments):
            chosen.append(choose(*arguments).instance)
            return harness.direct_node.endpoints.endpoints[f"origin/{chosen[-1]}"]

        harness.direct_node.endpoints.choose = record_choice
        request = asyncio.create_task(harness.ask(path, method))
        await asyncio.sleep(SECONDS_INTO_THE_WAIT)
        change(harness, chosen[0])
        answer = await request
        return answer.status, harness.instances_asked(), chosen[0]

    status, asked, first = run_scenario(scenario)
    assert (status, asked) == (200, ["b" if first == "a" else "a"])


@pytest.mark.parametrize("change", [leave, evacuate, remove, turn_cold], ids=lambda change: change.__name__)
@pytest.mark.parametrize(
    ("path", "method"), [("/reads/1", "GET"), ("/objects/1", "GET"), ("/writes/1", "POST")]
)
def test_origin_that_changed_while_a_connection_to_it_opened_does_not_get_the_request(path, method, change):
    """Guards against requests to leaving origins (DRAIN) or evacuated sites (EVAC) after a slow connect."""

    async def scenario(harness):
        opened = []

        async def connect(host, port):
            opened.append(chr(int(host.rpartition(".")[2])))
            if len(opened) == 1:
                await asyncio.sleep(0.1)
                change(harness, opened[0])
            return direct_edge.ScriptedConnection(harness, opened[-1])

        for endpoint in harness.direct_node.endpoints.endpoints.values():
            endpoint.connect = connect
        answer = await harness.ask(path, method)
        return answer.status, harness.instances_asked(), opened[0]

    status, asked, first = direct_edge.run_scenario(scenario)
    assert (status, asked) == (200, ["b" if first == "a" else "a"])


def test_request_whose_route_went_to_another_service_while_it_waited_is_not_sent():
    async def scenario(harness):
        request = asyncio.create_task(harness.ask("/writes/1", "POST"))
        await asyncio.sleep(SECONDS_INTO_THE_WAIT)
        harness.put(items.CONFIGURATION, "upstream/t", {"version": 1, "item": {"name": "t", "version": 1}})
        harness.route("writes", kind="non_idempotent", service="t")
        with pytest.raises(errors.IrisError) as raised:
            await request
        return raised.value.status, harness.sent

    assert run_scenario(scenario) == (503, [])


@pytest.mark.parametrize("change", ["leaving", "evacuated"])
def test_shield_sends_nothing_to_an_origin_that_changed_while_its_connection_opened(change):
    """Guards against requests to leaving origins (DRAIN) or evacuated sites (EVAC) after a shield's probe."""

    async def scenario(day):
        origins = [origin for origin in day.actors.origins if origin.service == "application"]
        opened = []
        for node in day.cluster.with_role("shield"):
            pools = node.program.role_node.origins
            opener = pools.open_connection

            async def slow(host, port, opener=opener, pools=pools):
                connection = await opener(host, port)
                opened.append(connection.origin)
                if len(opened) == 1:
                    await asyncio.sleep(0.05)
                    for pool in pools.pools.values():
                        if pool.instance != connection.origin.instance:
                            continue
                        if change == "leaving":
                            pool.origin = pool.origin._replace(state="leaving")
                        else:
                            pools.view.is_evacuated = pool.origin.site.__eq__
                return connection

            for pool in pools.pools.values():
                pool.open_connection = slow
                pool.idle.clear()
        for origin in origins:
            origin.started.clear()
        status = (await day.actors.send_request("edge-1", "GET", "/shortlists/1"))[0]
        return status, len(opened) > 1, opened[0].started

    assert cluster.run_scenario(scenario) == (200, True, [])


def test_holder_that_began_to_drain_during_a_fetch_hands_an_outdated_read_back():
    async def scenario(site):
        holder = site.nodes["holder-1"]

        async def purge_and_drain_during_the_fetch(key, headers, body):
            await asyncio.sleep(0.1)
            site.put(items.LEDGER, "purge/path/h/objects/1", {"purge": "path"})
            holder.context.is_draining = True
            return direct_edge.complete_answer(headers["x-request-id"])

        holder.respond = purge_and_drain_during_the_fetch
        response = await site.nodes["edge-1"].ask("/objects/1")
        return response.status, site.sent()

    assert test_object_holders.run_scenario(scenario) == (200, {"holder-1": 1, "edge-1": 1})
