"""Data plane nodes use old tables for longer only on evidence that the voters cannot confirm anything."""

import asyncio

import cluster
import pytest

from irisstand.simulator import simulated_cluster, virtual_time
from irisstand.state import items

FRESHNESS_BOUND_SECONDS, OUTAGE_BOUND_SECONDS = 1.5, 5.0


def play(scenario):
    """Run a scenario on a cluster whose data plane may use old tables longer after a quorum loss."""

    async def run_scenario():
        simulated = simulated_cluster.SimulatedCluster(1, cluster.SHAPE)
        simulated.outage_bound = OUTAGE_BOUND_SECONDS
        await simulated.start_all()
        await simulated.wait_until_ready()
        await simulated.actors.order("agency-1", "change", [cluster.site_row()])
        await simulated.wait_until_ready()
        await asyncio.sleep(1)
        await scenario(simulated)
        assert not asyncio.get_running_loop().unhandled_errors, asyncio.get_running_loop().unhandled_errors[0]

    virtual_time.run(run_scenario())


def partition(simulated, names, other_names):
    simulated.network.partition(simulated.hosts(names), simulated.hosts(other_names))


def voter_names(simulated, *numbers):
    return [f"agency-{number}" for number in numbers or range(1, 6)]


async def seconds_until_unready(simulated, name="edge-1", longest=8.0):
    """Wait until a node stops treating its tables as current. Return how many seconds that took."""
    return await simulated.wait_until(lambda: not simulated.is_ready(simulated.nodes[name]), longest)


async def check_stays_unready(simulated, name="edge-1"):
    for _ in range(250):
        await asyncio.sleep(0.02)
        assert not simulated.is_ready(simulated.nodes[name])


def test_node_that_reaches_nobody_stops_using_tables_at_the_freshness_bound():
    async def scenario(simulated):
        simulated.partition_off(["edge-1"])
        assert await seconds_until_unready(simulated) <= FRESHNESS_BOUND_SECONDS + 0.1
        await check_stays_unready(simulated)

    play(scenario)


def test_node_beside_a_minority_of_voters_stops_using_tables_at_the_freshness_bound():
    async def scenario(simulated):
        simulated.partition_off(["edge-1", "agency-1", "agency-2"])
        await simulated.actors.order("agency-3", "change", [cluster.site_row(weight=5)])
        assert await seconds_until_unready(simulated) <= FRESHNESS_BOUND_SECONDS + 0.1
        await check_stays_unready(simulated)

    play(scenario)


def test_frozen_voters_are_no_evidence_and_commits_after_a_thaw_are_not_missed():
    async def scenario(simulated):
        for name in voter_names(simulated):
            simulated.nodes[name].freeze()
        assert await seconds_until_unready(simulated) <= FRESHNESS_BOUND_SECONDS + 0.1
        await asyncio.sleep(1)
        for name in voter_names(simulated):
            simulated.nodes[name].thaw()
        await simulated.wait_until(lambda: all(map(simulated.is_ready, simulated.with_role("agency"))), 3)
        await simulated.actors.order("agency-2", "change", [cluster.site_row(weight=5)])
        await asyncio.sleep(1.9)
        edge = simulated.nodes["edge-1"]
        assert site_row_value(edge) == {"weight": 5} or not simulated.is_ready(edge)

    play(scenario)


def site_row_value(node):
    return node.program.context.configuration.value("site/north")


def test_voters_that_report_no_majority_extend_the_use_of_tables():
    async def scenario(simulated):
        for name in voter_names(simulated):
            partition(simulated, [name], [other for other in voter_names(simulated) if other != name])
        unready = 0
        for _ in range(300):
            await asyncio.sleep(0.02)
            unready += not simulated.is_ready(simulated.nodes["edge-1"])
        # The edge may be unready for a moment, before a majority of the voters has reported the loss.
        assert unready <= 15
        assert (
            await seconds_until_unready(simulated)
            <= OUTAGE_BOUND_SECONDS + FRESHNESS_BOUND_SECONDS + 0.2 - 6.0
        )

    play(scenario)


def test_voters_partitioned_from_one_another_but_reaching_a_hub_are_no_evidence():
    """Four of the five voters reach only the fifth, which has a majority with them but cannot reach the edge.

    So the four report that they have no majority, while the fifth still decides batches with them.
    """

    async def scenario(simulated):
        other_voters = voter_names(simulated, 2, 3, 4, 5)
        for name in other_voters:
            partition(simulated, [name], [other for other in other_voters if other != name])
        partition(
            simulated, ["agency-1"], [name for name in simulated.nodes if name not in voter_names(simulated)]
        )
        await asyncio.sleep(2.5)
        for weight in range(2, 6):
            await simulated.actors.order("agency-1", "change", [cluster.site_row(weight=weight)])
            await asyncio.sleep(1.9)
            edge = simulated.nodes["edge-1"]
            assert site_row_value(edge) == {"weight": weight} or not simulated.is_ready(edge)

    play(scenario)


def test_voter_with_a_pending_batch_is_no_evidence():
    async def scenario(simulated):
        for name in voter_names(simulated):
            partition(simulated, [name], [other for other in voter_names(simulated) if other != name])
        local = simulated.nodes["edge-1"].program.context.configuration
        for name in voter_names(simulated, 1, 2, 3):
            store = simulated.nodes[name].program.participant.store
            record = store.records[items.CONFIGURATION]
            store.records[items.CONFIGURATION] = record._replace(
                pending=items.Batch(local.applied.successor("x"), local.applied, ())
            )
        assert await seconds_until_unready(simulated) <= FRESHNESS_BOUND_SECONDS + 0.1
        await check_stays_unready(simulated)

    play(scenario)


@pytest.mark.parametrize("killed", [2, 3])
def test_stopped_voter_processes_are_evidence_only_if_more_than_half(killed):
    async def scenario(simulated):
        killed_names = voter_names(simulated)[:killed]
        for name in killed_names:
            simulated.nodes[name].kill()
        # The other voters run, but neither they nor any other node can be reached from the edge.
        partition(
            simulated, ["edge-1"], [name for name in simulated.nodes if name not in [*killed_names, "edge-1"]]
        )
        took = await seconds_until_unready(simulated)
        assert took <= FRESHNESS_BOUND_SECONDS + 0.1 if killed == 2 else took >= OUTAGE_BOUND_SECONDS
        await check_stays_unready(simulated)

    play(scenario)


def test_control_plane_node_serves_no_old_tables_whatever_the_evidence():
    async def scenario(simulated):
        for name in voter_names(simulated)[1:]:
            simulated.nodes[name].kill()
        assert await seconds_until_unready(simulated, "agency-1") <= FRESHNESS_BOUND_SECONDS + 0.1

    play(scenario)


def test_malformed_answers_are_no_evidence_and_do_not_stop_detection():
    async def scenario(simulated):
        async def nonsense(sender, body):
            return ()

        for name in voter_names(simulated):
            partition(simulated, [name], [other for other in voter_names(simulated) if other != name])
            simulated.nodes[name].program.context.transport.handlers["tips"] = nonsense
        assert await seconds_until_unready(simulated) <= FRESHNESS_BOUND_SECONDS + 0.1
        await check_stays_unready(simulated)
        assert not simulated.nodes["edge-1"].program.context.crashed.done()

    play(scenario)
