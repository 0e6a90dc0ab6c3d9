"""Tests of safeguards whose removal no other test detects: one scenario for each mutation."""

import asyncio
import json

import cluster
import pytest

from irisstand import errors
from irisstand.balancing import quota_shares
from irisstand.controlplane.consensus import acceptor, messages
from irisstand.state import items, versions


async def accept_by_majority(day):
    """Have three of five voters accept a batch whose proposer, agency-1, is killed before it sends commits.

    The proposer may have confirmed the batch to its client. Returns the batch.
    """
    participant = day.cluster.nodes["agency-1"].program.participant
    applied = participant.context.configuration.applied
    ballot = versions.Version(applied.counter + 5, f"agency-1~{participant.store.disk_id}")
    batch = items.Batch(ballot, applied, (("site/south", {"weight": 9}, False),))
    day.cluster.nodes["agency-1"].kill()
    for name in ("agency-2", "agency-3", "agency-4"):
        node = day.cluster.nodes[name]
        table_acceptor = node.program.participant.acceptors[items.CONFIGURATION]
        assert isinstance(
            await node.run(table_acceptor.submit(acceptor.Prepare(ballot)), 1), messages.Promised
        )
        command = acceptor.Accept(ballot, batch, "agency-1")
        assert await node.run(table_acceptor.submit(command), 1) == messages.Accepted()
    return batch


def test_a_batch_that_a_majority_accepted_is_finished_by_the_next_proposer():
    async def scenario(day):
        batch = await accept_by_majority(day)
        await day.actors.order("agency-5", "change", [cluster.site_row(weight=2)])
        await asyncio.sleep(1)
        for name in ("agency-5", "edge-1"):
            configuration = cluster.context(day, name).configuration
            assert configuration.value("site/south") == {"weight": 9}
            assert configuration.version("site/south") == batch.version
            assert configuration.value("site/north") == {"weight": 2}

    cluster.run_scenario(scenario)


def test_no_node_is_current_while_a_pending_batch_cannot_be_decided():
    async def scenario(day):
        await accept_by_majority(day)
        for node in day.cluster.with_role("agency"):
            node.disk.stalled = True
        await asyncio.sleep(2.5)
        # The batch may have been confirmed to a client and no node has applied it, so no replica is current.
        for name in ("agency-5", "edge-1", "shield-2"):
            context = cluster.context(day, name)
            assert context.configuration.value("site/south") is None
            assert not context.is_current(context.configuration)
        for node in day.cluster.with_role("agency"):
            node.disk.stalled = False
        await day.cluster.wait_until_ready()
        assert cluster.context(day, "edge-1").configuration.value("site/south") == {"weight": 9}

    cluster.run_scenario(scenario)


def test_a_voter_refuses_a_batch_whose_base_is_not_its_applied_version():
    async def scenario(day):
        node = day.cluster.nodes["agency-2"]
        table_acceptor = node.program.participant.acceptors[items.CONFIGURATION]
        await day.actors.order("agency-1", "change", [cluster.site_row()])
        await asyncio.sleep(1)
        applied = table_acceptor.record.applied
        # This batch comes from a proposer that was paused since an earlier version and has a promise again.
        earlier_version = applied._replace(counter=applied.counter - 1)
        batch = items.Batch(
            versions.Version(applied.counter + 9, "x"), earlier_version, (("site/north", {}, False),)
        )
        ballot = versions.Version(applied.counter + 9, "x")
        reply = await node.run(table_acceptor.submit(acceptor.Accept(ballot, batch, "agency-1")), 1)
        assert reply == messages.Rejected(messages.VoteStatus.BASE_MISMATCH, applied)
        assert table_acceptor.record.pending is None
        assert table_acceptor.record.applied == applied

    cluster.run_scenario(scenario)


