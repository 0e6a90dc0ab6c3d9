"""Disks of a bootstrapped core, made once by the real acceptors: every run begins from these."""

import asyncio
import functools
import random
import typing

from irisstand.controlplane.consensus import acceptor, bootstrap
from irisstand.modelcheck import model_node
from irisstand.simulator import memory_disk, virtual_time
from irisstand.state import items, quorum, replica, versions
from irisstand.state.storage import durable_store

VOTERS = ("a", "b", "c")
SPARE = "d"
NAMES = (*VOTERS, SPARE)


class Image(typing.NamedTuple):
    """Sealed files by node and file name, and the batch that installed the first voters."""

    files: dict[str, dict[str, bytes]]
    batch: items.Batch


class NewVoter(typing.NamedTuple):
    """A node's empty disk and the store that was opened on it."""

    disk: memory_disk.MemoryDisk
    store: durable_store.DurableStore


@functools.cache
def image(sites: tuple[str, ...]) -> Image:
    """Return the disks of three voters and a spare that holds the table; `sites` is one for each."""
    made: Image = virtual_time.run(make_image(sites))
    return made


async def make_image(sites: tuple[str, ...]) -> Image:
    """Bootstrap the cluster on empty disks."""
    nodes = {name: await open_store(name) for name in NAMES}
    voters = [
        quorum.Voter(name, nodes[name].store.disk_id, site, name, model_node.PORT, name)
        for name, site in zip(NAMES, sites, strict=True)
        if name in VOTERS
    ]
    rows = (items.Row(items.VOTERS_KEY, [list(voter) for voter in voters], is_removal=False),)
    batch = items.Batch(bootstrap.FIRST_VERSION, versions.NONE, rows)
    for node in nodes.values():
        owner = acceptor.Acceptor(node.store, replica.Replica(model_node.TABLE), refuse_catch_up)
        task = asyncio.get_running_loop().create_task(owner.run())
        await owner.submit(acceptor.InstallFirstBatch(batch))
        task.cancel()
    return Image({name: dict(node.disk.files) for name, node in nodes.items()}, batch)


async def open_store(name: str) -> NewVoter:
    """Open a store on an empty disk; the node's name is the seed."""
    disk = memory_disk.MemoryDisk(random.Random(name))
    store = durable_store.DurableStore(disk, random.Random(name))
    await store.open()
    return NewVoter(disk, store)


async def refuse_catch_up(table: str, sender: str) -> None:
    """Stand in for catching up, which a bootstrap never needs."""
    raise RuntimeError(f"a bootstrap does not catch up {table} from {sender}")
