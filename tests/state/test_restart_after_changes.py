"""Voters that restart, with their disk or an empty one, after hundreds of changes or more."""

import asyncio
import random
import time
import types

import cluster
import ormsgpack
import pytest
import simulated_stores

import irisstand.counters
from irisstand.state import items, replica, versions
from irisstand.state.replication import replicator
from irisstand.state.storage import file_names

# How long one sync of a simulated disk takes.
SYNC_SECONDS = 0.005
# How long a restarted voter may take to catch up.
CATCH_UP_SECONDS = 4.0
# The share of one processor that a control plane node has on the small sites.
PROCESSOR_SHARE = 0.645


def apply_random_changes(live, changes, randomness, keys=1500, removals=0.2):
    for _ in range(changes):
        key = f"path/{randomness.randrange(keys)}"
        row = (key, {"grants": [{"service": "content"}], "life": randomness.random()}, False)
        if key in live.items and randomness.random() < removals:
            row = (key, None, True)
        live.apply(items.Batch(live.applied.successor("core-1~ab"), live.applied, (row,)))


@pytest.mark.parametrize("changes", [300, 3000])
def test_empty_disk_stores_a_whole_table_within_a_tenth_of_the_catch_up_time(changes):
    async def scenario():
        folder = simulated_stores.new_folder()
        store = await simulated_stores.open_store(folder)
        live = replica.Replica(items.CONFIGURATION)
        apply_random_changes(live, changes, random.Random(1))
        started, syncs = time.process_time(), folder.syncs
        await store.save_replica(items.CONFIGURATION, live, store.records[items.CONFIGURATION])
        took_seconds = (time.process_time() - started) / PROCESSOR_SHARE + (
            folder.syncs - syncs
        ) * SYNC_SECONDS
        assert took_seconds < CATCH_UP_SECONDS / 10, took_seconds
        assert store.intact[items.CONFIGURATION]

    asyncio.run(scenario())


def test_restart_after_3000_changes_reads_few_files_and_finds_them_intact():
    async def scenario():
        folder, live = simulated_stores.new_folder(), replica.Replica(items.LEDGER)
        store = await simulated_stores.open_store(folder)
        randomness = random.Random(2)
        for _ in range(3000):
            apply_random_changes(live, 1, randomness, keys=400)
            await store.save_replica(items.LEDGER, live, store.records[items.LEDGER])
        assert len([name for name in folder.entries if not name.endswith(".spare")]) < 256
        folder.lose_power()
        started = time.process_time()
        reopened = await simulated_stores.open_store(folder)
        assert (time.process_time() - started) / PROCESSOR_SHARE < CATCH_UP_SECONDS / 10
        assert reopened.disk_id == store.disk_id
        assert reopened.intact[items.LEDGER]
        assert reopened.replicas[items.LEDGER].root_digest() == live.root_digest()

    asyncio.run(scenario())


def test_more_removals_than_are_remembered_leave_the_disk_with_its_vote():
    """Removals beyond those remembered once left a record that did not match the disk, so it had no vote."""

    async def scenario():
        folder, live = simulated_stores.new_folder(), replica.Replica(items.LEDGER)
        store = await simulated_stores.open_store(folder)
        fill = tuple((f"key/{number}", number, False) for number in range(2500))
        live.apply(items.Batch(versions.Version(1, "n"), versions.NONE, fill))
        await store.save_replica(items.LEDGER, live, store.records[items.LEDGER])
        removals = tuple((f"key/{number}", None, True) for number in range(2400))
        live.apply(items.Batch(versions.Version(2, "n"), live.applied, removals))
        assert len(live.removal_records) == replica.REMOVAL_RECORDS_LIMIT
        await store.save_replica(items.LEDGER, live, store.records[items.LEDGER])
        assert store.intact[items.LEDGER]
        reopened = await simulated_stores.open_store(folder)
        assert reopened.intact[items.LEDGER]
        assert len(reopened.replicas[items.LEDGER].items) == 100

    asyncio.run(scenario())


def test_repair_overtaken_by_commits_goes_on_until_it_has_caught_up():
    async def scenario():
        peer, local = replica.Replica(items.LEDGER), replica.Replica(items.LEDGER)
        apply_random_changes(peer, 50, random.Random(1))
        apply_random_changes(local, 50, random.Random(1))
        local.remove(next(iter(local.items)))

        async def call(address, name, kind, body, timeout_seconds):
            reply = await answering.on_ranges_request("", list(body))
            # A commit arrives on both replicas before the reply, three times in a row.
            if peer.applied.counter < 53:
                key = f"late/{peer.applied.counter}"
                batch = items.Batch(peer.applied.successor("n"), peer.applied, ((key, 1, False),))
                peer.apply(batch)
                local.apply(batch)
            return reply

        def context(table):
            transport = types.SimpleNamespace(handlers={}, call=call)
            clock = types.SimpleNamespace(now=lambda: 1.0)
            counted = irisstand.counters.Counters()
            return types.SimpleNamespace(
                transport=transport, clock=clock, counters=counted, replicas={items.LEDGER: table}
            )

        answering = replicator.Replicator(context(peer))
        asking = replicator.Replicator(context(local))
        await asking.repair(("h", 1), "peer", local, in_chunks=False)
        assert local.root_digest() == peer.root_digest()
        assert local.applied == peer.applied

    asyncio.run(scenario())


