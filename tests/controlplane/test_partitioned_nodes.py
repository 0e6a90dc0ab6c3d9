"""Tests of a control plane node that is partitioned, frozen or killed and later returns."""

import asyncio
import json
import types

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.api import operator_reads
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import acceptor, voter_administration
from irisstand.state import items, versions

PAGES = ("get_rows", "get_items", "get_ledger", "get_voters", "get_machines")
# Errors that leave the outcome of a change open: none of them means that the change was refused.
UNDECIDED_ERRORS = (
    errors.NoQuorumError,
    errors.ChangeOutcomeUnknownError,
    errors.NotBootstrappedError,
    TimeoutError,
)


def operator_reads_of(day, name):
    """Return the handlers of the operators' read requests at one node, without an HTTP listener."""
    program = day.cluster.nodes[name].program
    server = types.SimpleNamespace(app=types.SimpleNamespace(add_route=lambda *_, **__: None))
    administration = voter_administration.VoterAdministration(program.context, program.submitter)
    return operator_reads.OperatorReads(program.context, administration, program.read_index, server)


async def read(day, name, page="get_rows", *arguments):
    reads = operator_reads_of(day, name)
    response = await day.cluster.nodes[name].run(getattr(reads, page)(None, *arguments), 5)
    return json.loads(response.body)


def weight_of(rows, site="north"):
    weights = [row["value"]["weight"] for row in rows["rows"] if (row["kind"], row["name"]) == ("site", site)]
    return weights[0] if weights else None


# -- reads -------------------------------------------------------------------------------------------
@pytest.mark.parametrize("page", PAGES)
def test_control_node_just_cut_off_refuses_reads_at_once(page):
    async def scenario(day):
        day.cluster.partition_off(["agency-5"])
        # The node's replica is still within the freshness bound, so its age alone would allow the read.
        await day.actors.order("agency-2", "change", [cluster.site_row(weight=7)])
        started_at = day.now()
        with pytest.raises(errors.StaleConfigurationError) as raised:
            await read(day, "agency-5", page)
        assert day.now() - started_at < 0.8
        assert raised.value.status == 503
        assert raised.value.retry_after

    cluster.run_scenario(scenario)


def test_control_node_cut_off_refuses_to_report_a_change_it_does_not_know():
    async def scenario(day):
        day.cluster.partition_off(["agency-5"])
        await day.actors.order("agency-2", "change", [cluster.site_row(weight=7)], "mine")
        with pytest.raises(errors.StaleConfigurationError):
            await read(day, "agency-5", "get_change", "mine")

    cluster.run_scenario(scenario)


def test_read_after_a_confirmed_change_shows_it_at_every_node():
    async def scenario(day):
        for weight in range(1, 13):
            await day.actors.order(f"agency-{weight % 5 + 1}", "change", [cluster.site_row(weight=weight)])
            for number in range(1, 6):
                assert weight_of(await read(day, f"agency-{number}")) == weight

    cluster.run_scenario(scenario)


def test_read_shows_a_batch_that_a_majority_accepted_or_is_refused():
    async def scenario(day):
        participant = day.cluster.nodes["agency-1"].program.participant
        applied = participant.context.configuration.applied
        ballot = versions.Version(applied.counter + 5, f"agency-1~{participant.store.disk_id}")
        batch = items.Batch(ballot, applied, (("site/south", {"weight": 9}, False),))
        day.cluster.nodes["agency-1"].kill()
        for name in ("agency-2", "agency-3", "agency-4"):
            node = day.cluster.nodes[name]
            table_acceptor = node.program.participant.acceptors[items.CONFIGURATION]
            await node.run(table_acceptor.submit(acceptor.Prepare(ballot)), 1)
            await node.run(table_acceptor.submit(acceptor.Accept(ballot, batch, "agency-1")), 1)
        # The proposer may have confirmed the batch to its operator before it was killed.
        try:
            assert weight_of(await read(day, "agency-5"), "south") == 9
        except errors.StaleConfigurationError:
            await asyncio.sleep(1)
            assert weight_of(await read(day, "agency-5"), "south") == 9

    cluster.run_scenario(scenario)


def test_concurrent_reads_share_a_heartbeat_round():
    async def scenario(day):
        node = day.cluster.nodes["agency-1"]
        reads = operator_reads_of(day, "agency-1")
        counters_before = node.program.context.counters.text()
        results = await asyncio.gather(*(node.run(reads.get_rows(None), 5) for _ in range(200)))
        assert len({response.body for response in results}) == 1
        counters_after = node.program.context.counters.text()
        assert count_state_requests(counters_after) - count_state_requests(counters_before) < 40

    cluster.run_scenario(scenario)


def test_read_does_not_join_a_round_that_began_before_it():
    async def scenario(day):
        node = day.cluster.nodes["agency-1"]
        heartbeat = node.program.heartbeats[items.LEDGER]

        async def slow_round():
            await asyncio.sleep(0.2)
            return True

        heartbeat.run_round = slow_round
        first_read = node.actor.start(heartbeat.confirm_read())
        await asyncio.sleep(0.1)
        asked_at = day.now()
        await node.run(heartbeat.confirm_read(), 2)
        assert day.now() >= asked_at + 0.2
        await first_read

    cluster.run_scenario(scenario)


