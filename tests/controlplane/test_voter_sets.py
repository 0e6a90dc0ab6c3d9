"""Sets of voters: built, improved, repaired and handed over, so that the next loss is always borne."""

import asyncio

import pytest
from voter_cluster import (
    BUILT,
    CATCH_UP,
    confirm,
    is_whole,
    kill_and_wipe,
    play,
    read_back,
    voters,
)


@pytest.mark.parametrize(
    ("zones", "size"),
    [("aabab", 3), ("aaabc", 3), ("aaabbcc", 5), ("abcabcabcab", 5), ("abcde", 5), ("aaabcdabcde", 5)],
)
def test_from_any_three_seeds_a_set_that_bears_every_zone_is_reached_before_traffic_starts(zones, size):
    async def scene(world):
        if len(set(zones)) < 3:
            await asyncio.sleep(BUILT)
            assert len(voters(world)) == 5
            return
        await world.wait_until(lambda: is_whole(world, size), BUILT)

    play(scene, zones)


@pytest.mark.parametrize("seed", range(1, 4))
def test_one_bad_link_to_a_spare_unseats_nobody(seed):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
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
def test_a_lost_zone_is_repaired_within_catch_up_so_that_the_next_may_go(seed):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        number = await confirm(world, 1)
        for node in world.with_role("agency"):
            if node.placement.site == "a":
                kill_and_wipe(node)
        await world.wait_until(lambda: is_whole(world), CATCH_UP)
        for node in world.with_role("agency"):
            if node.placement.site == "b":
                kill_and_wipe(node)
        await asyncio.sleep(CATCH_UP)
        await read_back(world, [number])

    play(scene, "abcdabcdabcd", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_wipe_wipe_kill_at_the_shortest_distance_loses_nothing(seed):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        numbers = []
        for turn in range(1, 5):
            numbers.append(await confirm(world, turn))
            node = world.nodes[f"agency-{turn}"]
            kill_and_wipe(node)
            await asyncio.sleep(0.5)
            await node.start()
            await world.wait_until(lambda: is_whole(world), CATCH_UP)
        for name in ("agency-1", "agency-5"):
            world.nodes[name].kill(reset=False)
        await read_back(world, numbers)

    play(scene, "abcab", seed)


@pytest.mark.parametrize(("seed", "slowness"), [(1, 0.0), (2, 0.0), (3, 0.1), (4, 0.1)])
def test_after_a_planned_replacement_the_power_of_all_others_may_go(seed, slowness):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        await asyncio.sleep(2)
        number = await confirm(world, 1)
        for node in world.with_role("agency"):
            node.disk.slowness = slowness
        leaving = world.nodes[voters(world)[0].name]
        await leaving.stop()
        # At the very moment of its end its vote lies with another, which holds everything.
        assert is_whole(world)
        assert leaving.placement.name not in {voter.name for voter in voters(world)}
        leaving.wipe()
        world.retire(leaving)
        for node in world.with_role("agency"):
            node.kill(reset=False)
        await asyncio.sleep(1)
        for node in world.with_role("agency"):
            await node.start()
        await world.wait_until(lambda: all(map(world.is_ready, world.with_role("agency"))), 15)
        await read_back(world, [number])

    play(scene, "abcabc", seed)


def test_a_rolling_restart_without_a_spare_wears_no_vote_down():
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        before = {voter.disk_id for voter in voters(world)}
        for node in world.with_role("agency"):
            await node.stop()
            await asyncio.sleep(2)
            assert {voter.disk_id for voter in voters(world)} == before
            await node.start()
            await asyncio.sleep(1)
        await world.wait_until(lambda: is_whole(world), CATCH_UP)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcab")


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.3, 0.6, 1.0, 1.5])
def test_a_newcomer_that_is_wiped_at_any_step_of_the_change_costs_nothing(delay):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        number = await confirm(world, 1)
        names = {voter.name for voter in voters(world)}
        lost = world.nodes[sorted(names)[0]]
        kill_and_wipe(lost)
        await asyncio.sleep(1.2 + delay)
        spare = next(node for node in world.with_role("agency") if node.placement.name not in names)
        kill_and_wipe(spare)
        numbers = [number, await confirm(world, 2)]
        await spare.start()
        await lost.start()
        await world.wait_until(lambda: is_whole(world), 2 * CATCH_UP)
        await read_back(world, numbers)

    play(scene, "abcabc")


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_zone_lost_right_after_a_replacement_in_another_loses_nothing(seed):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        number = await confirm(world, 1)
        lost = next(world.nodes[voter.name] for voter in voters(world) if voter.site == "a")
        kill_and_wipe(lost)
        await world.wait_until(lambda: is_whole(world), CATCH_UP)
        numbers = [number, await confirm(world, 2)]
        for node in world.with_role("agency"):
            if node.placement.site == "b":
                kill_and_wipe(node)
        # What a copy is used for without being confirmed anew is over by then.
        await asyncio.sleep(2)
        await read_back(world, numbers)

    play(scene, "abcabcabc", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_replaced_by_an_empty_machine_and_another_wiped_at_once_afterwards(seed):
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        number = await confirm(world, 1)
        lost = world.nodes["agency-2"]
        kill_and_wipe(lost)
        world.retire(lost)
        new = world.add(lost.placement._replace(name="agency-9", machine="m-9", host="10.0.0.99"))
        await new.start()
        await world.wait_until(lambda: is_whole(world), CATCH_UP)
        numbers = [number, await confirm(world, 2)]
        kill_and_wipe(world.nodes["agency-3"])
        await world.nodes["agency-3"].start()
        await world.wait_until(lambda: is_whole(world), CATCH_UP)
        world.nodes["agency-1"].kill(reset=False)
        world.nodes["agency-4"].kill(reset=False)
        await read_back(world, numbers)

    play(scene, "abcab", seed)


def test_a_majority_that_stood_still_together_unseats_nobody_when_it_goes_on():
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        await asyncio.sleep(2)
        before = {voter.disk_id for voter in voters(world)}
        names = sorted(voter.name for voter in voters(world))[:3]
        for name in names:
            world.nodes[name].freeze()
        await asyncio.sleep(4)
        for name in names:
            world.nodes[name].thaw()
        await asyncio.sleep(CATCH_UP)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcabcab")


def test_one_bad_link_between_two_voters_unseats_neither():
    async def scene(world):
        await world.wait_until(lambda: is_whole(world), BUILT)
        await asyncio.sleep(2)
        before = {voter.disk_id for voter in voters(world)}
        one, other = (voter.name for voter in voters(world)[:2])
        world.network.cut(world.hosts([one]), world.hosts([other]))
        await asyncio.sleep(6)
        assert {voter.disk_id for voter in voters(world)} == before

    play(scene, "abcabcab")
