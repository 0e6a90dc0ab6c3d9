"""Disk images of a bootstrapped control plane, which every run of the model checker starts from.

The real acceptors write them, once per process and list of sites.
"""

import asyncio
import functools
import random
import typing

from irisstand.controlplane.consensus import acceptor, bootstrap
from irisstand.modelcheck import model_node
from irisstand.simulator import memory_disk, virtual_time
from irisstand.state import items, quorum, replica, versions
from irisstand.state.storage import durable_store

VOTER_NAMES = ("a", "b", "c")
SPARE_NODE = "d"
NODE_NAMES = (*VOTER_NAMES, SPARE_NODE)


class BootstrapImage(typing.NamedTuple):
    """Disk images of all nodes after the bootstrap.

    Attributes:
        files: The files of each disk with their checksums, by node name and file name.
        batch: The batch that installed the first voters.
    """

    files: dict[str, dict[str, bytes]]
    batch: items.Batch


class NodeStorage(typing.NamedTuple):
    """A node's disk in memory, which is empty at first, and the durable store that was opened on it."""

    disk: memory_disk.MemoryDisk
    store: durable_store.DurableStore


@functools.cache
def cached_image(sites: tuple[str, ...]) -> BootstrapImage:
    """Return the disk images of three voters and a spare node, whose replicas hold the bootstrap batch.

    Args:
        sites: The site of each node, in the order of `NODE_NAMES`.
    """
    bootstrapped: BootstrapImage = virtual_time.run(make_image(sites))
    return bootstrapped


async def make_image(sites: tuple[str, ...]) -> BootstrapImage:
    """Install the first batch on the empty disk of each node, and return the resulting disk images."""
    nodes = {name: await open_store(name) for name in NODE_NAMES}
    voters = [
        quorum.Voter(name, nodes[name].store.disk_id, site, name, model_node.PORT, name)
        for name, site in zip(NODE_NAMES, sites, strict=True)
        if name in VOTER_NAMES
    ]
    rows = (items.Row(items.VOTERS_KEY, [list(voter) for voter in voters], is_removal=False),)
    batch = items.Batch(bootstrap.FIRST_VERSION, versions.NONE, rows)
    for node in nodes.values():
        table_acceptor = acceptor.Acceptor(node.store, replica.Replica(model_node.TABLE), refuse_catch_up)
        task = asyncio.get_running_loop().create_task(table_acceptor.run())
        await table_acceptor.submit(acceptor.InstallFirstBatch(batch))
        task.cancel()
    return BootstrapImage({name: dict(node.disk.files) for name, node in nodes.items()}, batch)


async def open_store(name: str) -> NodeStorage:
    """Open a durable store on an empty disk, with the node's name as the seed of all randomness."""
    disk = memory_disk.MemoryDisk(random.Random(name))
    store = durable_store.DurableStore(disk, random.Random(name))
    await store.open()
    return NodeStorage(disk, store)


async def refuse_catch_up(table: str, sender: str) -> None:
    """Fail in place of the catch-up callback of an acceptor, which a bootstrap never calls.

    Raises:
        RuntimeError: Always.
    """
    raise RuntimeError(f"unexpected catch-up of table {table} from {sender} during a bootstrap")
