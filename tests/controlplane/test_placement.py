"""Placement of slots and quota shares on shield machines, and evacuation of sites."""

import asyncio
import collections

import cluster

from irisstand.controlplane.singletons import fleet_view


def owners(day, name="agency-1"):
    return fleet_view.FleetView(cluster.context(day, name)).slot_owners()


def standby_machines(day, name="agency-2"):
    return {
        item.key.removeprefix("rest/")
        for item in cluster.context(day, name).ledger.items_with_prefix("rest/")
    }


async def wait_until_true(day, condition, timeout_seconds=60):
    return await day.cluster.wait_until(condition, timeout_seconds)


async def pin_all(day):
    """Keep every shield machine active, so that slots and shares move only because of the tested event."""
    rows = [
        {"kind": "machine", "name": node.placement.machine, "value": {"awake": True}}
        for node in day.cluster.with_role("shield")
    ]
    await day.actors.order("agency-1", "change", rows)
    await wait_until_true(day, lambda: not any("shield" in name for name in standby_machines(day)))
    machines = {node.placement.machine for node in day.cluster.with_role("shield")}
    await wait_until_true(day, lambda: set(owners(day)) == machines)
    await asyncio.sleep(40)


def test_a_lost_shield_moves_its_own_slots_only_and_gets_them_back_in_small_steps():
    async def scenario(day):
        await pin_all(day)
        before = owners(day)
        lost = "shield-machine-2"
        lost_slots = before.count(lost)
        assert 25 < lost_slots < 80
        day.cluster.nodes["shield-2"].kill()
        await wait_until_true(day, lambda: lost not in owners(day))
        after = owners(day)
        # Exactly the slots of the lost machine have moved, the fewest possible.
        assert [a != b for a, b in zip(before, after, strict=True)] == [owner == lost for owner in before]
        await day.cluster.nodes["shield-2"].start()
        steps, last = [], after
        for _ in range(400):
            await asyncio.sleep(0.1)
            now = owners(day)
            steps.append(sum(a != b for a, b in zip(last, now, strict=True)))
            last = now
        assert max(steps) <= 8
        assert sum(steps) == lost_slots
        assert last == before

    cluster.run_scenario(scenario)


def test_a_shield_that_restarts_at_once_keeps_its_slots():
    async def scenario(day):
        await pin_all(day)
        before = owners(day)
        node = day.cluster.nodes["shield-3"]
        node.kill()
        await asyncio.sleep(1)
        await node.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert owners(day) == before

    cluster.run_scenario(scenario)


def test_quota_shares_never_exceed_the_limit_through_loss_standby_partition_and_change():
    async def scenario(day):
        watch = asyncio.create_task(day.watcher.run())
        await pin_all(day)
        day.cluster.nodes["shield-1"].kill()
        await asyncio.sleep(25)
        await day.cluster.nodes["shield-1"].start()
        await asyncio.sleep(5)
        day.cluster.partition_off(["shield-2", "shield-3", "agency-2"])
        await asyncio.sleep(25)
        day.cluster.network.heal()
        day.cluster.nodes["shield-4"].freeze()
        await asyncio.sleep(20)
        day.cluster.nodes["shield-4"].thaw()
        value = {"deadline": 3.0, "ceiling": {"rate": 60, "inflight": 30}}
        await day.actors.order("agency-1", "change", [{"kind": "service", "name": "content", "value": value}])
        await asyncio.sleep(20)
        watch.cancel()
        rule = "the quota shares of a rate limit add up to no more than the limit"
        assert day.checker.checked[rule] > 1000, day.checker.examples
        assert not day.checker.broken[rule], day.checker.examples
        # No part of the limits remains unassigned: in the end the machines that are up hold all of it.
        shares = fleet_view.FleetView(cluster.context(day, "agency-2")).shares()
        assert sum(row["content"][0] for row in shares.values()) == 60
        assert sum(row["content"][1] for row in shares.values()) == 30

    cluster.run_scenario(scenario)


def test_an_evacuated_site_gets_no_new_work_and_comes_back():
    async def scenario(day):
        site = "north"
        await pin_all(day)
        for origin in day.actors.origins:
            origin.delay = 1.0
        under_way = asyncio.create_task(day.actors.send_request("edge-1", "GET", "/shortlists/9"))
        await asyncio.sleep(0.3)
        await day.actors.order("agency-3", "evacuate", site)
        # The request that was in flight before the evacuation completes.
        assert (await under_way)[0] == 200
        for origin in day.actors.origins:
            origin.delay = 0.003
        await asyncio.sleep(2)
        counts = collections.Counter()
        before = {o.instance: len(o.started) for o in day.actors.origins}
        shields = {n: cluster.context(day, n).load_gauge for n in day.cluster.nodes if n.startswith("shield")}
        for gauge in shields.values():
            gauge.event_times.clear()
        for number in range(60):
            for edge in ("edge-1", "edge-2"):
                counts[(edge, (await day.actors.send_request(edge, "GET", f"/shortlists/{number}"))[:2])] += 1
        assert counts[("edge-1", (503, "site-evacuated"))] == 60
        assert counts[("edge-2", (200, ""))] == 60
        for origin in day.actors.origins:
            if origin.site == site:
                assert len(origin.started) == before[origin.instance]
        assert all(
            not g.event_times for n, g in shields.items() if day.cluster.nodes[n].placement.site == site
        )
        assert any(g.event_times for g in shields.values())
        await day.actors.order("agency-4", "return", site)
        await asyncio.sleep(3)
        assert (await day.actors.send_request("edge-1", "GET", "/shortlists/1"))[0] == 200
        await wait_until_true(day, lambda: "shield-machine-1" in owners(day), 20)

    cluster.run_scenario(scenario)


def test_the_origins_of_a_returned_site_get_load_back_gradually():
    async def scenario(day):
        await day.actors.order("agency-3", "evacuate", "north")
        await asyncio.sleep(5)
        await day.actors.order("agency-3", "return", "north")
        await asyncio.sleep(0.6)
        returned_origin = next(
            o for o in day.actors.origins if o.site == "north" and o.service == "application"
        )
        counts = []
        for part in range(3):
            before = len(returned_origin.started)
            for number in range(200):
                await day.actors.send_request("edge-2", "GET", f"/shortlists/{part}-{number}")
                await asyncio.sleep(0.02)
            counts.append(len(returned_origin.started) - before)
        # Each round takes four to five seconds: the origin gets few requests at first, and its half of 200
        # once the ten seconds of slow start are over.
        assert counts[0] < 60, counts
        assert counts[0] < counts[1] < 110, counts
        assert counts[2] > 75, counts

    cluster.run_scenario(scenario)
