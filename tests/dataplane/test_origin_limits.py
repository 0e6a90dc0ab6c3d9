"""Limits counted at the origins: rate and concurrency limits, abandoned requests, reassigned addresses."""

import asyncio
import random

import cluster
import pytest

import irisstand.balancing.retry_budget as budgets
from irisstand import errors
from irisstand.dataplane.retry import write_policy
from irisstand.simulator import origin_faults, origin_invariants


def origins_of(day, service):
    return [origin for origin in day.actors.origins if origin.service == service]


async def set_service_limits(day, service, rate, inflight, deadline=3.0):
    value = {"deadline": deadline, "ceiling": {"rate": rate, "inflight": inflight}}
    await day.actors.order("agency-1", "change", [{"kind": "service", "name": service, "value": value}])
    # A lowered limit reduces the quota shares at once, and they are assigned again over the next seconds.
    await asyncio.sleep(14)
    for origin in day.actors.all_origins:
        origin.started.clear()
        origin.work_periods.clear()


def ask_steadily(day, rate, seconds, path="/shortlists/"):
    """Send `rate` requests per second, each for another object, without waiting for the responses.

    Return a task with the status and code of each response.
    """

    async def run():
        jobs = []
        for number in range(int(rate * seconds)):
            edge = f"edge-{number % 2 + 1}"
            jobs.append(asyncio.create_task(day.actors.send_request(edge, "GET", f"{path}{rate}-{number}")))
            await asyncio.sleep(1 / rate)
        return [answer[:2] for answer in await asyncio.gather(*jobs)]

    return asyncio.create_task(run())


def check_limits(day, service, limits):
    watch = origin_invariants.OriginInvariants(day.cluster, {service: limits})
    watch.check_records()
    assert not any(day.checker.broken.values()), day.checker.examples
    return day.checker.checked


async def restart(node, pause=0.3):
    node.kill(reset=False)
    await asyncio.sleep(pause)
    await node.start()


def test_shield_restarted_at_once_never_uses_its_quota_share_twice():
    async def scenario(day):
        await set_service_limits(day, "application", 30, 10)
        for origin in origins_of(day, "application"):
            origin.delay = 2.5
        asking = ask_steadily(day, 60, 20)
        for name in ("shield-1", "shield-2", "shield-3") * 3:
            await asyncio.sleep(1.5)
            await restart(day.cluster.nodes[name])
        await asking
        checked = check_limits(day, "application", (30, 10))
        assert checked["no service has more requests in flight than its concurrency limit"] > 30

    cluster.run_scenario(scenario)


def test_abandoned_requests_still_count_as_in_flight():
    async def scenario(day):
        await set_service_limits(day, "application", 50, 10, deadline=1.0)
        # The origin processes each request for three times as long as any client waits.
        for origin in origins_of(day, "application"):
            origin.delay = 1.9
        results = await ask_steadily(day, 40, 15)
        check_limits(day, "application", (50, 10))
        assert {code for status, code in results if status == 503} <= {"over-ceiling", "no-share"}

    cluster.run_scenario(scenario)


def test_request_whose_connection_took_long_is_counted_when_it_is_sent():
    async def scenario(day):
        await set_service_limits(day, "application", 15, 60)
        connects = []
        for node in day.cluster.with_role("shield"):
            opener = node.program.role_node.origins.open_connection

            async def slow(host, port, opener=opener):
                connection = await opener(host, port)
                # All connections that are requested within the same two seconds open at the same moment.
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(2.0 - now % 2.0)
                connects.append(now)
                return connection

            node.program.role_node.origins.open_connection = slow
            for pool in node.program.role_node.origins.pools.values():
                pool.open_connection = slow
                pool.idle.clear()
        await ask_steadily(day, 30, 10)
        assert len(connects) > 20
        check_limits(day, "application", (15, 60))

    cluster.run_scenario(scenario)


def test_shield_just_started_uses_no_share_that_its_former_process_may_have_used():
    async def scenario(day):
        await asyncio.sleep(20)
        shields = day.cluster.with_role("shield")
        node = next(n for n in shields if n.program.role_node.view.quota_share("application", (200, 100))[0])
        await restart(node)
        await day.cluster.wait_until_ready()
        part = node.program.role_node
        granted = part.view.authorize("GET", "/shortlists/1", "")
        began = part.origin_client.opened_at
        assert part.view.quota_share("application", granted.limit)[0] > 0
        while day.watcher.now() < began + granted.deadline:
            decision = write_policy.ShieldWritePolicy(part.context.clock, granted, 3.0)
            with pytest.raises(errors.NoQuotaShareError):
                await node.run(part.origin_client.acquire_slot(granted, decision), 1)
            await asyncio.sleep(0.3)
        decision = write_policy.ShieldWritePolicy(part.context.clock, granted, 3.0)
        await node.run(part.origin_client.acquire_slot(granted, decision), 1)

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_retry_budget_holds_in_any_ten_seconds(seed):
    """Compares the retry budget at random times with a count of all first attempts and retries."""
    randomness = random.Random(seed)

    class Clock:
        moment = 0.0

        def now(self):
            return self.moment

    clock = Clock()
    budget = budgets.RetryBudget(clock, 0.1, 1)
    first, second = [], []
    for _ in range(3000):
        clock.moment += randomness.expovariate(20)
        first.append(clock.moment)
        budget.record_first_attempt()
        if randomness.random() < 0.5 and budget.take():
            second.append(clock.moment)
            recent = [sum(m > clock.moment - 10 for m in moments) for moments in (first, second)]
            assert recent[1] <= 0.1 * recent[0] + 1
    assert len(second) > 200


@pytest.mark.parametrize("seed", range(3))
def test_limits_hold_at_the_origin_through_partitions_pauses_and_evacuations(seed):
    async def scenario(day):
        randomness = random.Random(seed)
        await set_service_limits(day, "application", 25, 8)
        for origin in origins_of(day, "application"):
            origin.delay = 0.4
        asking = ask_steadily(day, 50, 60)
        names = [f"shield-{number}" for number in range(1, 6)]
        for _ in range(4):
            await asyncio.sleep(2)
            victim = day.cluster.nodes[randomness.choice(names)]
            step = randomness.choice(("freeze", "cut", "kill", "evacuate"))
            if step == "freeze":
                victim.freeze()
            elif step == "cut":
                day.cluster.partition_off([victim.placement.name, f"agency-{victim.placement.name[-1]}"])
            elif step == "kill":
                victim.kill()
            else:
                await day.actors.order("agency-2", "evacuate", victim.placement.site)
            await asyncio.sleep(randomness.uniform(1, 12))
            day.cluster.network.heal()
            if victim.actor.frozen:
                victim.thaw()
            if victim.actor.dead:
                await victim.start()
            await day.actors.order("agency-3", "return", victim.placement.site)
        await asking
        checked = check_limits(day, "application", (25, 8))
        assert checked["no service gets more requests in any one second than its rate limit"] > 300

    cluster.run_scenario(scenario, seed + 1)


def test_address_handed_to_another_service_gets_no_request_meant_for_the_old_one():
    async def scenario(day):
        asking = ask_steadily(day, 60, 8, "/vacancies/")
        await asyncio.sleep(1)
        await origin_faults.reuse_address(day.fault_injector)
        new_origin = day.actors.all_origins[-1]
        results = await asking
        assert sum(status == 200 for status, _ in results) > 400
        own = {"content": "/vacancies/", "application": "/shortlists/"}[new_origin.service]
        if own == "/shortlists/":
            assert not new_origin.started
        assert not any(day.checker.broken.values())

    cluster.run_scenario(scenario)
