"""Protections of the control plane whose removal no other test notices: one scenario for each mutation."""

import asyncio
import json

import cluster
import pytest

from irisstand import errors
from irisstand.balancing import quota_shares
from irisstand.controlplane.consensus import acceptor, messages
from irisstand.state import items, versions


async def accept_by_majority(day):
    """A proposer had its batch accepted by three of five, so a yes may be out, and died before any commit."""
    core = day.cluster.nodes["agency-1"].program.participant
    applied = core.context.configuration.applied
    ballot = versions.Version(applied.counter + 5, f"agency-1~{core.store.disk_id}")
    batch = items.Batch(ballot, applied, (("site/south", {"weight": 9}, False),))
    day.cluster.nodes["agency-1"].kill()
    for name in ("agency-2", "agency-3", "agency-4"):
        node = day.cluster.nodes[name]
        owner = node.program.participant.acceptors[items.CONFIGURATION]
        assert isinstance(await node.do(owner.submit(acceptor.Prepare(ballot)), 1), messages.Promised)
        command = acceptor.Accept(ballot, batch, "agency-1")
        assert await node.do(owner.submit(command), 1) == messages.Accepted()
    return batch


def test_a_batch_that_a_majority_accepted_is_finished_by_the_next_proposer():
    async def scene(day):
        batch = await accept_by_majority(day)
        await day.actors.order("agency-5", "change", [cluster.site_row(weight=2)])
        await asyncio.sleep(1)
        for name in ("agency-5", "edge-1"):
            configuration = cluster.context(day, name).configuration
            assert configuration.value("site/south") == {"weight": 9}
            assert configuration.version("site/south") == batch.version
            assert configuration.value("site/north") == {"weight": 2}

    cluster.play(scene)


def test_no_node_is_current_while_a_pending_batch_cannot_be_decided():
    async def scene(day):
        await accept_by_majority(day)
        for node in day.cluster.with_role("agency"):
            node.disk.stalled = True
        await asyncio.sleep(2.5)
        # The yes may be out, and no node knows the row yet: none may answer from the table.
        for name in ("agency-5", "edge-1", "shield-2"):
            context = cluster.context(day, name)
            assert context.configuration.value("site/south") is None
            assert not context.is_current(context.configuration)
        for node in day.cluster.with_role("agency"):
            node.disk.stalled = False
        await day.cluster.wait_until_ready()
        assert cluster.context(day, "edge-1").configuration.value("site/south") == {"weight": 9}

    cluster.play(scene)


def test_a_voter_refuses_a_batch_whose_base_is_not_its_applied_version():
    async def scene(day):
        node = day.cluster.nodes["agency-2"]
        owner = node.program.participant.acceptors[items.CONFIGURATION]
        await day.actors.order("agency-1", "change", [cluster.site_row()])
        await asyncio.sleep(1)
        applied = owner.record.applied
        # A proposer that has slept since an earlier applied version and has only now been promised again.
        earlier = applied._replace(counter=applied.counter - 1)
        batch = items.Batch(versions.Version(applied.counter + 9, "x"), earlier, (("site/north", {}, False),))
        ballot = versions.Version(applied.counter + 9, "x")
        reply = await node.do(owner.submit(acceptor.Accept(ballot, batch, "agency-1")), 1)
        assert reply == messages.Rejected(messages.VoteStatus.MOVED, applied)
        assert owner.record.pending is None
        assert owner.record.applied == applied

    cluster.play(scene)


