"""Leases of a frozen or partitioned control plane node: which writes are refused, when a lease begins."""

import asyncio
import types

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.singletons import lease


def holder_of(day, name="staffing"):
    found = []
    for node in day.cluster.with_role("agency"):
        found += [
            (node, task) for task in node.program.singleton_tasks if task.name == name and task.holds_lease()
        ]
    return found


@pytest.mark.parametrize("clock", ["goes on", "stands still"])
def test_a_resumed_holder_writes_nothing_under_a_lease_that_another_node_has_taken(clock):
    """The monotonic clock continues for a stopped process and stands still on a suspended machine."""

    async def scenario(day):
        ((node, task),) = holder_of(day)
        fencing_token = task.fencing_token
        node.freeze()
        await asyncio.sleep(8)
        ((other, _),) = [pair for pair in holder_of(day) if pair[0] is not node]
        if clock == "stands still":
            task.lease_ends_at += 8
        node.thaw()
        # The resumed node has current tables again, and still treats its old lease as valid.
        await day.cluster.wait_until_ready()
        task.fencing_token = fencing_token
        with pytest.raises(errors.StaleVersionError):
            await node.run(task.write_fenced([("rest/x", {"since": 1})]), 8)
        await asyncio.sleep(2)
        assert cluster.context(day, "agency-1").ledger.value("rest/x") is None
        assert [pair[0] for pair in holder_of(day)] == [other]

    cluster.run_scenario(scenario)


def test_a_lease_taken_by_an_order_whose_answer_was_lost_counts_from_that_order():
    """Other nodes count a lease from when they see it, maybe long before its holder repeats the order."""

    async def scenario(day):
        node = day.cluster.nodes["agency-3"]
        real = node.program.submitter
        task = lease.SingletonTask(real, "trial", None)
        task.holder = "agency-3~life"
        vacant = str(node.program.context.ledger.version("term/trial"))

        async def lose_reply(order):
            await real.submit(order)
            await asyncio.sleep(1.5)
            raise errors.ChangeOutcomeUnknownError("the reply was lost")

        task.submitter = types.SimpleNamespace(submit=lose_reply)
        asked_at = day.now()
        with pytest.raises(errors.ChangeOutcomeUnknownError):
            await node.run(task.acquire(vacant), 8)
        task.submitter = real
        await node.run(task.acquire(vacant), 8)
        assert task.fencing_token
        assert task.lease_ends_at <= asked_at + task.lease_seconds

    cluster.run_scenario(scenario)
