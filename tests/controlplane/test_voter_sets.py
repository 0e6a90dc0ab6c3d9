"""Sets of voters: built, improved, repaired and handed over, so that the next loss is always borne."""

import asyncio

import pytest
from voter_cluster import (
    BUILD_SECONDS,
    CATCH_UP_SECONDS,
    check_confirmed_changes,
    confirm_change,
    has_full_voters,
    kill_and_wipe,
    play,
    voters,
)


@pytest.mark.parametrize(
    ("zones", "size"),
    [("aabab", 3), ("aaabc", 3), ("aaabbcc", 5), ("abcabcabcab", 5), ("abcde", 5), ("aaabcdabcde", 5)],
)
def test_voters_survive_any_zone_loss_soon_after_bootstrap_from_any_three_seeds(zones, size):
    async def scene(world):
        if len(set(zones)) < 3:
            await asyncio.sleep(BUILD_SECONDS)
            assert len(voters(world)) == 5
            return
        await world.wait_until(lambda: has_full_voters(world, size), BUILD_SECONDS)

    play(scene, zones)


@pytest.mark.parametrize("seed", range(1, 4))
def test_spare_with_a_broken_link_to_one_voter_replaces_nobody(seed):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        await asyncio.sleep(2)
        before = {voter.disk_id for voter in voters(world)}
        names = {voter.name for voter in voters(world)}
        spares = [
            node.placement.name for node in world.with_role("agency") if node.placement.name not in names
        ]
        for spare in spares:
            world.network.cut(world.hosts([spare]), world.hosts([sorted(names)[2]]))
        await asyncio.sleep(6)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcabcab", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_lost_zone_is_replaced_in_time_for_the_loss_of_another(seed):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        number = await confirm_change(world, 1)
        for node in world.with_role("agency"):
            if node.placement.site == "a":
                kill_and_wipe(node)
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        for node in world.with_role("agency"):
            if node.placement.site == "b":
                kill_and_wipe(node)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await check_confirmed_changes(world, [number])

    play(scene, "abcdabcdabcd", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_nodes_wiped_one_after_another_and_two_killed_lose_no_confirmed_change(seed):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        numbers = []
        for turn in range(1, 5):
            numbers.append(await confirm_change(world, turn))
            node = world.nodes[f"agency-{turn}"]
            kill_and_wipe(node)
            await asyncio.sleep(0.5)
            await node.start()
            await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        for name in ("agency-1", "agency-5"):
            world.nodes[name].kill(reset=False)
        await check_confirmed_changes(world, numbers)

    play(scene, "abcab", seed)


@pytest.mark.parametrize(("seed", "slowness"), [(1, 0.0), (2, 0.0), (3, 0.1), (4, 0.1)])
def test_planned_replacement_and_then_power_loss_of_all_others_lose_no_confirmed_change(seed, slowness):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        await asyncio.sleep(2)
        number = await confirm_change(world, 1)
        for node in world.with_role("agency"):
            node.disk.slowness = slowness
        leaving = world.nodes[voters(world)[0].name]
        await leaving.stop()
        # At the very moment of its end its vote lies with another, which holds everything.
        assert has_full_voters(world)
        assert leaving.placement.name not in {voter.name for voter in voters(world)}
        leaving.wipe()
        world.retire(leaving)
        for node in world.with_role("agency"):
            node.kill(reset=False)
        await asyncio.sleep(1)
        for node in world.with_role("agency"):
            await node.start()
        await world.wait_until(lambda: all(map(world.is_ready, world.with_role("agency"))), 15)
        await check_confirmed_changes(world, [number])

    play(scene, "abcabc", seed)


def test_rolling_restart_without_a_spare_leaves_the_voters_unchanged():
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        before = {voter.disk_id for voter in voters(world)}
        for node in world.with_role("agency"):
            await node.stop()
            await asyncio.sleep(2)
            assert {voter.disk_id for voter in voters(world)} == before
            await node.start()
            await asyncio.sleep(1)
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcab")


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.3, 0.6, 1.0, 1.5])
def test_newcomer_wiped_at_any_step_of_the_change_loses_no_confirmed_change(delay):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        number = await confirm_change(world, 1)
        names = {voter.name for voter in voters(world)}
        lost = world.nodes[sorted(names)[0]]
        kill_and_wipe(lost)
        await asyncio.sleep(1.2 + delay)
        spare = next(node for node in world.with_role("agency") if node.placement.name not in names)
        kill_and_wipe(spare)
        numbers = [number, await confirm_change(world, 2)]
        await spare.start()
        await lost.start()
        await world.wait_until(lambda: has_full_voters(world), 2 * CATCH_UP_SECONDS)
        await check_confirmed_changes(world, numbers)

    play(scene, "abcabc")


@pytest.mark.parametrize("seed", range(1, 4))
def test_zone_lost_right_after_a_replacement_in_another_loses_no_confirmed_change(seed):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        number = await confirm_change(world, 1)
        lost = next(world.nodes[voter.name] for voter in voters(world) if voter.site == "a")
        kill_and_wipe(lost)
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        numbers = [number, await confirm_change(world, 2)]
        for node in world.with_role("agency"):
            if node.placement.site == "b":
                kill_and_wipe(node)
        # What a copy is used for without being confirmed anew is over by then.
        await asyncio.sleep(2)
        await check_confirmed_changes(world, numbers)

    play(scene, "abcabcabc", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_node_wiped_right_after_another_was_replaced_loses_no_confirmed_change(seed):
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        number = await confirm_change(world, 1)
        lost = world.nodes["agency-2"]
        kill_and_wipe(lost)
        world.retire(lost)
        new = world.add(lost.placement._replace(name="agency-9", machine="m-9", host="10.0.0.99"))
        await new.start()
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        numbers = [number, await confirm_change(world, 2)]
        kill_and_wipe(world.nodes["agency-3"])
        await world.nodes["agency-3"].start()
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        world.nodes["agency-1"].kill(reset=False)
        world.nodes["agency-4"].kill(reset=False)
        await check_confirmed_changes(world, numbers)

    play(scene, "abcab", seed)


def test_majority_paused_together_replaces_nobody_when_it_resumes():
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        await asyncio.sleep(2)
        before = {voter.disk_id for voter in voters(world)}
        names = sorted(voter.name for voter in voters(world))[:3]
        for name in names:
            world.nodes[name].freeze()
        await asyncio.sleep(4)
        for name in names:
            world.nodes[name].thaw()
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcabcab")


def test_broken_link_between_two_voters_replaces_neither():
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        await asyncio.sleep(2)
        before = {voter.disk_id for voter in voters(world)}
        one, other = (voter.name for voter in voters(world)[:2])
        world.network.cut(world.hosts([one]), world.hosts([other]))
        await asyncio.sleep(6)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcabcab")
