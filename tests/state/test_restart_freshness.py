"""Which tables a node may use immediately after a restart."""

import asyncio
import random

import direct_edge

from irisstand import clocks, node_context
from irisstand.simulator import virtual_time


def test_restarted_node_uses_no_table_that_may_be_older_than_before_the_restart():
    """Guards against serving older data after a restart than before it.

    A peer's replica that is current within the freshness bound may lack changes that this node has served
    before. Found by seeds 3020 (busy) and 3012 (planned).
    """

    async def scenario():
        await asyncio.sleep(10)
        settings = direct_edge.SETTINGS
        context = node_context.NodeContext(
            settings, settings.role, clocks.LoopClock(), random.Random(1), None
        )
        started = context.clock.now()
        local = context.configuration
        local.confirm_current(started - 0.5)
        before = context.is_fresh(local)
        local.confirm_current(started)
        return before, context.is_fresh(local)

    assert virtual_time.run(scenario()) == (False, True)
