"""Measures the restart of a voter after many changes, and the first save of a voter whose disk was wiped.

The figures are files, bytes, syncs and processor time. Run as
`python -m irisstand.simulator.restart_measurement`; it prints one line for each number of changes.
"""

import asyncio
import pathlib
import random
import time
import typing

from irisstand.simulator import simulated_folder
from irisstand.state import items, replica
from irisstand.state.storage import disk, durable_store

CHANGE_COUNTS = (300, 3000, 30000)
KEYS = 2000
REMOVAL_LIKELIHOOD = 0.2


class RestartFigures(typing.NamedTuple):
    """Figures of one measurement: the disk, a restart from it (`load_*`), and a wiped voter (`wiped_*`)."""

    changes: int
    items: int
    files: int
    folder_bytes: int
    load_seconds: float
    wiped_syncs: int
    wiped_bytes: int
    wiped_seconds: float


def apply_random_change(live_replica: replica.Replica, randomness: random.Random) -> None:
    """Apply a batch that sets or removes one random row."""
    key = f"path/{randomness.randrange(KEYS)}"
    is_removal = key in live_replica.items and randomness.random() < REMOVAL_LIKELIHOOD
    value = None if is_removal else {"grants": [{"service": "content"}], "life": randomness.random()}
    row = items.Row(key, value, is_removal)
    live_replica.apply(items.Batch(live_replica.applied.successor("core-1~ab"), live_replica.applied, (row,)))


async def open_store(folder: simulated_folder.SimulatedFolder) -> durable_store.DurableStore:
    """Return a durable store that was opened on a simulated folder."""
    folder_disk = disk.FolderDisk(pathlib.Path("simulated"), folder)
    store = durable_store.DurableStore(folder_disk, random.Random(1))
    await store.open()
    return store


async def measure(changes: int) -> RestartFigures:
    """Save this number of changes, load them from the disk again, and save the table on an empty disk."""
    table = items.CONFIGURATION
    randomness = random.Random(changes)
    folder = simulated_folder.SimulatedFolder(random.Random(2))
    live_replica = replica.Replica(table)
    store = await open_store(folder)
    for _ in range(changes):
        apply_random_change(live_replica, randomness)
        await store.save_replica(table, live_replica, store.records[table])
    files = len(folder.entries)
    folder_bytes = sum(folder.size(name) for name in folder.entries)
    started = time.process_time()
    restarted = await open_store(folder)
    load_seconds = time.process_time() - started
    assert restarted.intact[table]
    assert restarted.replicas[table].root_digest() == live_replica.root_digest()
    empty_folder = simulated_folder.SimulatedFolder(random.Random(3))
    wiped_store = await open_store(empty_folder)
    syncs = empty_folder.syncs
    bytes_written = empty_folder.bytes_written
    started = time.process_time()
    await wiped_store.save_replica(table, live_replica, wiped_store.records[table])
    save_seconds = time.process_time() - started
    return RestartFigures(
        changes=changes,
        items=len(live_replica.items),
        files=files,
        folder_bytes=folder_bytes,
        load_seconds=load_seconds,
        wiped_syncs=empty_folder.syncs - syncs,
        wiped_bytes=empty_folder.bytes_written - bytes_written,
        wiped_seconds=save_seconds,
    )


def main() -> None:
    """Print the figures of each number of changes on one line."""
    for changes in CHANGE_COUNTS:
        print(asyncio.run(measure(changes)))


if __name__ == "__main__":
    main()