def test_a_disk_addressed_by_its_predecessors_id_has_no_vote_though_it_holds_the_table():
    async def scenario(day):
        node = day.cluster.nodes["agency-4"]
        old_disk_id = node.program.participant.store.disk_id
        node.kill()
        node.wipe()
        await node.start()
        await day.cluster.wait_until(lambda: node.program.participant.is_voter(items.CONFIGURATION), 20)
        ballot = (10**6, "x")
        with pytest.raises(errors.NotBootstrappedError):
            await node.run(
                node.program.participant.handle_prepare("x", [items.CONFIGURATION, ballot, old_disk_id]), 1
            )
        batch = items.Batch(versions.Version(10**6, "x"), versions.NONE, ()).to_wire()
        with pytest.raises(errors.NotBootstrappedError):
            await node.run(
                node.program.participant.handle_accept(
                    "x", [items.CONFIGURATION, ballot, batch, old_disk_id]
                ),
                1,
            )

    cluster.run_scenario(scenario)


def test_an_answer_fetched_before_a_purge_by_tag_is_not_served_two_seconds_after_it():
    async def scenario(day):
        path = "/vacancies/77"
        for origin in day.actors.origins:
            origin.delay = 2.4
        fetch_task = asyncio.create_task(day.actors.send_request("edge-1", "GET", path))
        await asyncio.sleep(0.1)
        day.actors.records.versions[path] += 1
        await day.actors.order("agency-2", "purge", [("tag", "vacancies")])
        for origin in day.actors.origins:
            origin.delay = 0.003
        status, _, result = await fetch_task
        assert status != 200 or json.loads(result.body)["version"] == 1

    cluster.run_scenario(scenario)


def test_a_write_whose_shield_dies_during_it_has_an_unknown_outcome():
    async def scenario(day):
        for origin in day.actors.origins:
            origin.delay = 0.5
        write_task = asyncio.create_task(day.actors.write("edge-1"))
        await asyncio.sleep(0.2)
        for node in day.cluster.with_role("shield"):
            node.kill()
        number, status, code = await write_task
        assert day.actors.records.executions[number] == 1
        assert (status, code) == (504, "outcome-unknown")

    cluster.run_scenario(scenario)


def test_a_quota_share_taken_from_one_shield_is_not_given_out_while_the_shield_may_not_know():
    limits = {"s": (10, 4)}
    rows, _ = quota_shares.plan({}, limits, {"a": 1, "b": 1}, ())
    rows, reduced_services = quota_shares.plan(rows, limits, {"b": 1}, ())
    assert reduced_services == {"s"}
    assert "s" not in rows["a"]
    held_rows, _ = quota_shares.plan(rows, limits, {"b": 1}, reduced_services)
    assert held_rows["b"]["s"][:2] == [5, 2]
    freed_rows, _ = quota_shares.plan(rows, limits, {"b": 1}, ())
    assert freed_rows["b"]["s"][:2] == [10, 4]


def test_a_claim_returned_late_leaves_the_claim_of_the_next_shield():
    async def scenario(day):
        first, second, third = (day.cluster.nodes[f"shield-{n}"] for n in (1, 2, 3))
        grant = first.program.view.authorize("POST", "/applications", "")
        request = ("POST", "/applications", {"idempotency-key": "k"}, b"x", "request-1")
        executions = []

        async def fail_before_execution():
            raise errors.NoOriginError("certainly not run")

        async def execute():
            executions.append(1)
            return (200, (), b"done")

        idempotency_keys = first.program.role_node.idempotency_keys
        original_settle = idempotency_keys.settle

        async def settle_late(*arguments, **keywords):
            asyncio.get_running_loop().create_task(settle_after_delay(*arguments, **keywords))

        async def settle_after_delay(*arguments, **keywords):
            await asyncio.sleep(0.5)
            await original_settle(*arguments, **keywords)

        idempotency_keys.settle = settle_late
        with pytest.raises(errors.NoOriginError):
            await first.run(idempotency_keys.run_once(grant, request, fail_before_execution), 3)
        second.program.role_node.idempotency_keys.settle = settle_late
        for node in (second, third):
            with pytest.raises(errors.OutcomeUnknownError):
                await node.run(node.program.role_node.idempotency_keys.run_once(grant, request, execute), 3)
        await asyncio.sleep(1.5)
        second_request = (*request[:4], "request-2")
        for node in (third, second):
            await node.run(
                node.program.role_node.idempotency_keys.run_once(grant, second_request, execute), 3
            )
            await asyncio.sleep(1.5)
        assert len(executions) == 1

    cluster.run_scenario(scenario)
