"""Runs test scenarios on a small simulated cluster with a configuration in force and known origins."""

import asyncio

from irisstand.localcluster import processes
from irisstand.simulator import day_kinds, simulated_day, virtual_time

SHAPE = processes.ClusterShape(
    2, 5, 1, (("north", "one"), ("south", "one"), ("east", "two"), ("west", "two")), 2, 2, 20, 3.0
)


def run_scenario(scenario, seed=1, shape=SHAPE):
    """Run `scenario(day)` in virtual time on an opened simulated day, and return its result."""

    async def run():
        day = simulated_day.SimulatedDay(
            seed, 0, day_kinds.DayKind(shape, limits=day_kinds.HIGH_LIMITS, replace_after=60)
        )
        await day.open()
        try:
            return await scenario(day)
        finally:
            assert not asyncio.get_running_loop().unhandled_errors, (
                asyncio.get_running_loop().unhandled_errors[0]
            )

    return virtual_time.run(run())


def context(day, name):
    return day.cluster.nodes[name].program.context


def site_row(name="north", weight=1, **more):
    return {"kind": "site", "name": name, "value": {"weight": weight}, **more}


def members(day, name):
    """Return the live members that the node `name` knows of, by their names."""
    return {
        update.identity.name: update for update in context(day, name).detector.member_list.members.values()
    }
