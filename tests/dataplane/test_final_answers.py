"""A request that fails gets its error response soon, with a remedy and the time after which to retry."""

import asyncio
import json

import cluster
import pytest

from irisstand import errors, web


def error_classes(root=errors.IrisError):
    for error_class in root.__subclasses__():
        yield error_class
        yield from error_classes(error_class)


ARGUMENTS = {
    errors.SettingsError: (["x"],),
    errors.InvalidChangeError: ([],),
    errors.StaleVersionError: ([],),
    errors.KeyClaimedError: ({},),
    errors.InsufficientCapacityError: ("x", {}),
}


@pytest.mark.parametrize(
    "error_class", sorted(set(error_classes()), key=lambda error_class: error_class.__name__)
)
def test_every_error_has_a_code_a_remedy_and_where_it_makes_sense_retry_after(error_class):
    error = error_class(*ARGUMENTS.get(error_class, ("what happened",)))
    response = web.error_response(error)
    content = json.loads(response.body)
    assert content["code"] == error_class.code
    assert len(content["remedy"]) > 10
    assert response.status == error_class.status
    assert response.headers["Cache-Control"] == "no-store"
    # Only errors that a retry can solve have a Retry-After header; others need a changed request first.
    assert ("Retry-After" in response.headers) == (error_class.status in (502, 503, 504))
    if "Retry-After" in response.headers:
        assert 1 <= int(response.headers["Retry-After"]) <= 60


async def timed(coroutine):
    started_at = asyncio.get_running_loop().time()
    answer = await coroutine
    return answer[1], asyncio.get_running_loop().time() - started_at


def test_rejections_come_before_the_deadline():
    """A request that cannot succeed is rejected at once or after a queue, not at its deadline of 3 s."""

    async def scenario(day):
        def timed_ask(number, method="GET", path="/shortlists/"):
            return timed(day.actors.send_request("edge-1", method, f"{path}{number}", b"{}"))

        outcomes = [await timed_ask(1, path="/nowhere/"), await timed_ask(2, "DELETE")]
        applications = [origin for origin in day.actors.origins if origin.service == "application"]
        for origin in applications:
            origin.up = False
        await asyncio.sleep(2)
        outcomes.append(await timed_ask(3))
        outcomes.append(await timed(day.actors.send_request("edge-1", "POST", "/applications", b"{}")))
        for origin in applications:
            origin.up = True
        await asyncio.sleep(3)
        value = {"deadline": 3.0, "ceiling": {"rate": 2, "inflight": 2}}
        row = {"kind": "service", "name": "application", "value": value}
        await day.actors.order("agency-1", "change", [row])
        await asyncio.sleep(3)
        many = await asyncio.gather(*(timed_ask(number) for number in range(100, 140)))
        outcomes += [answer for answer in many if answer[0]]
        for node in day.cluster.with_role("shield"):
            node.kill()
        outcomes.append(await timed_ask(4))
        for node in day.cluster.with_role("agency"):
            node.kill()
        await asyncio.sleep(2)
        outcomes.append(await timed_ask(5))
        codes = {code for code, _ in outcomes}
        assert {"unknown-path", "method-rejected", "no-origin", "no-shield", "stale-blueprint"} <= codes
        assert codes & {"over-ceiling", "no-share"}
        assert max(duration for _, duration in outcomes) < 0.9, outcomes

    cluster.run_scenario(scenario)


def test_order_to_a_node_that_has_lost_the_voters_is_rejected_at_once():
    async def scenario(day):
        day.cluster.partition_off(["agency-2"])
        await asyncio.sleep(2)
        started_at = day.watcher.now()
        with pytest.raises(errors.NoQuorumError):
            await day.actors.order("agency-2", "change", [cluster.site_row()])
        assert day.watcher.now() - started_at < 0.1

    cluster.run_scenario(scenario)


def test_read_leaves_a_shield_without_power_on_suspicion_and_before_its_deadline():
    async def scenario(day):
        # First attempts, so that the retry budget allows a retry.
        for number in range(60):
            await day.actors.send_request("edge-1", "GET", f"/vacancies/{number}")
        path = "/vacancies/77"
        edge = day.cluster.nodes["edge-1"].program.role_node
        first = edge.view.shields("content", f"{path}?")[0].identity.name
        day.cluster.nodes[first].kill(reset=False)
        (code, duration) = await timed(day.actors.send_request("edge-1", "GET", path))
        assert code == ""
        assert duration < 2.9

    cluster.run_scenario(scenario)
