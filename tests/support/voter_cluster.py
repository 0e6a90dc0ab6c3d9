"""Runs tests of voter sets on a simulated cluster that seeds bootstrap in given zones, and checks it."""

import asyncio

import cluster

from irisstand.simulator import simulated_cluster, virtual_time
from irisstand.state import items, quorum

# Time limits on small sites with the platform's settings: to replace lost voters, to reach the full set.
CATCH_UP_SECONDS = 4.0
BUILD_SECONDS = 5.0


def run_scenario(scenario, zones, seed=1):
    """Run a scenario on a new cluster with one control plane node for each entry of `zones`."""

    async def run():
        sites = tuple((zone, "one" if zone < "c" else "two") for zone in zones)
        shape = cluster.SHAPE._replace(shields=len(zones), sites=sites, edges=1)
        simulation = simulated_cluster.SimulatedCluster(seed, shape)
        simulation.seeds_bootstrap = True
        simulation.replace_after = 1.2
        await simulation.start_all()
        result = await scenario(simulation)
        assert not asyncio.get_running_loop().unhandled_errors, asyncio.get_running_loop().unhandled_errors[0]
        return result

    return virtual_time.run(run())


def voters(simulation, table=items.LEDGER):
    """Return the voters of a table according to the newest replica of the nodes that are up."""
    up = [node for node in simulation.with_role("agency") if node.is_up]
    newest = max((node.program.context.replicas[table] for node in up), key=lambda replica: replica.applied)
    return quorum.voters_from_wire(newest.value(items.VOTERS_KEY))


def up_voters(simulation, table):
    """Return the voters of a table whose node is up with the disk that has the vote."""
    up = {node.program.participant.store.disk_id for node in simulation.with_role("agency") if node.is_up}
    return [voter for voter in voters(simulation, table) if voter.disk_id in up]


def has_full_voters(simulation, size=5):
    """Return whether all tables have the same voters, all up, and the loss of any zone leaves a majority."""
    sets = [{voter.disk_id for voter in voters(simulation, table)} for table in items.TABLES]
    in_force = voters(simulation)
    are_same = all(disk_ids == sets[0] for disk_ids in sets)
    are_up = all(len(up_voters(simulation, table)) == len(in_force) for table in items.TABLES)
    return are_same and are_up and len(in_force) >= size and quorum.survives_any_site_loss(in_force)


async def confirm_change(simulation, number):
    """Have a change confirmed by a voter that is up, and return its number for `check_confirmed_changes`."""
    first = up_voters(simulation, items.CONFIGURATION)[0]
    row = {"kind": "site", "name": f"zone-{number}", "value": {"weight": number}}
    await simulation.actors.order(first.name, "change", [row])
    return number


async def check_confirmed_changes(simulation, numbers):
    """Check that all ready nodes have the confirmed changes, and that another change can be confirmed."""
    for number in numbers:
        for node in simulation.with_role("agency"):
            if node.is_up and simulation.is_ready(node):
                value = node.program.context.configuration.value(f"site/zone-{number}")
                assert value == {"weight": number}
    await confirm_change(simulation, 99)


def kill_and_wipe(node):
    """Kill a node and wipe its disk, like the loss of a machine."""
    node.kill(reset=False)
    node.wipe()
