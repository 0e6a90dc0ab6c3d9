"""The final answer comes at once, and says when to come back."""

import asyncio
import json

import cluster
import pytest

from irisstand import errors, web


def kinds(root=errors.IrisError):
    for kind in root.__subclasses__():
        yield kind
        yield from kinds(kind)


ARGUMENTS = {
    errors.SettingsError: (["x"],),
    errors.InvalidChangeError: ([],),
    errors.StaleVersionError: ([],),
    errors.KeyClaimedError: ({},),
    errors.InsufficientCapacityError: ("x", {}),
}


@pytest.mark.parametrize("kind", sorted(set(kinds()), key=lambda kind: kind.__name__))
def test_every_error_has_a_code_a_remedy_and_where_it_makes_sense_retry_after(kind):
    error = kind(*ARGUMENTS.get(kind, ("what happened",)))
    response = web.error_response(error)
    content = json.loads(response.body)
    assert content["code"] == kind.code
    assert len(content["remedy"]) > 10
    assert response.status == kind.status
    assert response.headers["Cache-Control"] == "no-store"
    # Whoever could come back is told when; whoever must change something first is not told to hurry.
    assert ("Retry-After" in response.headers) == (kind.status in (502, 503, 504))
    if "Retry-After" in response.headers:
        assert 1 <= int(response.headers["Retry-After"]) <= 60


async def timed(coroutine):
    began = asyncio.get_running_loop().time()
    answer = await coroutine
    return answer[1], asyncio.get_running_loop().time() - began


def test_rejections_come_before_the_deadline():
    """The deadline is three seconds; what cannot be helped is said at once, or after its queue."""

    async def scene(day):
        def ask(number, method="GET", path="/shortlists/"):
            return timed(day.actors.send_request("edge-1", method, f"{path}{number}", b"{}"))

        told = [await ask(1, path="/nowhere/"), await ask(2, "DELETE")]
        applications = [origin for origin in day.actors.origins if origin.service == "application"]
        for origin in applications:
            origin.up = False
        await asyncio.sleep(2)
        told.append(await ask(3))
        told.append(await timed(day.actors.send_request("edge-1", "POST", "/applications", b"{}")))
        for origin in applications:
            origin.up = True
        await asyncio.sleep(3)
        value = {"deadline": 3.0, "ceiling": {"rate": 2, "inflight": 2}}
        row = {"kind": "service", "name": "application", "value": value}
        await day.actors.order("agency-1", "change", [row])
        await asyncio.sleep(3)
        many = await asyncio.gather(*(ask(number) for number in range(100, 140)))
        told += [answer for answer in many if answer[0]]
        for node in day.cluster.with_role("shield"):
            node.kill()
        told.append(await ask(4))
        for node in day.cluster.with_role("agency"):
            node.kill()
        await asyncio.sleep(2)
        told.append(await ask(5))
        codes = {code for code, _ in told}
        assert {"unknown-path", "method-rejected", "no-origin", "no-shield", "stale-blueprint"} <= codes
        assert codes & {"over-ceiling", "no-share"}
        assert max(took for _, took in told) < 0.9, told

    cluster.play(scene)


def test_order_to_a_node_that_has_lost_the_voters_is_rejected_at_once():
    async def scene(day):
        day.cluster.partition_off(["agency-2"])
        await asyncio.sleep(2)
        began = day.watcher.now()
        with pytest.raises(errors.NoQuorumError):
            await day.actors.order("agency-2", "change", [cluster.site_row()])
        assert day.watcher.now() - began < 0.1

    cluster.play(scene)


def test_read_leaves_a_shield_without_power_on_suspicion_and_before_its_deadline():
    async def scene(day):
        # First tries, so that there is a budget for second ones.
        for number in range(60):
            await day.actors.send_request("edge-1", "GET", f"/vacancies/{number}")
        path = "/vacancies/77"
        edge = day.cluster.nodes["edge-1"].program.role_node
        first = edge.view.shields("content", f"{path}?")[0].identity.name
        day.cluster.nodes[first].kill(reset=False)
        (code, took) = await timed(day.actors.send_request("edge-1", "GET", path))
        assert code == ""
        assert took < 2.9

    cluster.play(scene)
