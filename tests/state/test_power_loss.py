"""A power loss keeps or loses each unsynced file name by itself; what was acknowledged must survive it."""

import asyncio
import random

import ormsgpack
import pytest
import simulated_stores

from irisstand import errors
from irisstand.simulator import simulated_folder
from irisstand.state import items, replica, versions
from irisstand.state.storage import file_names

STEPS_PER_RUN = 120
RUNS_PER_VOTER = 4


class Voter:
    """The disk of one voter, and the records that it has acknowledged, which no power loss may take back."""

    def __init__(self, seed):
        self.randomness = random.Random(seed)
        self.folder = simulated_folder.SimulatedFolder(random.Random(seed + 1))
        self.replicas = {table: replica.Replica(table) for table in items.TABLES}
        self.acknowledged = {}
        self.sent = {}
        self.store = None
        self.original_disk_id = ""

    async def start(self):
        self.store = await simulated_stores.open_store(self.folder, self.randomness)

    async def step(self):
        table = self.randomness.choice(items.TABLES)
        record = self.store.records[table]
        draw = self.randomness.random()
        if draw < 0.4 and record.applied != versions.NONE:
            changed = record._replace(promised=record.promised.successor("n"))
            self.sent[table] = changed
            await self.store.save_record(table, changed)
        else:
            self.decide(table, 200 if draw > 0.97 else self.randomness.randrange(1, 6))
            self.sent[table] = record._replace(applied=self.replicas[table].applied)
            await self.store.save_replica(table, self.replicas[table], record)
        self.acknowledged[table] = self.store.records[table]

    def decide(self, table, count):
        local = self.replicas[table]
        rows = []
        for key in {f"key/{self.randomness.randrange(40)}" for _ in range(count)}:
            rows.append(
                (key, self.randomness.random(), key in local.items and self.randomness.random() < 0.4)
            )
        local.apply(items.Batch(local.applied.successor("n"), local.applied, tuple(rows)))

    def check(self):
        assert self.store.disk_id == self.original_disk_id, "the disk id has changed, so the vote is lost"
        for table, record in self.acknowledged.items():
            stored = self.store.records[table]
            assert (stored.promised, stored.applied) >= (record.promised, record.applied)
            assert stored.promised >= record.promised
            assert stored.applied >= record.applied
            assert self.store.intact[table], f"the items of {table} do not match its record"
            # The record on the disk is the last acknowledged one, or the next one that was sent to the disk.
            assert (stored.promised, stored.applied) in (
                (record.promised, record.applied),
                (self.sent[table].promised, self.sent[table].applied),
            )


async def run_with_power_losses(seed, full=False):
    voter = Voter(seed)
    await voter.start()
    voter.original_disk_id = voter.store.disk_id
    for _ in range(RUNS_PER_VOTER):
        if full:
            start = voter.folder.operations + voter.randomness.randrange(100)
            voter.folder.full_operations = range(start, start + voter.randomness.randrange(1, 20))
        voter.folder.power_loss_operation = voter.folder.operations + voter.randomness.randrange(1, 600)
        try:
            for _ in range(STEPS_PER_RUN):
                try:
                    await voter.step()
                except errors.DiskFullError:
                    assert full
        except simulated_folder.PowerLossError:
            pass
        voter.folder.full_operations = range(0)
        voter.folder.lose_power()
        try:
            # The power may fail again while the store is opened.
            if voter.randomness.random() < 0.3:
                voter.folder.power_loss_operation = voter.folder.operations + voter.randomness.randrange(
                    1, 40
                )
                await voter.start()
        except simulated_folder.PowerLossError:
            voter.folder.lose_power()
        voter.folder.power_loss_operation = None
        await voter.start()
        voter.check()
        for table in items.TABLES:
            voter.acknowledged[table] = voter.sent[table] = voter.store.records[table]


@pytest.mark.parametrize("block", range(6))
def test_power_loss_at_any_file_operation_keeps_all_that_was_acknowledged(block):
    for seed in range(block * 20, block * 20 + 20):
        asyncio.run(run_with_power_losses(seed))


@pytest.mark.parametrize("block", range(3))
def test_disk_that_fills_at_any_write_stays_consistent(block):
    for seed in range(1000 + block * 20, 1000 + block * 20 + 20):
        asyncio.run(run_with_power_losses(seed, full=True))


def test_item_file_under_the_name_of_another_item_is_ignored():
    """In the previous version, a power loss could restore an overwritten file under its earlier name."""

    async def scenario():
        voter = Voter(7)
        await voter.start()
        table, local = items.LEDGER, voter.replicas[items.LEDGER]
        for number, row in enumerate([("a", 1, False), ("b", 2, False), ("a", None, True)], 1):
            local.apply(items.Batch(versions.Version(number, "n"), local.applied, (row,)))
            await voter.store.save_replica(table, local, voter.store.records[table])
        removed = items.Item("a", versions.Version(1, "n"), 1)
        content = ormsgpack.packb(removed.to_wire())
        other = items.Item("c", versions.Version(1, "n"), 1)
        await voter.store.disk.write([(file_names.item_file(table, other), content)])
        await voter.start()
        assert voter.store.intact[table]
        assert set(voter.store.replicas[table].items) == {"b"}

    asyncio.run(scenario())
