"""Disks of a founded core, made once by the real owners: every run begins from these."""

import asyncio
import functools
import random
import typing

from irisstand.controlplane.consensus import acceptor, bootstrap
from irisstand.modelcheck import node as nodes
from irisstand.simulator import memory_disk
from irisstand.simulator import virtual_time as virtual
from irisstand.state import items, quorum, replica, versions
from irisstand.state.storage import durable_store

VOTERS = ("a", "b", "c")
SPARE = "d"
NAMES = (*VOTERS, SPARE)


class Image(typing.NamedTuple):
    files: dict[str, dict[str, bytes]]
    batch: items.Batch


@functools.cache
def image(sites: tuple[str, ...]) -> Image:
    """Three voters and a spare that holds the table, each with its disk."""
    return virtual.run(found(sites))


async def found(sites: tuple[str, ...]) -> Image:
    made, voters = {}, []
    for name, site in zip(NAMES, sites, strict=True):
        disk = memory_disk.MemoryDisk(random.Random(name))
        store = durable_store.DurableStore(disk, random.Random(name))
        await store.open()
        made[name] = (disk, store)
        if name in VOTERS:
            voters.append(quorum.Voter(name, store.identity, site, name, nodes.PORT, name))
    rows = ((items.VOTERS, [list(voter) for voter in voters], False),)
    batch = items.Batch(bootstrap.FIRST, versions.NONE, rows)
    for _, store in made.values():
        keeper = acceptor.Owner(store, replica.Replica(nodes.TABLE), None)
        task = asyncio.get_running_loop().create_task(keeper.run())
        await keeper.order("found", batch)
        task.cancel()
    return Image({name: dict(disk.files) for name, (disk, _) in made.items()}, batch)
