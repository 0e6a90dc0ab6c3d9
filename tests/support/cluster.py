"""Scenes for tests: a small fleet in the simulator, founded, with a configuration in force and origins
known.
"""

import asyncio

import irisstand.fleet.processes as fleets
import irisstand.simulator.day as days
import irisstand.simulator.virtual_time as virtual

SHAPE = fleets.Shape(
    2, 5, 1, (("north", "one"), ("south", "one"), ("east", "two"), ("west", "two")), 2, 2, 20, 3.0
)


def play(scene, seed=1, shape=SHAPE):
    """Run `scene(day)` in virtual time on an opened fleet, and return what it returns."""

    async def whole():
        day = days.Day(seed, 0, days.Kind(shape, ceilings=days.HIGH, replace_after=60))
        await day.open()
        try:
            return await scene(day)
        finally:
            assert not asyncio.get_running_loop().faults, asyncio.get_running_loop().faults[0]

    return virtual.run(whole())


def context(day, name):
    return day.world.nodes[name].body.context


def site_row(name="north", weight=1, **more):
    return {"kind": "site", "name": name, "value": {"weight": weight}, **more}


def members(day, name):
    """Living members by name, as `name` sees them."""
    return {
        update.identity.name: update for update in context(day, name).detector.member_list.members.values()
    }
