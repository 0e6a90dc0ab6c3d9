"""Durable stores on simulated folders, whose power a test can cut."""

import pathlib
import random

from irisstand.simulator import simulated_folder
from irisstand.state.storage import disk, durable_store


def new_folder(seed=3):
    """An empty folder that draws from this seed what a loss of power keeps."""
    return simulated_folder.SimulatedFolder(random.Random(seed))


def disk_on(folder):
    return disk.FolderDisk(pathlib.Path("simulated"), folder)


async def open_store(folder, randomness=None):
    """A store as a start of the process finds it on this folder."""
    store = durable_store.DurableStore(disk_on(folder), randomness or random.Random(5))
    await store.open()
    return store
