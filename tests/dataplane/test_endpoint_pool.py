"""The choice among origin endpoints: endpoints that rules exclude, and limits over the whole fleet."""

import asyncio

import direct_edge
import pytest
from direct_edge import complete_answer, run_scenario

from irisstand import errors
from irisstand.state import items


async def request_statuses(harness, number, path="/reads/", pause=0.0):
    """Send `number` requests; return their statuses, or the error's status for a rejected request."""
    found = []
    for index in range(number):
        try:
            found.append((await harness.ask(f"{path}{index}", request_id=f"r{index}")).status)
        except errors.IrisError as error:
            found.append(error.status)
        await asyncio.sleep(pause)
    return found


def test_route_goes_to_origins_of_its_own_regions_only():
    async def scenario(harness):
        harness.origin("c", site="east")
        harness.route("reads", kind="idempotent", regions=["two"])
        assert set(await request_statuses(harness, 30)) == {200}
        return set(harness.instances_asked())

    assert run_scenario(scenario) == {"c"}


@pytest.mark.parametrize("state", ["leaving", "gone"])
def test_leaving_origin_gets_no_more_requests(state):
    async def scenario(harness):
        if state == "leaving":
            harness.origin("a", state="leaving")
        else:
            harness.put(items.LEDGER, "origin/a", None)
        assert set(await request_statuses(harness, 30)) == {200}
        return set(harness.instances_asked())

    assert run_scenario(scenario) == {"b"}


def test_evacuated_site_gets_nothing_and_its_origins_count_as_cold_on_return():
    async def scenario(harness):
        async def origin(headers):
            await asyncio.sleep(0.08)
            return complete_answer(headers["x-request-id"])

        harness.respond = lambda key, headers, body: origin(headers)
        harness.origin("a", site="south")
        await asyncio.sleep(5)
        harness.put(items.LEDGER, "evacuated/north", {"evacuated": True})
        await request_statuses(harness, 30)
        assert set(harness.instances_asked()) == {"a"}
        harness.put(items.LEDGER, "evacuated/north", None)
        await request_statuses(harness, 30)
        assert set(harness.instances_asked()) == {"a"}
        await asyncio.sleep(direct_edge.SETTINGS.platform_lag + 3.1)
        await request_statuses(harness, 40)
        return set(harness.instances_asked())

    assert run_scenario(scenario) == {"a", "b"}


@pytest.mark.parametrize("edges", [1, 4, 30])
def test_all_cold_origins_get_no_more_than_their_slow_start_allows_from_all_edges(edges):
    async def scenario(harness):
        harness.put(items.LEDGER, "origin/b", None)
        harness.origin("a", state="cold", warmup=3)
        await asyncio.sleep(5)
        await request_statuses(harness, 300, pause=0.01)
        times = [sent[4] for sent in harness.sent]
        return max(sum(start <= other < start + 1.0 for other in times) for start in times) if times else 0

    settings = direct_edge.SETTINGS
    bound = direct_edge.UPSTREAM["cold_rate"] * settings.cold_factor + settings.cold_burst
    assert run_scenario(scenario, edges=edges) * edges <= max(bound, edges)


def test_service_gets_no_more_than_this_edges_quota_share_in_any_five_seconds():
    async def scenario(harness):
        item = {**direct_edge.UPSTREAM, "version": 9, "rate": 40.0}
        harness.put(items.CONFIGURATION, "upstream/s", {"version": 9, "item": item})
        clients = [request_statuses(harness, 200, f"/reads/{number}/", pause=0.05) for number in range(10)]
        statuses = [status for found in await asyncio.gather(*clients) for status in found]
        times = [sent[4] for sent in harness.sent]
        most = max(sum(start <= other < start + 5.0 for other in times) for start in times)
        return most, set(statuses), len(times)

    most, statuses, sent = run_scenario(scenario, edges=2)
    assert most <= 20 * 5 * 1.1 + 5
    assert statuses == {200, 503}
    assert sent > 150


def test_request_goes_to_no_more_origins_than_its_route_allows():
    async def scenario(harness):
        harness.origin("c")
        harness.respond = lambda key, headers, body: complete_answer(headers["x-request-id"], status=500)
        await request_statuses(harness, 3)
        return max(sum(sent[3]["x-request-id"] == f"r{n}" for sent in harness.sent) for n in range(3))

    assert run_scenario(scenario) == 2


def test_unreachable_origin_gets_only_probes_until_it_answers():
    async def scenario(harness):
        harness.refused = {"a"}
        running = asyncio.get_running_loop().create_task(harness.direct_node.run())
        harness.context.crashed = asyncio.get_running_loop().create_future()
        assert set(await request_statuses(harness, 20, pause=0.1)) == {200}
        tried = harness.connections["a"]
        harness.refused = set()
        harness.respond = lambda key, headers, body: complete_answer(
            headers.get("x-request-id", ""), x_instance=key
        )
        await request_statuses(harness, 60, pause=0.1)
        running.cancel()
        return tried, "a" in harness.instances_asked()

    tried, is_back = run_scenario(scenario)
    assert 1 <= tried < 10
    assert is_back


def test_origin_that_was_slow_once_is_used_again_though_another_is_faster():
    """Guards against an origin that never gets requests again after a slow response.

    The test of the deployed programs on a busy machine found this.
    """

    async def scenario(harness):
        slow = {"a": 1.0, "b": 0.0}

        async def origin(key, headers):
            await asyncio.sleep(slow[key] or 0.004)
            slow[key] = 0.0
            return direct_edge.complete_answer(headers["x-request-id"])

        harness.respond = lambda key, headers, body: origin(key, headers)
        # The requests run concurrently, so that both origins get some.
        await asyncio.gather(*(harness.ask(f"/reads/{n}", request_id=f"r{n}") for n in range(8)))
        before = harness.instances_asked().count("a")
        for number in range(200):
            await harness.ask(f"/reads/{number}", request_id=f"s{number}")
            await asyncio.sleep(0.05)
        return before, harness.instances_asked().count("a")

    before, after = direct_edge.run_scenario(scenario)
    assert 0 < before < after