@pytest.mark.parametrize("is_wiped", [False, True])
def test_restarted_voter_catches_up_in_time_while_15_changes_per_second_go_on(is_wiped):
    async def scenario(day):
        for node in day.cluster.with_role("agency"):
            node.disk.max_operation_seconds = SYNC_SECONDS
        confirmed = []

        async def change(number):
            name = f"agency-{number % 3 + 1}"
            result = await day.actors.order(name, "change", [cluster.site_row(weight=number % 90 + 1)])
            confirmed.append(versions.Version.parse(result["serial"]))

        async def keep_changing():
            for number in range(450):
                asyncio.get_running_loop().create_task(change(number))
                await asyncio.sleep(1 / 15)

        changing = asyncio.get_running_loop().create_task(keep_changing())
        await asyncio.sleep(20)
        node = day.cluster.nodes["agency-5"]
        node.kill()
        if is_wiped:
            node.wipe()
        await asyncio.sleep(2)
        highest = max(confirmed)
        await node.start()

        def serves():
            return all(
                node.program.participant.is_voter(table) for table in items.TABLES
            ) and day.cluster.is_ready(node)

        def serves_nothing_outdated():
            # A table that the node calls current holds all that was confirmed before the node started.
            configuration = node.program.context.configuration
            assert not node.program.context.is_current(configuration) or configuration.applied >= highest
            return serves()

        took_seconds = await day.cluster.wait_until(serves_nothing_outdated, CATCH_UP_SECONDS)
        assert took_seconds < CATCH_UP_SECONDS
        await changing
        assert len(confirmed) > 400

    cluster.run_scenario(scenario)


def test_data_folder_whose_records_know_no_segments_starts_and_is_upgraded():
    """The previous version wrote records of six fields, and each item to a file of its own."""

    async def scenario():
        folder, live = simulated_stores.new_folder(), replica.Replica(items.LEDGER)
        disk = simulated_stores.disk_on(folder)
        await disk.load()
        apply_random_changes(live, 60, random.Random(4), removals=0)
        files = [
            (
                file_names.item_file(items.LEDGER, item),
                ormsgpack.packb(item.to_wire()),
            )
            for item in live.items.values()
        ]
        number = tuple(live.applied)
        record = ((number[0] + 5, "n"), number, live.root_digest(), (0, ""), None, ("ledger.item.gone",))
        await disk.write(
            [*files, ("vault", b"its-id"), ("ledger.voter.000000000007", ormsgpack.packb(record))]
        )
        store = await simulated_stores.open_store(folder)
        assert store.disk_id == "its-id"
        assert store.intact[items.LEDGER]
        assert store.replicas[items.LEDGER].root_digest() == live.root_digest()
        assert store.records[items.LEDGER].promised == versions.Version(number[0] + 5, "n")
        apply_random_changes(live, 300, random.Random(5))
        await store.save_replica(items.LEDGER, live, store.records[items.LEDGER])
        reopened = await simulated_stores.open_store(folder)
        assert reopened.disk_id == "its-id"
        assert reopened.intact[items.LEDGER]
        assert reopened.replicas[items.LEDGER].root_digest() == live.root_digest()

    asyncio.run(scenario())


@pytest.mark.parametrize("is_cut_short", [True, False])
def test_truncated_or_altered_segment_is_not_voted_from_and_is_rewritten(is_cut_short):
    async def scenario():
        folder, live = simulated_stores.new_folder(), replica.Replica(items.LEDGER)
        store = await simulated_stores.open_store(folder)
        apply_random_changes(live, 300, random.Random(6))
        await store.save_replica(items.LEDGER, live, store.records[items.LEDGER])
        (segment,) = store.records[items.LEDGER].segments
        content = folder.contents[folder.entries[segment]]
        altered = content[:-1] + bytes([content[-1] ^ 0xFF])
        folder.contents[folder.entries[segment]] = content[: len(content) // 2] if is_cut_short else altered
        reopened = await simulated_stores.open_store(folder)
        # The record is intact, so its promises are valid; its items are not, so the table has no vote yet.
        assert reopened.disk_id == store.disk_id
        assert not reopened.intact[items.LEDGER]
        assert not reopened.replicas[items.LEDGER].items
        await reopened.save_replica(items.LEDGER, live, reopened.records[items.LEDGER])
        assert reopened.intact[items.LEDGER]
        last = await simulated_stores.open_store(folder)
        assert last.intact[items.LEDGER]
        assert last.replicas[items.LEDGER].root_digest() == live.root_digest()

    asyncio.run(scenario())


def test_power_loss_after_a_corrupt_record_was_quarantined_restores_no_older_promise():
    async def scenario():
        folder, live = simulated_stores.new_folder(), replica.Replica(items.LEDGER)
        store = await simulated_stores.open_store(folder)
        apply_random_changes(live, 5, random.Random(6))
        await store.save_replica(items.LEDGER, live, store.records[items.LEDGER])
        record = store.records[items.LEDGER]
        await store.save_record(items.LEDGER, record._replace(promised=versions.Version(99, "n")))
        newest = max(name for name in folder.entries if ".voter." in name)
        folder.contents[folder.entries[newest]] = b"torn"
        # A start quarantines the record and syncs its new name, but loses power before a new id is written.
        folder.rename(newest, newest + ".torn")
        folder.sync()
        reopened = await simulated_stores.open_store(folder, random.Random(6))
        assert reopened.disk_id != store.disk_id

    asyncio.run(scenario())
