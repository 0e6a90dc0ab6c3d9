"""Partitions the control plane in two; no confirmed change may be lost, and no read may be outdated."""

import asyncio

import cluster
import pytest
import test_partitioned_nodes
from test_partitioned_nodes import UNDECIDED_ERRORS

from irisstand import errors

HALVES = [((1, 2), (3, 4, 5)), ((1, 3), (2, 4, 5)), ((2, 5), (1, 3, 4)), ((1,), (2, 3, 4, 5))]
CHANGES = 16


def node_names(numbers):
    return [f"agency-{number}" for number in numbers]


async def order_change(day, number):
    """Submit one change to up to four nodes in turn, and return whether one of them confirmed it."""
    rows = [cluster.site_row(name="north", weight=number + 1)]
    for attempt in range(4):
        try:
            # All attempts have the same change id, so the change takes effect only once.
            await day.actors.order(f"agency-{(number + attempt) % 5 + 1}", "change", rows, f"halved-{number}")
        except UNDECIDED_ERRORS:
            await asyncio.sleep(0.2)
        else:
            return True
    return False


async def read_weights(day):
    """Return the weight that a read shows now at each node, without the nodes that refuse the read."""
    shown_weights = {}
    for name in node_names(range(1, 6)):
        try:
            rows = await test_partitioned_nodes.read(day, name)
        except (errors.StaleConfigurationError, *UNDECIDED_ERRORS):
            continue
        shown_weights[name] = test_partitioned_nodes.weight_of(rows)
    return shown_weights


@pytest.mark.parametrize("halves", HALVES)
def test_partitioned_control_plane_confirms_on_one_side_and_shows_no_older_state(halves):
    async def scenario(day):
        changes_confirmed, reads_answered = 0, 0
        for number in range(CHANGES):
            if number == 3:
                day.cluster.network.partition(*(day.cluster.hosts(node_names(half)) for half in halves))
            if number == CHANGES - 3:
                day.cluster.network.heal()
            if await order_change(day, number):
                changes_confirmed += 1
                shown_weights = await read_weights(day)
                reads_answered += len(shown_weights)
                assert set(shown_weights.values()) <= {number + 1}, (number, shown_weights)
        await asyncio.sleep(3)
        return changes_confirmed, reads_answered, await read_weights(day)

    changes_confirmed, reads_answered, final_weights = cluster.run_scenario(scenario)
    # The side with the majority confirms all changes and answers reads throughout the partition.
    assert changes_confirmed == CHANGES
    assert reads_answered >= 3 * CHANGES - 6
    assert final_weights == dict.fromkeys(node_names(range(1, 6)), CHANGES)
