"""Tests of automatic voter changes: growth, repair and handover keep the control plane fault-tolerant."""

import asyncio

import pytest
from voter_cluster import (
    BUILD_SECONDS,
    CATCH_UP_SECONDS,
    check_confirmed_changes,
    confirm_change,
    has_full_voters,
    kill_and_wipe,
    run_scenario,
    voters,
)


@pytest.mark.parametrize(
    ("zones", "size"),
    [("aabab", 3), ("aaabc", 3), ("aaabbcc", 5), ("abcabcabcab", 5), ("abcde", 5), ("aaabcdabcde", 5)],
)
def test_voters_survive_any_zone_loss_soon_after_bootstrap_from_any_three_seeds(zones, size):
    async def scenario(simulation):
        if len(set(zones)) < 3:
            await asyncio.sleep(BUILD_SECONDS)
            assert len(voters(simulation)) == 5
            return
        await simulation.wait_until(lambda: has_full_voters(simulation, size), BUILD_SECONDS)

    run_scenario(scenario, zones)


@pytest.mark.parametrize("seed", range(1, 4))
def test_spare_with_a_broken_link_to_one_voter_replaces_nobody(seed):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        await asyncio.sleep(2)
        disk_ids_before = {voter.disk_id for voter in voters(simulation)}
        names = {voter.name for voter in voters(simulation)}
        spares = [
            node.placement.name for node in simulation.with_role("agency") if node.placement.name not in names
        ]
        for spare in spares:
            simulation.network.partition(simulation.hosts([spare]), simulation.hosts([sorted(names)[2]]))
        await asyncio.sleep(6)
        assert {voter.disk_id for voter in voters(simulation)} == disk_ids_before

    run_scenario(scenario, "abcabcab", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_lost_zone_is_replaced_in_time_for_the_loss_of_another(seed):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        number = await confirm_change(simulation, 1)
        for node in simulation.with_role("agency"):
            if node.placement.site == "a":
                kill_and_wipe(node)
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        for node in simulation.with_role("agency"):
            if node.placement.site == "b":
                kill_and_wipe(node)
        await asyncio.sleep(CATCH_UP_SECONDS)
        await check_confirmed_changes(simulation, [number])

    run_scenario(scenario, "abcdabcdabcd", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_nodes_wiped_one_after_another_and_two_killed_lose_no_confirmed_change(seed):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        numbers = []
        for node_number in range(1, 5):
            numbers.append(await confirm_change(simulation, node_number))
            node = simulation.nodes[f"agency-{node_number}"]
            kill_and_wipe(node)
            await asyncio.sleep(0.5)
            await node.start()
            await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        for name in ("agency-1", "agency-5"):
            simulation.nodes[name].kill(reset=False)
        await check_confirmed_changes(simulation, numbers)

    run_scenario(scenario, "abcab", seed)


@pytest.mark.parametrize(("seed", "disk_delay_seconds"), [(1, 0.0), (2, 0.0), (3, 0.1), (4, 0.1)])
def test_planned_replacement_and_then_power_loss_of_all_others_lose_no_confirmed_change(
    seed, disk_delay_seconds
):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        await asyncio.sleep(2)
        number = await confirm_change(simulation, 1)
        for node in simulation.with_role("agency"):
            node.disk.max_operation_seconds = disk_delay_seconds
        leaving_node = simulation.nodes[voters(simulation)[0].name]
        await leaving_node.stop()
        # When the node has stopped, another node that holds all tables must have replaced it as a voter.
        assert has_full_voters(simulation)
        assert leaving_node.placement.name not in {voter.name for voter in voters(simulation)}
        leaving_node.wipe()
        simulation.retire(leaving_node)
        for node in simulation.with_role("agency"):
            node.kill(reset=False)
        await asyncio.sleep(1)
        for node in simulation.with_role("agency"):
            await node.start()
        await simulation.wait_until(lambda: all(map(simulation.is_ready, simulation.with_role("agency"))), 15)
        await check_confirmed_changes(simulation, [number])

    run_scenario(scenario, "abcabc", seed)


def test_rolling_restart_without_a_spare_leaves_the_voters_unchanged():
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        disk_ids_before = {voter.disk_id for voter in voters(simulation)}
        for node in simulation.with_role("agency"):
            await node.stop()
            await asyncio.sleep(2)
            assert {voter.disk_id for voter in voters(simulation)} == disk_ids_before
            await node.start()
            await asyncio.sleep(1)
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        assert {voter.disk_id for voter in voters(simulation)} == disk_ids_before

    run_scenario(scenario, "abcab")


@pytest.mark.parametrize("delay", [0.0, 0.1, 0.3, 0.6, 1.0, 1.5])
def test_newcomer_wiped_at_any_step_of_the_change_loses_no_confirmed_change(delay):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        number = await confirm_change(simulation, 1)
        names = {voter.name for voter in voters(simulation)}
        lost_node = simulation.nodes[sorted(names)[0]]
        kill_and_wipe(lost_node)
        await asyncio.sleep(1.2 + delay)
        spare = next(node for node in simulation.with_role("agency") if node.placement.name not in names)
        kill_and_wipe(spare)
        numbers = [number, await confirm_change(simulation, 2)]
        await spare.start()
        await lost_node.start()
        await simulation.wait_until(lambda: has_full_voters(simulation), 2 * CATCH_UP_SECONDS)
        await check_confirmed_changes(simulation, numbers)

    run_scenario(scenario, "abcabc")


@pytest.mark.parametrize("seed", range(1, 4))
def test_zone_lost_right_after_a_replacement_in_another_loses_no_confirmed_change(seed):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        number = await confirm_change(simulation, 1)
        lost_node = next(simulation.nodes[voter.name] for voter in voters(simulation) if voter.site == "a")
        kill_and_wipe(lost_node)
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        numbers = [number, await confirm_change(simulation, 2)]
        for node in simulation.with_role("agency"):
            if node.placement.site == "b":
                kill_and_wipe(node)
        # After two seconds, no replica is used any more without having been confirmed again.
        await asyncio.sleep(2)
        await check_confirmed_changes(simulation, numbers)

    run_scenario(scenario, "abcabcabc", seed)


@pytest.mark.parametrize("seed", range(1, 4))
def test_node_wiped_right_after_another_was_replaced_loses_no_confirmed_change(seed):
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        number = await confirm_change(simulation, 1)
        lost_node = simulation.nodes["agency-2"]
        kill_and_wipe(lost_node)
        simulation.retire(lost_node)
        new_node = simulation.add(
            lost_node.placement._replace(name="agency-9", machine="m-9", host="10.0.0.99")
        )
        await new_node.start()
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        numbers = [number, await confirm_change(simulation, 2)]
        kill_and_wipe(simulation.nodes["agency-3"])
        await simulation.nodes["agency-3"].start()
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        simulation.nodes["agency-1"].kill(reset=False)
        simulation.nodes["agency-4"].kill(reset=False)
        await check_confirmed_changes(simulation, numbers)

    run_scenario(scenario, "abcab", seed)


def test_majority_paused_together_replaces_nobody_when_it_resumes():
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        await asyncio.sleep(2)
        disk_ids_before = {voter.disk_id for voter in voters(simulation)}
        names = sorted(voter.name for voter in voters(simulation))[:3]
        for name in names:
            simulation.nodes[name].freeze()
        await asyncio.sleep(4)
        for name in names:
            simulation.nodes[name].thaw()
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert {voter.disk_id for voter in voters(simulation)} == disk_ids_before

    run_scenario(scenario, "abcabcab")


def test_broken_link_between_two_voters_replaces_neither():
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        await asyncio.sleep(2)
        disk_ids_before = {voter.disk_id for voter in voters(simulation)}
        first_name, second_name = (voter.name for voter in voters(simulation)[:2])
        simulation.network.partition(simulation.hosts([first_name]), simulation.hosts([second_name]))
        await asyncio.sleep(6)
        assert {voter.disk_id for voter in voters(simulation)} == disk_ids_before

    run_scenario(scenario, "abcabcab")
