"""Durable store of a voter: the disk id, and for each table a record and files that hold its items."""

import collections.abc
import random

from irisstand import event_log
from irisstand.state import digests, items, replica, versions
from irisstand.state.storage import disk, file_names, item_files, records

# Obsolete files are kept until there are more than this many, and are then all removed at once.
OBSOLETE_FILES_LIMIT = 32
DISK_ID_BITS = 48


class DurableStore:
    """The files of one voter, and what they hold.

    Attributes:
        disk_id: Identifies the disk. A disk that was wiped, or that has lost promises, gets a new id.
        record_numbers: The number of the newest record of each table, by table.
        records: The newest record of each table, by table.
        replicas: The replica that the disk holds of each table, by table.
        layouts: Which files hold the items of each table, by table.
        intact: Whether the items on the disk have the root digest that the record names, by table.
        obsolete_files: The names of files that are no longer in use, by table.
        orphaned_files: The names of files whose record was never written, by table. They may be on the disk,
            but are not in use.
    """

    def __init__(self, voter_disk: disk.Disk, randomness: random.Random) -> None:
        self.disk = voter_disk
        self.randomness = randomness
        self.disk_id = ""
        self.record_numbers: dict[str, int] = {}
        self.records: dict[str, records.Record] = {}
        self.replicas: dict[str, replica.Replica] = {}
        self.layouts: dict[str, item_files.Layout] = {}
        self.intact: dict[str, bool] = {}
        self.obsolete_files: dict[str, list[str]] = {}
        self.orphaned_files: dict[str, set[str]] = {table: set() for table in items.TABLES}

    # -- opening -------------------------------------------------------------------------------------
    async def open(self) -> None:
        """Read the disk, and choose a new disk id if the disk has none or may have lost promises."""
        files, corrupt = await self.disk.load()
        if corrupt:
            event_log.record("torn-files", names=corrupt)
        # `quarantined` has files of an earlier start, which may have lost power before writing a new disk id.
        corrupt = [*corrupt, *self.disk.quarantined]
        has_lost_promises = file_names.DISK_ID_FILE in corrupt
        for table in items.TABLES:
            self.load_table(table, files)
            has_lost_promises = has_lost_promises or self.is_newest_record_corrupt(table, corrupt)
            self.skip_used_numbers(table, [*files, *corrupt])
        await self.choose_disk_id(files, has_lost_promises=has_lost_promises)
        for table in items.TABLES:
            self.records.setdefault(table, records.BLANK_RECORD)

    def load_table(self, table: str, files: dict[str, bytes]) -> None:
        """Read the newest record of a table and the items in the files that the record names.

        Args:
            table: The name of the table to read.
            files: The contents of all intact files by name.
        """
        saved = replica.Replica(table)
        layout = item_files.Layout()
        record = records.BLANK_RECORD
        number = 0
        record_files = sorted(name for name in files if name.startswith(file_names.record_prefix(table)))
        if record_files:
            record = self.records[table] = records.Record.decode(files[record_files[-1]])
            number = file_names.file_number(record_files[-1])
        saved.applied = record.applied
        layout.removed = dict(record.removed)
        item_files.load(saved, layout, files, record.segments, set(record.obsolete_items))
        self.record_numbers[table] = number
        self.replicas[table] = saved
        self.layouts[table] = layout
        # Every file except the newest record and the files that it names is left over from an earlier run.
        used_names = layout.names() | set(record_files[-1:])
        self.obsolete_files[table] = [
            name for name in files if name.startswith(f"{table}.") and name not in used_names
        ]
        root_digests = (saved.root_digest(), digests.legacy_root_digest(saved.items.values()))
        self.intact[table] = not record_files or record.root_digest in root_digests

    def is_newest_record_corrupt(self, table: str, corrupt: list[str]) -> bool:
        """Return whether a record of the table that is newer than the one that was read is corrupt.

        Using the older record would take back promises, so this disk must not vote. A corrupt record that is
        older is harmless: it is an overwritten file that a power loss has left under its earlier name.
        """
        names = [name for name in corrupt if name.startswith(file_names.record_prefix(table))]
        return any(file_names.file_number(name) > self.record_numbers[table] for name in names)

    def skip_used_numbers(self, table: str, names: list[str]) -> None:
        """Make later records and segments of a table get higher numbers than those of all existing files."""
        prefixes = (file_names.record_prefix(table), file_names.segment_prefix(table))
        used = [file_names.file_number(name) for name in names if name.startswith(prefixes)]
        self.record_numbers[table] = max([self.record_numbers[table], *used])

    async def choose_disk_id(self, files: dict[str, bytes], *, has_lost_promises: bool) -> None:
        """Use the disk id on the disk, or choose a new one and discard all records if it cannot be kept."""
        if file_names.DISK_ID_FILE in files and not has_lost_promises:
            self.disk_id = files[file_names.DISK_ID_FILE].decode()
            return
        self.disk_id = f"{self.randomness.getrandbits(DISK_ID_BITS):012x}"
        self.records.clear()
        await self.disk.write([(file_names.DISK_ID_FILE, self.disk_id.encode())])

    # -- saving --------------------------------------------------------------------------------------
    async def save_record(self, table: str, record: records.Record) -> None:
        """Write a record of a table; the record is durable when this returns.

        Raises:
            DiskFullError: The disk has no space left.
        """
        await self.write_record(table, record)
        await self.remove_obsolete_files(table)

    async def write_record(self, table: str, record: records.Record) -> None:
        """Write a record of a table under the next number, and mark the file of the last one as obsolete."""
        self.record_numbers[table] += 1
        number = self.record_numbers[table]
        await self.disk.write([(file_names.record_file(table, number), record.encode())])
        self.records[table] = record
        self.obsolete_files[table].append(file_names.record_file(table, number - 1))

    async def remove_obsolete_files(self, table: str) -> None:
        """Remove the obsolete files of a table if there are more than `OBSOLETE_FILES_LIMIT`."""
        if len(self.obsolete_files[table]) > OBSOLETE_FILES_LIMIT:
            names = self.obsolete_files[table]
            self.obsolete_files[table] = []
            await self.disk.remove(names)

    async def save_replica(self, table: str, live: replica.Replica, record: records.Record) -> None:
        """Write a table's changed items, then the record that names their files; then remove old files.

        Args:
            table: The name of the table.
            live: The replica to save in its present state; it may change while this waits for the disk.
            record: The record to write. Its fields about the items are filled in here.

        Raises:
            DiskFullError: The disk has no space left. The previous state on the disk remains valid.
        """
        unsaved = self.unsaved_items(table, live)
        applied = live.applied
        root_digest = live.root_digest()
        segment = file_names.segment_file(table, self.record_numbers[table] + 1)
        layout, files = item_files.plan(
            self.replicas[table], self.layouts[table], unsaved, segment, rewrite=not self.intact[table]
        )
        self.orphaned_files[table] |= {name for name, _ in files}
        if files:
            await self.disk.write(files)
        obsolete = self.unused_files(table, layout)
        # The record lists obsolete item files still on the disk, so that a restart restores no removed key.
        changed = record._replace(
            applied=applied,
            root_digest=root_digest,
            obsolete_items=tuple(name for name in obsolete if ".item." in name),
            segments=tuple(layout.segments),
            removed=tuple(layout.removed.items()),
        )
        # Until this record is written, the files that the previous record names remain valid.
        await self.write_record(table, changed)
        self.obsolete_files[table] = [*obsolete, *self.obsolete_files[table][-1:]]
        self.orphaned_files[table].clear()
        self.layouts[table] = layout
        update_saved(self.replicas[table], unsaved, applied)
        self.intact[table] = self.replicas[table].root_digest() == root_digest
        await self.remove_obsolete_files(table)

    def unsaved_items(self, table: str, live: replica.Replica) -> dict[str, items.Item | None]:
        """Return the items that differ from what the disk holds, by key; None stands for a removed key."""
        saved = self.replicas[table]
        changed, removed_keys = live.changes_since(saved.applied)
        keys = {item.key for item in changed} | set(removed_keys)
        # If the live replica no longer remembers a removal, the digests differ; then all items are compared.
        if not self.intact[table] or saved.digests_with(keys, live) != live.digests:
            keys = set(saved.items) | set(live.items)
        wanted = {key: live.items.get(key) for key in keys}
        return {key: item for key, item in wanted.items() if item != saved.items.get(key)}

    def unused_files(self, table: str, layout: item_files.Layout) -> list[str]:
        """Return the names of all files of a table that are not in use once a new layout is valid."""
        used_names = layout.names()
        item_names = sorted(self.layouts[table].names() | self.orphaned_files[table])
        names = dict.fromkeys((*item_names, *self.obsolete_files[table]))
        return [name for name in names if name not in used_names]


def update_saved(
    saved: replica.Replica,
    unsaved: collections.abc.Mapping[str, items.Item | None],
    applied: versions.Version,
) -> None:
    """Update the replica that mirrors the disk with the items that were written."""
    for key, item in unsaved.items():
        if item is None:
            saved.remove(key)
        else:
            saved.put(item)
    saved.applied = applied
