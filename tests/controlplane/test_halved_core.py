"""The core cut into halves that all others reach: nothing confirmed is lost or shown in an older state."""

import asyncio

import cluster
import pytest
import test_partitioned_nodes
from test_partitioned_nodes import NOT_REFUSED

from irisstand import errors

HALVES = [((1, 2), (3, 4, 5)), ((1, 3), (2, 4, 5)), ((2, 5), (1, 3, 4)), ((1,), (2, 3, 4, 5))]
CHANGES = 16


def names(numbers):
    return [f"agency-{number}" for number in numbers]


async def change(day, number):
    """Order one change at one node after the other until it is confirmed; return whether it was."""
    rows = [cluster.site_row(name="north", weight=number + 1)]
    for attempt in range(4):
        try:
            # The same order each time: it counts once, whichever of them is carried out.
            await day.actors.order(f"agency-{(number + attempt) % 5 + 1}", "change", rows, f"halved-{number}")
        except NOT_REFUSED:
            await asyncio.sleep(0.2)
        else:
            return True
    return False


async def weights_shown(day):
    """What each node answers a read that begins now; a node that refuses is left out."""
    shown = {}
    for name in names(range(1, 6)):
        try:
            rows = await test_partitioned_nodes.read(day, name)
        except (errors.StaleConfigurationError, *NOT_REFUSED):
            continue
        shown[name] = test_partitioned_nodes.weight_of(rows)
    return shown


@pytest.mark.parametrize("halves", HALVES)
def test_core_in_halves_confirms_on_one_side_and_shows_no_older_state(halves):
    async def scene(day):
        confirmed, answered = 0, 0
        for number in range(CHANGES):
            if number == 3:
                day.cluster.network.cut(*(day.cluster.hosts(names(half)) for half in halves))
            if number == CHANGES - 3:
                day.cluster.network.heal()
            if await change(day, number):
                confirmed += 1
                shown = await weights_shown(day)
                answered += len(shown)
                assert set(shown.values()) <= {number + 1}, (number, shown)
        await asyncio.sleep(3)
        return confirmed, answered, await weights_shown(day)

    confirmed, answered, at_the_end = cluster.play(scene)
    # The greater half confirms throughout, and answers reads.
    assert confirmed == CHANGES
    assert answered >= 3 * CHANGES - 6
    assert at_the_end == dict.fromkeys(names(range(1, 6)), CHANGES)
