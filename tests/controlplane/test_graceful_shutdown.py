"""Tests of graceful shutdowns and lease handovers: orders get an answer, and leases are soon held again."""

import asyncio

import cluster
import pytest

from irisstand import errors


def holder_of(day, task_name):
    for node in day.cluster.with_role("agency"):
        for task in node.program.singleton_tasks if node.is_up else ():
            if task.name == task_name and task.holds_lease():
                return node
    return None


def test_change_that_cannot_be_decided_before_a_shutdown_is_answered_as_unknown():
    async def scenario(day):
        node = day.cluster.nodes["agency-2"]
        for control_plane_node in day.cluster.with_role("agency"):
            control_plane_node.disk.stalled = True
        change_task = asyncio.create_task(
            day.actors.order("agency-2", "change", [cluster.site_row(weight=3)], "change-x")
        )
        await asyncio.sleep(0.2)
        stop_task = asyncio.create_task(node.stop())
        with pytest.raises(errors.ChangeOutcomeUnknownError):
            await change_task
        for control_plane_node in day.cluster.with_role("agency"):
            control_plane_node.disk.stalled = False
        await stop_task
        assert not day.checker.broken["a planned restart drops no request in progress"]
        assert day.checker.checked["a planned restart drops no request in progress"] == 1
        # Submitted again with the same change id to another node, the change returns its one result.
        result = await day.actors.order("agency-4", "change", [cluster.site_row(weight=3)], "change-x")
        await asyncio.sleep(1)
        assert cluster.context(day, "agency-4").configuration.value("site/north") == {"weight": 3}
        assert result["rows"] == ["site/north"]

    cluster.run_scenario(scenario)


# If the change were not counted as in flight, the node would stop before the change is decided.
@pytest.mark.parametrize("name", ["agency-1", "agency-2"])
def test_change_in_flight_is_finished_before_a_shutdown(name):
    async def scenario(day):
        for control_plane_node in day.cluster.with_role("agency"):
            control_plane_node.disk.max_operation_seconds = 0.8
        change_task = asyncio.create_task(day.actors.order(name, "change", [cluster.site_row(weight=3)]))
        await asyncio.sleep(0.1)
        await day.cluster.nodes[name].stop()
        assert (await change_task)["rows"] == ["site/north"]

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("task_name", ["platform-watch", "placement", "staffing", "retention"])
def test_lease_holder_that_shuts_down_releases_its_lease_at_once(task_name):
    async def scenario(day):
        await asyncio.sleep(5)
        node = holder_of(day, task_name)
        stop_task = asyncio.create_task(node.stop())
        await asyncio.sleep(0.1)
        started_at = day.watcher.now()
        await day.cluster.wait_until(lambda: holder_of(day, task_name) not in (None, node), 3)
        assert day.watcher.now() - started_at < 1.2
        await stop_task

    cluster.run_scenario(scenario)


def test_vacant_lease_is_acquired_soon_after_a_partition_heals():
    async def scenario(day):
        await asyncio.sleep(2)
        # None of the three sides has a majority, so the holder cannot renew its lease.
        day.cluster.partition_off(["agency-1", "agency-2"])
        day.cluster.network.partition(
            day.cluster.hosts(["agency-3"]), day.cluster.hosts(["agency-4", "agency-5"])
        )
        await asyncio.sleep(6)
        assert holder_of(day, "platform-watch") is None
        day.cluster.network.heal()
        elapsed_seconds = await day.cluster.wait_until(
            lambda: holder_of(day, "platform-watch") is not None, 5
        )
        assert elapsed_seconds < 1.2

    cluster.run_scenario(scenario)


def test_lease_decided_after_its_end_is_acquired_again_at_once():
    """Regression: a lease that was decided after its own end left its task idle for another lease period.

    Found on a simulated day of kind kildespor with seed 1028.
    """

    async def scenario(day):
        await asyncio.sleep(2)
        for node in day.cluster.with_role("agency"):
            node.disk.stalled = True
        await asyncio.sleep(3.5)
        assert holder_of(day, "platform-watch") is None
        for node in day.cluster.with_role("agency"):
            node.disk.stalled = False
        elapsed_seconds = await day.cluster.wait_until(
            lambda: holder_of(day, "platform-watch") is not None, 5
        )
        assert elapsed_seconds < 0.8

    cluster.run_scenario(scenario)


def test_lease_won_after_its_end_is_acquired_again_though_the_next_attempt_failed():
    """Regression: a lease was recorded for an idle holder, and all nodes waited another lease period.

    Found on a simulated day of kind kildespor with seed 1028.
    """

    async def scenario(day):
        await asyncio.sleep(2)
        holder = holder_of(day, "platform-watch")
        for node in day.cluster.with_role("agency"):
            for task in node.program.singleton_tasks:
                if node is not holder and task.name == "platform-watch":
                    # With a long lease period, no other candidate acquires the lease before the measured one.
                    task.lease_seconds = 60.0
        task = next(task for task in holder.program.singleton_tasks if task.name == "platform-watch")
        original_submit, orders = task.submitter.submit, []

        async def delay_then_refuse(order):
            if order.kind != "term" or order.payload[0] != task.name:
                return await original_submit(order)
            orders.append(order)
            if len(orders) == 2:
                raise errors.NoQuorumError("this node has lost the majority of the voters")
            result = await original_submit(order)
            if len(orders) == 1:
                await asyncio.sleep(task.lease_seconds)
            return result

        task.submitter.submit = delay_then_refuse
        await day.cluster.wait_until(lambda: len(orders) == 2, 5)
        assert not task.holds_lease()
        elapsed_seconds = await day.cluster.wait_until(task.holds_lease, 5)
        assert elapsed_seconds < 0.5

    cluster.run_scenario(scenario)


def test_candidate_acquires_a_lease_soon_though_the_last_winner_is_cut_off():
    """Right after a partition no node suspects the proposer of the last batch, so orders go to it first."""

    async def scenario(day):
        await asyncio.sleep(2)
        ledger = cluster.context(day, "agency-1").ledger
        winner = ledger.applied.node.partition("~")[0]
        candidate = next(node for node in day.cluster.with_role("agency") if node.placement.name != winner)
        task = next(task for task in candidate.program.singleton_tasks if task.name == "platform-watch")
        day.cluster.partition_off([winner])
        started_at = asyncio.get_running_loop().time()
        await task.acquire(str(task.context.ledger.version("term/platform-watch")))
        assert task.holds_lease()
        assert asyncio.get_running_loop().time() - started_at < 0.8

    cluster.run_scenario(scenario)
