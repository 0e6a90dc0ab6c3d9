"""Durable stores on simulated folders, whose power a test can switch off."""

import pathlib
import random

from irisstand.simulator import simulated_folder
from irisstand.state.storage import disk, durable_store


def new_folder(seed=3):
    """Return an empty folder. The seed decides which unsynced names a power loss keeps."""
    return simulated_folder.SimulatedFolder(random.Random(seed))


def disk_on(folder):
    return disk.FolderDisk(pathlib.Path("simulated"), folder)


async def open_store(folder, randomness=None):
    """Open the store on a folder, as a starting process does."""
    store = durable_store.DurableStore(disk_on(folder), randomness or random.Random(5))
    await store.open()
    return store