def test_a_disk_addressed_by_its_predecessors_id_has_no_vote_though_it_holds_the_table():
    async def scene(day):
        node = day.cluster.nodes["agency-4"]
        old = node.program.participant.store.disk_id
        node.kill()
        node.wipe()
        await node.start()
        await day.cluster.wait_until(lambda: node.program.participant.is_voter(items.CONFIGURATION), 20)
        ballot = (10**6, "x")
        with pytest.raises(errors.NotBootstrappedError):
            await node.do(node.program.participant.handle_prepare("x", [items.CONFIGURATION, ballot, old]), 1)
        batch = items.Batch(versions.Version(10**6, "x"), versions.NONE, ()).to_wire()
        with pytest.raises(errors.NotBootstrappedError):
            await node.do(
                node.program.participant.handle_accept("x", [items.CONFIGURATION, ballot, batch, old]), 1
            )

    cluster.play(scene)


def test_an_answer_fetched_before_a_purge_by_tag_is_not_served_two_seconds_after_it():
    async def scene(day):
        path = "/vacancies/77"
        for origin in day.actors.origins:
            origin.delay = 2.4
        fetching = asyncio.create_task(day.actors.ask("edge-1", "GET", path))
        await asyncio.sleep(0.1)
        day.actors.records.versions[path] += 1
        await day.actors.order("agency-2", "purge", [("tag", "vacancies")])
        for origin in day.actors.origins:
            origin.delay = 0.003
        status, _, result = await fetching
        assert status != 200 or json.loads(result.body)["version"] == 1

    cluster.play(scene)


def test_a_write_whose_shield_dies_during_it_has_an_unknown_outcome():
    async def scene(day):
        for origin in day.actors.origins:
            origin.delay = 0.5
        writing = asyncio.create_task(day.actors.write("edge-1"))
        await asyncio.sleep(0.2)
        for node in day.cluster.with_role("shield"):
            node.kill()
        number, status, code = await writing
        assert day.actors.records.executions[number] == 1
        assert (status, code) == (504, "outcome-unknown")

    cluster.play(scene)


def test_a_quota_share_taken_from_one_shield_is_not_given_out_while_the_shield_may_not_know():
    ceilings = {"s": (10, 4)}
    rows, _ = quota_shares.plan({}, ceilings, {"a": 1, "b": 1}, ())
    rows, reduced = quota_shares.plan(rows, ceilings, {"b": 1}, ())
    assert reduced == {"s"}
    assert "s" not in rows["a"]
    held, _ = quota_shares.plan(rows, ceilings, {"b": 1}, reduced)
    assert held["b"]["s"][:2] == [5, 2]
    freed, _ = quota_shares.plan(rows, ceilings, {"b": 1}, ())
    assert freed["b"]["s"][:2] == [10, 4]


def test_a_claim_returned_late_leaves_the_claim_of_the_next_shield():
    async def scene(day):
        first, second, third = (day.cluster.nodes[f"shield-{n}"] for n in (1, 2, 3))
        granted = first.program.view.authorize("POST", "/applications", "")
        request = ("POST", "/applications", {"idempotency-key": "k"}, b"x", "request-1")
        runs = []

        async def nothing():
            raise errors.NoOriginError("certainly not run")

        async def run():
            runs.append(1)
            return (200, (), b"done")

        claims = first.program.role_node.idempotency_keys
        settle = claims.settle

        async def late(*arguments, **keywords):
            asyncio.get_running_loop().create_task(after_a_while(*arguments, **keywords))

        async def after_a_while(*arguments, **keywords):
            await asyncio.sleep(0.5)
            await settle(*arguments, **keywords)

        claims.settle = late
        with pytest.raises(errors.NoOriginError):
            await first.do(claims.run_once(granted, request, nothing), 3)
        second.program.role_node.idempotency_keys.settle = late
        for node in (second, third):
            with pytest.raises(errors.OutcomeUnknownError):
                await node.do(node.program.role_node.idempotency_keys.run_once(granted, request, run), 3)
        await asyncio.sleep(1.5)
        again = (*request[:4], "request-2")
        for node in (third, second):
            await node.do(node.program.role_node.idempotency_keys.run_once(granted, again, run), 3)
            await asyncio.sleep(1.5)
        assert len(runs) == 1

    cluster.play(scene)
