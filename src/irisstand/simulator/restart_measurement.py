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
from irisstand.state.storage import disk as disks
from irisstand.state.storage import durable_store

CHANGES = (300, 3000, 30000)
KEYS = 2000
REMOVALS = 0.2


class RestartFigures(typing.NamedTuple):
    changes: int
    items: int
    files: int
    folder_bytes: int
    load_seconds: float
    wiped_syncs: int
    wiped_bytes: int
    wiped_seconds: float


def change(live: replica.Replica, randomness: random.Random) -> None:
    """One batch of one row; some remove what is there."""
    key = f"path/{randomness.randrange(KEYS)}"
    is_removal = key in live.items and randomness.random() < REMOVALS
    value = None if is_removal else {"grants": [{"service": "content"}], "life": randomness.random()}
    row = items.Row(key, value, is_removal)
    live.apply(items.Batch(live.applied.successor("core-1~ab"), live.applied, (row,)))


async def opened(folder: simulated_folder.SimulatedFolder) -> durable_store.DurableStore:
    disk = disks.FolderDisk(pathlib.Path("simulated"), folder)
    store = durable_store.DurableStore(disk, random.Random(1))
    await store.open()
    return store


async def measure(changes: int) -> RestartFigures:
    table, randomness = items.CONFIGURATION, random.Random(changes)
    folder, live = simulated_folder.SimulatedFolder(random.Random(2)), replica.Replica(items.CONFIGURATION)
    store = await opened(folder)
    for _ in range(changes):
        change(live, randomness)
        await store.save_replica(table, live, store.records[table])
    files, held = len(folder.entries), sum(folder.size(name) for name in folder.entries)
    started = time.process_time()
    again = await opened(folder)
    loading = time.process_time() - started
    assert again.intact[table] and again.replicas[table].root_digest() == live.root_digest()
    empty = simulated_folder.SimulatedFolder(random.Random(3))
    wiped = await opened(empty)
    started, syncs, written = time.process_time(), empty.syncs, empty.written
    await wiped.save_replica(table, live, wiped.records[table])
    took = time.process_time() - started
    return RestartFigures(
        changes, len(live.items), files, held, loading, empty.syncs - syncs, empty.written - written, took
    )


def main() -> None:
    for changes in CHANGES:
        print(asyncio.run(measure(changes)))


if __name__ == "__main__":
    main()
