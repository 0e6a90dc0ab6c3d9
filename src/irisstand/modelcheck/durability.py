"""Determines which disks hold a version, by loading their synced files as a restarted node does."""

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
    """Return the ids of the disks that hold a version as applied or accepted.

    Args:
        disks: The synced files with their checksums, by disk id and file name.
        table: The name of the table.
        version: The version to look for.
    """
    return {disk_id for disk_id, files in disks.items() if is_held(files, table, version)}


def is_held(files: dict[str, bytes], table: str, version: versions.Version) -> bool:
    """Return whether a node restarted from these files would have the version applied or accepted."""
    # The constructors require a source of randomness, although loading a table never uses it.
    store = durable_store.DurableStore(memory_disk.MemoryDisk(random.Random(1)), random.Random(1))
    store.load_table(table, {name: disk.strip_checksum(content) for name, content in files.items()})
    record = store.records.get(table, records.BLANK_RECORD)
    is_accepted = record.pending is not None and record.pending.version == version
    return record.applied >= version or is_accepted


def durability_violation(state: history.ItemsByKey, holding: set[str]) -> str:
    """Return why these disks are no durable majority of a state's voters, or "" if they are one.

    Args:
        state: The items of the table by key, which include the voter set.
        holding: The ids of the disks that hold the version.
    """
    voters = quorum.voters_from_wire(state[items.VOTERS_KEY].value) if items.VOTERS_KEY in state else []
    holding_voters = [voter for voter in voters if voter.disk_id in holding]
    sites = {voter.site for voter in voters}
    if 2 * len(holding_voters) <= len(voters) and voters:
        return f"while only {len(holding_voters)} of {len(voters)} voters had it on disk, no majority"
    if len(sites) >= SITES_NEEDED > len({voter.site for voter in holding_voters}):
        return "while all voters that had it on disk were in a single site"
    return ""
