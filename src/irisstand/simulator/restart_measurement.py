"""What a voter's restart and a wiped voter cost after many changes: files, bytes, syncs and processor time.

Run as `python -m irisstand.simulator.restart_measurement`; it prints one line for each number of changes.
"""

import asyncio
import pathlib
import random
import time
import typing

from irisstand.simulator import simulated_folder
from irisstand.state import items, replica
from irisstand.state.storage import disk, durable_store

CHANGES = (300, 3000, 30000)
KEYS = 2000
REMOVALS = 0.2


class RestartFigures(typing.NamedTuple):
    """What one measurement found: of the disk, of a restart from it, and of a wiped voter."""

    changes: int
    items: int
    files: int
    folder_bytes: int
    load_seconds: float
    wiped_syncs: int
    wiped_bytes: int
    wiped_seconds: float


def change(live: replica.Replica, randomness: random.Random) -> None:
    """Apply one batch of one row; some remove what is there."""
    key = f"path/{randomness.randrange(KEYS)}"
    is_removal = key in live.items and randomness.random() < REMOVALS
    value = None if is_removal else {"grants": [{"service": "content"}], "life": randomness.random()}
    row = items.Row(key, value, is_removal)
    live.apply(items.Batch(live.applied.successor("core-1~ab"), live.applied, (row,)))


async def opened(folder: simulated_folder.SimulatedFolder) -> durable_store.DurableStore:
    """Return a store that was opened on a directory."""
    folder_disk = disk.FolderDisk(pathlib.Path("simulated"), folder)
    store = durable_store.DurableStore(folder_disk, random.Random(1))
    await store.open()
    return store


async def measure(changes: int) -> RestartFigures:
    """Save so many changes, restart from the disk, and save the table on an empty one."""
    table = items.CONFIGURATION
    randomness = random.Random(changes)
    folder = simulated_folder.SimulatedFolder(random.Random(2))
    live = replica.Replica(table)
    store = await opened(folder)
    for _ in range(changes):
        change(live, randomness)
        await store.save_replica(table, live, store.records[table])
    files = len(folder.entries)
    folder_bytes = sum(folder.size(name) for name in folder.entries)
    started = time.process_time()
    again = await opened(folder)
    loading = time.process_time() - started
    assert again.intact[table]
    assert again.replicas[table].root_digest() == live.root_digest()
    empty = simulated_folder.SimulatedFolder(random.Random(3))
    wiped = await opened(empty)
    syncs = empty.syncs
    written = empty.written
    started = time.process_time()
    await wiped.save_replica(table, live, wiped.records[table])
    saving = time.process_time() - started
    return RestartFigures(
        changes=changes,
        items=len(live.items),
        files=files,
        folder_bytes=folder_bytes,
        load_seconds=loading,
        wiped_syncs=empty.syncs - syncs,
        wiped_bytes=empty.written - written,
        wiped_seconds=saving,
    )


def main() -> None:
    """Print one line for each number of changes."""
    for changes in CHANGES:
        print(asyncio.run(measure(changes)))


if __name__ == "__main__":
    main()
