"""Rest and waking: never so that one more loss could not be carried."""

import asyncio
import random

import cluster
import pytest

from irisstand.balancing import standby_planning


def resting(day, name="agency-2"):
    return {
        item.key.removeprefix("rest/")
        for item in cluster.context(day, name).ledger.items_with_prefix("rest/")
    }


async def settle(day, condition, patience=60):
    return await day.cluster.wait_until(condition, patience)


def test_machines_go_on_standby_at_low_load_while_any_single_loss_is_still_carried():
    async def scene(day):
        await settle(day, lambda: len([n for n in resting(day) if n.startswith("shield")]) == 3, 90)
        awake = [n for n in day.cluster.with_role("shield") if n.placement.machine not in resting(day)]
        # Two machines at two sites: either may go.
        assert len({node.placement.site for node in awake}) == 2
        # A resting machine stays a member and its control plane node a voter.
        assert len(cluster.members(day, "edge-1")) == len(day.cluster.nodes) - 1
        assert all(node.program.participant.is_voter("ledger") for node in day.cluster.with_role("agency"))
        for number in range(10):
            assert (await day.actors.ask("edge-1", "GET", f"/vacancies/r{number}"))[0] == 200
        # One of the two is lost: somebody is woken, and reads go on meanwhile.
        awake[0].kill()
        statuses = [(await day.actors.ask("edge-1", "GET", f"/vacancies/s{n}"))[0] for n in range(10)]
        assert set(statuses) == {200}
        lost = awake[0].placement.machine
        took = await settle(
            day, lambda: len([n for n in resting(day) if n.startswith("shield") and n != lost]) <= 2, 30
        )
        assert took < 10
        saved = cluster.context(day, "agency-2").ledger
        await settle(day, lambda: any(True for _ in saved.items_with_prefix("saved/shield")), 90)

    cluster.play(scene)


def test_load_wakes_machines_and_a_pinned_machine_never_goes_on_standby():
    async def scene(day):
        pinned = {"kind": "machine", "name": "shield-machine-5", "value": {"awake": True}}
        limits = [
            {"kind": "shield", "name": node.placement.machine, "value": {"limit": 20}}
            for node in day.cluster.with_role("shield")
        ]
        await day.actors.order("agency-1", "change", [pinned, *limits])
        await settle(day, lambda: len([n for n in resting(day) if n.startswith("shield")]) == 3, 90)
        assert "shield-machine-5" not in resting(day)
        why = cluster.context(day, "agency-2").ledger.value("staffing")["why"]
        assert why["shield-machine-5"] == "awake: pinned by operators"
        jobs = []
        for number in range(400):
            jobs.append(asyncio.create_task(day.actors.ask("edge-1", "GET", f"/shortlists/{number}")))
            await asyncio.sleep(0.025)
        # 40 a second at 20 for each machine: with any one lost, three are needed, so four are awake.
        assert len([n for n in resting(day) if n.startswith("shield")]) <= 1
        await asyncio.gather(*jobs)

    cluster.play(scene)


def test_no_machine_goes_on_standby_while_the_voters_could_not_survive_another_loss():
    async def scene(day):
        await settle(day, lambda: len([n for n in resting(day) if n.startswith("shield")]) == 3, 90)
        day.cluster.nodes["agency-3"].kill()
        day.cluster.nodes["agency-4"].kill()
        await settle(day, lambda: not resting(day), 40)

    cluster.play(scene)


def test_no_machine_goes_on_standby_right_after_a_voter_died():
    """Found in quiet days: SWIM's list holds a dead voter for seconds, and a rest was judged by the list."""

    async def scene(day):
        staffing = {
            node.placement.name: task
            for node in day.cluster.with_role("agency")
            for task in node.program.singleton_tasks
            if task.name == "staffing"
        }
        holder = next(name for name, task in staffing.items() if task.holds_lease())
        worker = staffing[holder].work.__self__
        await settle(
            day, lambda: day.watcher.now() - worker.changed_at > worker.standby_delay_seconds - 0.3, 30
        )
        before = resting(day, holder)
        victims = [name for name in staffing if name != holder][:2]
        for name in victims:
            day.cluster.nodes[name].kill(reset=False)
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert not resting(day, holder) - before

    cluster.play(scene)


def test_a_machine_on_standby_wakes_on_suspicion_before_a_death_is_confirmed():
    async def scene(day):
        await settle(day, lambda: len([n for n in resting(day) if n.startswith("shield")]) == 3, 90)
        awake = [n for n in day.cluster.with_role("shield") if n.placement.machine not in resting(day)]
        awake[0].kill(reset=False)
        took = await settle(day, lambda: len([n for n in resting(day) if n.startswith("shield")]) < 3, 10)
        # Confirm comes only some 7 seconds after the death.
        assert took < 2.5

    cluster.play(scene)


@pytest.mark.parametrize("seed", range(3))
def test_standby_planning_never_leaves_a_single_loss_uncovered(seed):
    """Against an oracle that tries every loss, over random fleets and loads."""
    randomness = random.Random(seed)
    for _ in range(400):
        machines = [
            standby_planning.Machine(
                f"m{n}", randomness.choice("xyz"), randomness.choice((5, 10, 20)), randomness.random() < 0.1
            )
            for n in range(randomness.randrange(1, 8))
        ]
        resting_now = {m.name for m in machines if randomness.random() < 0.5}
        load = randomness.uniform(0, 40)
        may_enter_standby = randomness.random() < 0.9
        rest, reasons = standby_planning.plan(
            machines, resting_now, load, may_enter_standby=may_enter_standby
        )
        assert set(reasons) == {m.name for m in machines}
        assert not any(m.name in rest and m.pinned for m in machines)
        assert len(rest - resting_now) <= 1
        if rest:
            assert may_enter_standby
            awake = [m for m in machines if m.name not in rest]
            losses = [[m for m in awake if m is not lost] for lost in awake]
            losses += [[m for m in awake if m.site != site] for site in {m.site for m in awake}]
            assert all(left and sum(m.capacity for m in left) >= load for left in losses)
