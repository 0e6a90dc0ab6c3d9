"""Tests of bootstrap by seed nodes, without a given cluster size, and of nodes without a control plane."""

import asyncio

import cluster
import pytest
import voter_cluster

from irisstand.simulator import simulated_cluster, virtual_time
from irisstand.state import items, quorum, versions

SITES = (("north", "one"), ("south", "one"), ("east", "two"), ("west", "two"))


def play(scenario, seed=1, outage_bound=0.0):
    async def run():
        simulation = simulated_cluster.SimulatedCluster(seed, cluster.SHAPE)
        simulation.seeds_bootstrap, simulation.replace_after, simulation.outage_bound = (
            True,
            1.2,
            outage_bound,
        )
        await simulation.start_all()
        result = await scenario(simulation)
        assert not asyncio.get_running_loop().unhandled_errors, asyncio.get_running_loop().unhandled_errors[0]
        return result

    return virtual_time.run(run())


def voters(simulation, table=items.CONFIGURATION):
    """Return the current voters of a table, by default of the configuration."""
    return voter_cluster.voters(simulation, table)


def all_vote(simulation, names):
    return all({voter.name for voter in voters(simulation, table)} == set(names) for table in items.TABLES)


FIVE_VOTERS = [f"agency-{number}" for number in range(1, 6)]


@pytest.mark.parametrize("seed", range(1, 7))
def test_voters_grow_from_three_seeds_to_five_and_survive_any_site_loss_throughout(seed):
    async def scenario(simulation):
        vulnerable_sets = []

        async def watch_voter_sets():
            while True:
                for node in simulation.with_role("agency"):
                    voter_set = quorum.voters_from_wire(
                        node.program.context.replicas[items.CONFIGURATION].value(items.VOTERS_KEY)
                    )
                    if voter_set and not quorum.survives_any_site_loss(voter_set):
                        vulnerable_sets.append(voter_set)
                await asyncio.sleep(0.01)

        watch_task = asyncio.get_running_loop().create_task(watch_voter_sets())
        await simulation.wait_until(lambda: all_vote(simulation, FIVE_VOTERS), 10)
        watch_task.cancel()
        assert not vulnerable_sets

    play(scenario, seed)


def test_nodes_whose_disks_were_all_lost_do_not_bootstrap_again():
    async def scenario(simulation):
        await simulation.wait_until(lambda: all_vote(simulation, FIVE_VOTERS), 10)
        for node in simulation.with_role("agency"):
            node.kill()
            node.wipe()
        for node in simulation.with_role("agency"):
            await node.start()
        await asyncio.sleep(20)
        for node in simulation.with_role("agency"):
            assert node.program.context.replicas[items.CONFIGURATION].applied == versions.NONE

    play(scenario)


def test_seed_with_a_wiped_disk_learns_the_tables_and_votes_again():
    async def scenario(simulation):
        await simulation.wait_until(lambda: all_vote(simulation, FIVE_VOTERS), 10)
        node = simulation.nodes["agency-1"]
        old_disk_id = node.program.participant.store.disk_id
        node.kill()
        node.wipe()
        await node.start()
        await simulation.wait_until(
            lambda: any(v.disk_id == node.program.participant.store.disk_id for v in voters(simulation)), 4
        )
        assert old_disk_id not in {voter.disk_id for voter in voters(simulation)}

    play(scenario)


@pytest.mark.parametrize("seed", range(1, 5))
def test_empty_machine_replaces_a_lost_voter_within_four_seconds(seed):
    async def scenario(simulation):
        await simulation.wait_until(lambda: all_vote(simulation, FIVE_VOTERS), 10)
        lost_node = simulation.nodes["agency-2"]
        lost_node.kill(reset=False)
        simulation.retire(lost_node)
        await asyncio.sleep(1)
        placement = lost_node.placement._replace(name="agency-9", machine="m-9", host="10.0.0.99")
        await simulation.add(placement).start()
        names = [name for name in FIVE_VOTERS if name != "agency-2"] + ["agency-9"]
        await simulation.wait_until(lambda: all_vote(simulation, names), 4)

    play(scenario, seed)


@pytest.mark.parametrize("site", ["north", "south", "east", "west"])
def test_confirmed_change_survives_wiped_disks_of_a_site_and_power_loss_of_all_others(site):
    async def scenario(simulation):
        await simulation.wait_until(lambda: all_vote(simulation, FIVE_VOTERS), 10)
        proposer = next(node for node in simulation.with_role("agency") if node.placement.site == site)
        item = {"name": "s1", "version": 4}
        payload = [("upstream/s1", {"version": 4, "item": item})]
        await simulation.actors.order(proposer.placement.name, "amend", payload)
        for node in simulation.with_role("agency"):
            node.kill(reset=False)
            if node.placement.site == site:
                node.wipe()
        await asyncio.sleep(1)
        for node in simulation.with_role("agency"):
            await node.start()
        await simulation.wait_until(lambda: all(map(simulation.is_ready, simulation.with_role("agency"))), 15)
        for node in simulation.with_role("agency"):
            assert node.program.context.configuration.value("upstream/s1") == payload[0][1]

    play(scenario)


def test_edge_cut_off_from_the_control_plane_stays_ready_through_its_peers():
    async def scenario(simulation):
        await simulation.wait_until_ready()
        control_plane_hosts = [node.placement.host for node in simulation.with_role("agency")]
        edge = simulation.nodes["edge-1"]
        simulation.network.partition([edge.placement.host], control_plane_hosts)
        unready_checks = 0
        for _ in range(400):
            await asyncio.sleep(0.02)
            unready_checks += not simulation.is_ready(edge)
        assert not unready_checks

    play(scenario)


@pytest.mark.parametrize(("bound", "stale_after"), [(0.0, 1.5), (5.0, 6.5)])
def test_tables_are_used_for_the_configured_time_after_the_control_plane_is_lost(bound, stale_after):
    async def scenario(simulation):
        await simulation.wait_until_ready()
        for node in simulation.with_role("agency"):
            node.kill()
        edge = simulation.nodes["edge-1"]
        elapsed_seconds = await simulation.wait_until(lambda: not simulation.is_ready(edge), 10)
        assert stale_after - 0.6 <= elapsed_seconds <= stale_after + 0.1
        # The edge must stay unready. If the freshness bound had ended before the quorum loss was detected, it
        # would have been unready only for a moment and would be ready again now.
        await asyncio.sleep(0.5)
        assert not simulation.is_ready(edge)

    play(scenario, outage_bound=bound)


def test_paused_node_does_not_take_its_own_pause_for_a_quorum_loss():
    async def scenario(simulation):
        await simulation.wait_until_ready()
        edge = simulation.nodes["edge-1"]
        edge.freeze()
        await asyncio.sleep(4)
        edge.thaw()
        assert not any(map(edge.program.context.is_quorum_lost, edge.program.context.replicas.values()))
        await simulation.wait_until(lambda: simulation.is_ready(edge), 1)

    play(scenario, outage_bound=5.0)
