"""How long the data plane uses old tables: longer only on evidence that the core can confirm nothing."""

import asyncio

import cluster
import pytest

import irisstand.state.items as items
from irisstand.simulator import simulated_cluster, virtual_time

BOUND, STRETCH = 1.5, 5.0


def play(scene):
    """With nodes that may use tables for STRETCH seconds more while the core is out."""

    async def whole():
        world = simulated_cluster.SimulatedCluster(1, cluster.SHAPE)
        world.outage_bound = STRETCH
        await world.start_all()
        await world.wait_until_ready()
        await world.actors.order("agency-1", "change", [cluster.site_row()])
        await world.wait_until_ready()
        await asyncio.sleep(1)
        await scene(world)
        assert not asyncio.get_running_loop().faults, asyncio.get_running_loop().faults[0]

    virtual_time.run(whole())


def cut(world, some, others):
    world.network.cut(world.hosts(some), world.hosts(others))


def cores(world, *numbers):
    return [f"agency-{number}" for number in numbers or range(1, 6)]


async def seconds_in_use(world, name="edge-1", longest=8.0):
    """Until the node takes its tables for current no more."""
    return await world.wait_until(lambda: not world.is_ready(world.nodes[name]), longest)


async def stays_out(world, name="edge-1"):
    for _ in range(250):
        await asyncio.sleep(0.02)
        assert not world.is_ready(world.nodes[name])


def test_node_that_reaches_nobody_stops_using_tables_at_the_freshness_bound():
    async def scene(world):
        world.partition_off(["edge-1"])
        assert await seconds_in_use(world) <= BOUND + 0.1
        await stays_out(world)

    play(scene)


def test_node_beside_a_minority_of_voters_stops_using_tables_at_the_freshness_bound():
    async def scene(world):
        world.partition_off(["edge-1", "agency-1", "agency-2"])
        await world.actors.order("agency-3", "change", [cluster.site_row(weight=5)])
        assert await seconds_in_use(world) <= BOUND + 0.1
        await stays_out(world)

    play(scene)


def test_frozen_voters_are_no_evidence_and_commits_after_a_thaw_are_not_missed():
    async def scene(world):
        for name in cores(world):
            world.nodes[name].freeze()
        assert await seconds_in_use(world) <= BOUND + 0.1
        await asyncio.sleep(1)
        for name in cores(world):
            world.nodes[name].thaw()
        await world.wait_until(lambda: all(map(world.is_ready, world.with_role("agency"))), 3)
        await world.actors.order("agency-2", "change", [cluster.site_row(weight=5)])
        await asyncio.sleep(1.9)
        edge = world.nodes["edge-1"]
        assert scenes_value(edge) == {"weight": 5} or not world.is_ready(edge)

    play(scene)


def scenes_value(node):
    return node.program.context.configuration.value("site/north")


def test_voters_that_report_no_majority_extend_the_use_of_tables():
    async def scene(world):
        for name in cores(world):
            cut(world, [name], [other for other in cores(world) if other != name])
        unready = 0
        for _ in range(300):
            await asyncio.sleep(0.02)
            unready += not world.is_ready(world.nodes["edge-1"])
        # All but a moment in which nobody had said so yet.
        assert unready <= 15
        assert await seconds_in_use(world) <= STRETCH + BOUND + 0.2 - 6.0

    play(scene)


def test_voters_partitioned_from_one_another_but_reaching_a_hub_are_no_evidence():
    """Four of five have no majority of their own, and still decide for the fifth, cut from the edge."""

    async def scene(world):
        leaves = cores(world, 2, 3, 4, 5)
        for name in leaves:
            cut(world, [name], [other for other in leaves if other != name])
        cut(world, ["agency-1"], [name for name in world.nodes if name not in cores(world)])
        await asyncio.sleep(2.5)
        for weight in range(2, 6):
            await world.actors.order("agency-1", "change", [cluster.site_row(weight=weight)])
            await asyncio.sleep(1.9)
            edge = world.nodes["edge-1"]
            assert scenes_value(edge) == {"weight": weight} or not world.is_ready(edge)

    play(scene)


def test_voter_with_a_pending_batch_is_no_evidence():
    async def scene(world):
        for name in cores(world):
            cut(world, [name], [other for other in cores(world) if other != name])
        copy = world.nodes["edge-1"].program.context.configuration
        for name in cores(world, 1, 2, 3):
            store = world.nodes[name].program.participant.store
            record = store.records[items.CONFIGURATION]
            store.records[items.CONFIGURATION] = record._replace(
                pending=items.Batch(copy.applied.successor("x"), copy.applied, ())
            )
        assert await seconds_in_use(world) <= BOUND + 0.1
        await stays_out(world)

    play(scene)


@pytest.mark.parametrize("killed", [2, 3])
def test_stopped_voter_processes_are_evidence_only_if_more_than_half(killed):
    async def scene(world):
        gone = cores(world)[:killed]
        for name in gone:
            world.nodes[name].kill()
        # The others run, and neither they nor anybody else is reached from here.
        cut(world, ["edge-1"], [name for name in world.nodes if name not in [*gone, "edge-1"]])
        took = await seconds_in_use(world)
        assert took <= BOUND + 0.1 if killed == 2 else took >= STRETCH
        await stays_out(world)

    play(scene)


def test_control_plane_node_serves_no_old_tables_whatever_the_evidence():
    async def scene(world):
        for name in cores(world)[1:]:
            world.nodes[name].kill()
        assert await seconds_in_use(world, "agency-1") <= BOUND + 0.1

    play(scene)


def test_malformed_answers_are_no_evidence_and_do_not_stop_detection():
    async def scene(world):
        async def nonsense(sender, body):
            return ()

        for name in cores(world):
            cut(world, [name], [other for other in cores(world) if other != name])
            world.nodes[name].program.context.transport.handlers["tips"] = nonsense
        assert await seconds_in_use(world) <= BOUND + 0.1
        await stays_out(world)
        assert not world.nodes["edge-1"].program.context.crashed.done()

    play(scene)
