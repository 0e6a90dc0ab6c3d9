"""Tests of ballots: a change is atomic, one of several racing changes wins, and confirmed changes last."""

import asyncio
import random

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.consensus import acceptor, messages
from irisstand.simulator import memory_disk, virtual_time
from irisstand.state import items, quorum, replica, versions
from irisstand.state.storage import durable_store


def test_of_changes_racing_from_the_same_version_exactly_one_wins():
    async def scenario(day):
        for round_number in range(12):
            expected = str(cluster.context(day, "agency-1").configuration.version("site/north"))
            rows = [[cluster.site_row(weight=weight, expected=expected)] for weight in (1, 2, 3)]
            orders = [day.actors.order(f"agency-{number + 1}", "change", rows[number]) for number in range(3)]
            results = await asyncio.gather(*orders, return_exceptions=True)
            confirmed = [result for result in results if isinstance(result, dict)]
            assert len(confirmed) == 1, results
            assert all(isinstance(result, dict | errors.StaleVersionError) for result in results)
            weight = results.index(confirmed[0]) + 1
            await asyncio.sleep(1)
            for name in ("agency-4", "edge-1", "shield-3", "store-1"):
                configuration = cluster.context(day, name).configuration
                assert configuration.value("site/north") == {"weight": weight}, round_number
                assert str(configuration.version("site/north")) == confirmed[0]["serial"]

    cluster.run_scenario(scenario)


def test_change_id_sent_again_to_another_node_returns_the_first_result():
    async def scenario(day):
        first = await day.actors.order("agency-1", "change", [cluster.site_row(weight=5)], "mine")
        await day.actors.order("agency-2", "change", [cluster.site_row(weight=6)], "other")
        repeated_result = await day.actors.order("agency-3", "change", [cluster.site_row(weight=5)], "mine")
        assert repeated_result == first
        assert cluster.context(day, "agency-3").configuration.value("site/north") == {"weight": 6}

    cluster.run_scenario(scenario)


def test_invalid_change_is_refused_as_a_whole_with_every_fault():
    async def scenario(day):
        version_before = cluster.context(day, "agency-1").configuration.applied
        invalid_rows = [
            cluster.site_row(),
            cluster.site_row("south", weight=-1),
            {"kind": "path", "name": "/x/", "value": {"grants": [{"service": "nobody", "methods": ["GET"]}]}},
        ]
        with pytest.raises(errors.InvalidChangeError) as raised:
            await day.actors.order("agency-1", "change", invalid_rows)
        assert [(fault["row"], fault["field"]) for fault in raised.value.faults] == [(1, "weight")]
        with pytest.raises(errors.InvalidChangeError) as raised:
            await day.actors.order("agency-4", "change", [invalid_rows[0], invalid_rows[2]])
        assert "nobody" in raised.value.faults[0]["message"]
        # A service that a path still grants cannot be removed.
        with pytest.raises(errors.InvalidChangeError):
            await day.actors.order(
                "agency-1", "change", [{"kind": "service", "name": "content", "value": None}]
            )
        assert cluster.context(day, "agency-1").configuration.applied == version_before

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_change_id_sent_again_after_its_proposer_was_killed_returns_the_one_result(seed):
    """A proposer is killed around the moment of confirmation; the change must keep its one result."""

    async def scenario(day):
        randomness = random.Random(seed)
        for number in range(6):
            proposer = f"agency-{randomness.randrange(5) + 1}"
            other = next(f"agency-{n}" for n in range(1, 6) if f"agency-{n}" != proposer)
            rows = [cluster.site_row(weight=number + 1)]
            task = asyncio.create_task(day.actors.order(proposer, "change", rows, f"c{number}"))
            await asyncio.sleep(randomness.uniform(0, 0.05))
            day.cluster.nodes[proposer].kill(reset=randomness.random() < 0.5)
            first_result = task.result() if task.done() and not task.exception() else None
            repeated_result = await day.actors.order(other, "change", rows, f"c{number}")
            assert first_result is None or first_result["serial"] == repeated_result["serial"]
            task.cancel()
            await day.cluster.nodes[proposer].start()
            await day.cluster.wait_until_ready()
            assert cluster.context(day, proposer).configuration.value("site/north") == {"weight": number + 1}

    cluster.run_scenario(scenario, seed)


def test_minority_partition_accepts_no_change_and_stops_serving():
    async def scenario(day):
        day.cluster.partition_off(["agency-1", "agency-2", "edge-1"])
        with pytest.raises(errors.NoQuorumError):
            await day.actors.order("agency-1", "change", [cluster.site_row(weight=9)])
        assert not day.cluster.is_ready(day.cluster.nodes["agency-1"])
        assert (await day.actors.send_request("edge-1", "GET", "/vacancies/1"))[1] == "stale-blueprint"
        assert (await day.actors.send_request("edge-2", "GET", "/vacancies/1"))[0] == 200
        day.cluster.network.heal()
        await day.cluster.wait_until_ready()
        # A refused change must never take effect, not even after the partition has healed.
        assert cluster.context(day, "agency-3").configuration.value("site/north") is None

    cluster.run_scenario(scenario)


def test_batch_numbered_below_its_base_is_rejected():
    """Found by seed 4 of the simulator: such a batch made all nodes take newer table data for older data."""

    async def scenario():
        disk = memory_disk.MemoryDisk(random.Random(1))
        store = durable_store.DurableStore(disk, random.Random(1))
        await store.open()
        ledger = replica.Replica(items.LEDGER)
        ledger_acceptor = acceptor.Acceptor(store, ledger, None)
        task = asyncio.create_task(ledger_acceptor.run())
        voter = quorum.Voter("a", store.disk_id, "s", "h", 1, "m")
        base = versions.Version(22, "b")
        first = items.Batch(base, versions.NONE, (items.Row(items.VOTERS_KEY, [tuple(voter)], False),))
        await ledger_acceptor.submit(acceptor.InstallFirstBatch(first))
        ballot, lower_ballot = versions.Version(30, "c"), versions.Version(29, "c")
        rows = (items.Row("row", 1, False),)
        invalid_batch = items.Batch(versions.Version(21, "c"), base, rows)
        base_mismatch = messages.Rejected(messages.VoteStatus.BASE_MISMATCH, base)
        assert await ledger_acceptor.submit(acceptor.Accept(ballot, invalid_batch, "c")) == base_mismatch
        valid_batch = items.Batch(versions.Version(23, "c"), base, rows)
        assert await ledger_acceptor.submit(acceptor.Accept(ballot, valid_batch, "c")) == messages.Accepted()
        # After a ballot was promised, a lower ballot is rejected, and so is a second promise of the same one.
        ballot_too_low = messages.Rejected(messages.VoteStatus.HIGHER_BALLOT_PROMISED, ballot)
        assert await ledger_acceptor.submit(acceptor.Accept(lower_ballot, valid_batch, "c")) == ballot_too_low
        assert await ledger_acceptor.submit(acceptor.Prepare(ballot)) == ballot_too_low
        task.cancel()

    virtual_time.run(scenario())
