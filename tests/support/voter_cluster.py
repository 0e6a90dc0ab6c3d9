"""Scenes for tests of voter sets: a core founded by seeds in given zones, and an oracle."""

import asyncio

import cluster

import irisstand.state.items as items
import irisstand.state.quorum as quorum
from irisstand.simulator import simulated_cluster, virtual_time

# What the platform's settings give on the small sites.
CATCH_UP, BUILT = 4.0, 5.0


def play(scene, zones, seed=1):
    async def whole():
        sites = tuple((zone, "one" if zone < "c" else "two") for zone in zones)
        shape = cluster.SHAPE._replace(shields=len(zones), sites=sites, edges=1)
        world = simulated_cluster.SimulatedCluster(seed, shape)
        world.by_seeds, world.replace_after = True, 1.2
        await world.start_all()
        found = await scene(world)
        assert not asyncio.get_running_loop().faults, asyncio.get_running_loop().faults[0]
        return found

    return virtual_time.run(whole())


def voters(world, table=items.LEDGER):
    cores = [node for node in world.with_role("agency") if node.is_up]
    newest = max((node.program.context.replicas[table] for node in cores), key=lambda copy: copy.applied)
    return quorum.voters_from_wire(newest.value(items.VOTERS_KEY))


def up_voters(world, table):
    up = {node.program.participant.store.disk_id for node in world.with_role("agency") if node.is_up}
    return [voter for voter in voters(world, table) if voter.disk_id in up]


def is_whole(world, size=5):
    """All three tables have one set, all of it up, and any one zone may be lost."""
    sets = [{voter.disk_id for voter in voters(world, table)} for table in items.TABLES]
    in_force = voters(world)
    same = all(one == sets[0] for one in sets)
    is_up = all(len(up_voters(world, table)) == len(in_force) for table in items.TABLES)
    return same and is_up and len(in_force) >= size and quorum.survives_any_site_loss(in_force)


async def confirm(world, number):
    """An order taken by any living voter; its row is to be read back ever after."""
    first = up_voters(world, items.CONFIGURATION)[0]
    row = {"kind": "site", "name": f"zone-{number}", "value": {"weight": number}}
    await world.actors.order(first.name, "change", [row])
    return number


async def read_back(world, numbers):
    """The oracle: a majority decides, and what was confirmed is there."""
    for number in numbers:
        for node in world.with_role("agency"):
            if node.is_up and world.is_ready(node):
                value = node.program.context.configuration.value(f"site/zone-{number}")
                assert value == {"weight": number}
    await confirm(world, 99)


def kill_and_wipe(node):
    node.kill(reset=False)
    node.wipe()