def count_state_requests(counters):
    return sum(float(line.split()[-1]) for line in counters.splitlines() if 'kind="stand"' in line)


# -- orders ------------------------------------------------------------------------------------------
def test_order_is_not_refused_for_rows_that_were_only_proposed():
    """Two orders in one batch conflict; the second must not be refused if the first is never decided."""

    async def scenario(day):
        node = day.cluster.nodes["agency-1"]
        proposer = node.program.proposers[items.CONFIGURATION]
        expected = str(node.program.context.configuration.version("site/north"))
        rows = [[cluster.site_row(weight=weight, expected=expected)] for weight in (1, 2)]
        original_propose = proposer.propose

        async def partition_before_accept(*arguments):
            day.cluster.partition_off(["agency-1"])
            await original_propose(*arguments)

        proposer.propose = partition_before_accept
        submissions = [proposer.submit(orders.Order("change", f"c{n}", rows[n])) for n in range(2)]
        results = await node.run(asyncio.wait_for(gather_results(submissions), 20), 30)
        # No majority received either order, so neither may be refused because of the other.
        assert all(isinstance(result, UNDECIDED_ERRORS) for result in results), results
        day.cluster.network.heal()

    cluster.run_scenario(scenario)


async def gather_results(awaitables):
    return await asyncio.gather(*awaitables, return_exceptions=True)


def test_order_whose_sender_hung_up_is_not_decided_later():
    async def scenario(day):
        node = day.cluster.nodes["agency-1"]
        day.cluster.partition_off(["agency-1"])
        order_task = node.actor.start(
            node.program.submitter.submit_for_operator(
                orders.Order("change", "left", [cluster.site_row(weight=8)])
            )
        )
        await asyncio.sleep(0.3)
        # The listener cancels the request of a closed connection in this way.
        order_task.cancel()
        await asyncio.sleep(0.1)
        day.cluster.network.heal()
        await asyncio.sleep(8)
        assert cluster.context(day, "agency-2").configuration.value("site/north") is None

    cluster.run_scenario(scenario)


def test_order_forwarded_to_a_frozen_voter_is_not_decided_after_a_later_opposite_order():
    async def scenario(day):
        await day.actors.order("agency-2", "purge", [("tag", "vacancies")])
        frozen_node = day.cluster.nodes["agency-2"]
        frozen_node.freeze()
        evacuate, restore = orders.Order("evacuate", "", "north"), orders.Order("return", "", "north")
        node = day.cluster.nodes["agency-1"]
        await node.run(node.program.submitter.submit_for_operator(evacuate), 8)
        await node.run(node.program.submitter.submit_for_operator(restore), 8)
        frozen_node.thaw()
        await asyncio.sleep(6)
        assert not cluster.context(day, "agency-3").is_evacuated("north")

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("fault", ["cut", "freeze", "kill"])
def test_concurrent_changes_at_a_node_that_returns_are_not_refused(fault):
    async def scenario(day):
        node = day.cluster.nodes["agency-1"]
        first_change = await day.actors.order("agency-1", "change", [cluster.site_row(weight=1)])
        assert first_change["serial"]
        {"cut": lambda: day.cluster.partition_off(["agency-1"]), "freeze": node.freeze, "kill": node.kill}[
            fault
        ]()
        for weight in range(2, 22):
            await day.actors.order(f"agency-{weight % 4 + 2}", "change", [cluster.site_row(weight=weight)])
            await asyncio.sleep(1)
        # This version was confirmed while agency-1 was away; a change that expects it must not be refused.
        expected = str(cluster.context(day, "agency-3").configuration.version("site/north"))
        change_tasks = [
            asyncio.create_task(
                retry_until_decided(day, f"pair-{n}", cluster.site_row(site, 50, expected=version))
            )
            for n, (site, version) in enumerate((("north", expected), ("west", "0.")))
        ]
        await asyncio.sleep(0.3)
        if fault == "kill":
            await node.start()
        else:
            day.cluster.network.heal()
            node.thaw()
        results = await asyncio.gather(*change_tasks)
        assert all(isinstance(result, dict) for result in results), results
        assert weight_of(await read(day, "agency-4")) == 50

    cluster.run_scenario(scenario)


async def retry_until_decided(day, change, row):
    """Submit a change to agency-1 again and again, as the operators' client does, until it is decided."""
    if row["expected"] == "0.":
        row = {key: value for key, value in row.items() if key != "expected"}
    for _ in range(40):
        try:
            return await asyncio.wait_for(day.actors.order("agency-1", "change", [row], change), 1)
        except UNDECIDED_ERRORS + (errors.StaleConfigurationError, errors.NotSentError, errors.DrainingError):
            await asyncio.sleep(0.1)
    return None
