"""Which disks hold a version, read from their synced files as a restart would read them."""

import collections.abc
import random

from irisstand.modelcheck import history
from irisstand.simulator import memory_disk
from irisstand.state import items, quorum, versions
from irisstand.state.storage import disk, durable_store, records

SITES_NEEDED = 2


def disks_holding(
    disks: collections.abc.Mapping[str, dict[str, bytes]], table: str, version: versions.Version
) -> set[str]:
    """Return the ids of the disks that hold a version.

    Args:
        disks: Sealed files by disk id and name.
        table: The table's name.
        version: The version that is looked for.
    """
    return {disk_id for disk_id, files in disks.items() if is_held(files, table, version)}


def is_held(files: dict[str, bytes], table: str, version: versions.Version) -> bool:
    """Return whether a restart from these files would find the version applied or accepted."""
    # Reading draws nothing; the store asks for a source of randomness all the same.
    store = durable_store.DurableStore(memory_disk.MemoryDisk(random.Random(1)), random.Random(1))
    store.load_table(table, {name: disk.strip_checksum(content) for name, content in files.items()})
    record = store.records.get(table, records.BLANK_RECORD)
    is_accepted = record.pending is not None and record.pending.version == version
    return record.applied >= version or is_accepted


def durability_violation(state: history.ItemsByKey, holding: set[str]) -> str:
    """Return how the disks fall short of a durable majority of a state's voters, or an empty text.

    Args:
        state: The items of the table, the voters among them.
        holding: Ids of the disks that hold the version.
    """
    voters = quorum.voters_from_wire(state[items.VOTERS_KEY].value) if items.VOTERS_KEY in state else []
    holding_voters = [voter for voter in voters if voter.disk_id in holding]
    sites = {voter.site for voter in voters}
    if 2 * len(holding_voters) <= len(voters) and voters:
        return f"with {len(holding_voters)} of {len(voters)} disks holding it"
    if len(sites) >= SITES_NEEDED > len({voter.site for voter in holding_voters}):
        return "and lies in one site alone"
    return ""
