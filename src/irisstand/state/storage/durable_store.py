"""What a voter keeps on its disk: the disk id, and for each table a record and files with items."""

import collections.abc
import random

from irisstand import event_log
from irisstand.state import digests, items, replica, versions
from irisstand.state.storage import disk, file_names, item_files, records

# Obsolete files stay until there are more than this, and are then removed all at once.
OBSOLETE_FILES_LIMIT = 32
DISK_ID_BITS = 48


class DurableStore:
    """The files of one voter.

    Attributes:
        disk_id: Identifies the disk; a disk that was wiped, or has lost promises, gets a new id.
        record_numbers: The number of the newest record by table.
        records: The newest record by table.
        replicas: What the disk holds by table.
        layouts: Where the disk holds it by table.
        intact: Whether the items on the disk are those of the record, by table.
        obsolete_files: Names of files that do not count any more, by table.
        orphaned_files: Names of files written for a record that was not written, by table: they may be on
            the disk, and do not count.
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
        """Read the disk. Choose a new disk id if there is none, or if promises may have been lost."""
        files, corrupt = await self.disk.load()
        if corrupt:
            event_log.record("torn-files", names=corrupt)
        # The second were quarantined by a start that lost power before the disk had a new id to show for it.
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
        """Read the newest record of a table and the items that it names.

        Args:
            table: The name of the table.
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
        # Left over from the last run: all but the newest record and what it names.
        used_names = layout.names() | set(record_files[-1:])
        self.obsolete_files[table] = [
            name for name in files if name.startswith(f"{table}.") and name not in used_names
        ]
        root_digests = (saved.root_digest(), digests.legacy_root_digest(saved.items.values()))
        self.intact[table] = not record_files or record.root_digest in root_digests

    def is_newest_record_corrupt(self, table: str, corrupt: list[str]) -> bool:
        """Return whether a record newer than the one that was read is corrupt.

        The older record in its place would take promises back, so that disk must not vote. A corrupt older
        record is a file written anew that a loss of power has left under its earlier name.
        """
        names = [name for name in corrupt if name.startswith(file_names.record_prefix(table))]
        return any(file_names.file_number(name) > self.record_numbers[table] for name in names)

    def skip_used_numbers(self, table: str, names: list[str]) -> None:
        """Make the numbers of later records and segments higher than those of all files there are."""
        prefixes = (file_names.record_prefix(table), file_names.segment_prefix(table))
        used = [file_names.file_number(name) for name in names if name.startswith(prefixes)]
        self.record_numbers[table] = max([self.record_numbers[table], *used])

    async def choose_disk_id(self, files: dict[str, bytes], *, has_lost_promises: bool) -> None:
        """Take the disk id from the disk, or choose a new one and forget all records."""
        if file_names.DISK_ID_FILE in files and not has_lost_promises:
            self.disk_id = files[file_names.DISK_ID_FILE].decode()
            return
        self.disk_id = f"{self.randomness.getrandbits(DISK_ID_BITS):012x}"
        self.records.clear()
        await self.disk.write([(file_names.DISK_ID_FILE, self.disk_id.encode())])

    # -- saving --------------------------------------------------------------------------------------
    async def save_record(self, table: str, record: records.Record) -> None:
        """Write a record; it is durable when this returns.

        Raises:
            DiskFullError: There is no space left.
        """
        await self.write_record(table, record)
        await self.remove_obsolete_files(table)

    async def write_record(self, table: str, record: records.Record) -> None:
        """Write a record under the next number; the one before becomes obsolete."""
        self.record_numbers[table] += 1
        number = self.record_numbers[table]
        await self.disk.write([(file_names.record_file(table, number), record.encode())])
        self.records[table] = record
        self.obsolete_files[table].append(file_names.record_file(table, number - 1))

    async def remove_obsolete_files(self, table: str) -> None:
        """Remove obsolete files if there are many."""
        if len(self.obsolete_files[table]) > OBSOLETE_FILES_LIMIT:
            names = self.obsolete_files[table]
            self.obsolete_files[table] = []
            await self.disk.remove(names)

    async def save_replica(self, table: str, live: replica.Replica, record: records.Record) -> None:
        """Write what changed in a table, then the record that confirms it; only then remove old files.

        Args:
            table: The name of the table.
            live: The replica to save as it is now; it may change while the disk is waited for.
            record: The record to write, whose fields about the items are filled in here.

        Raises:
            DiskFullError: There is no space left; the disk counts as it was before.
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
        # Obsolete items are still on the disk, but a removed key must not come back with a restart.
        changed = record._replace(
            applied=applied,
            root_digest=root_digest,
            obsolete_items=tuple(name for name in obsolete if ".item." in name),
            segments=tuple(layout.segments),
            removed=tuple(layout.removed.items()),
        )
        # Until this record is written, the files before it are what counts.
        await self.write_record(table, changed)
        self.obsolete_files[table] = [*obsolete, *self.obsolete_files[table][-1:]]
        self.orphaned_files[table].clear()
        self.layouts[table] = layout
        update_saved(self.replicas[table], unsaved, applied)
        self.intact[table] = self.replicas[table].root_digest() == root_digest
        await self.remove_obsolete_files(table)

    def unsaved_items(self, table: str, live: replica.Replica) -> dict[str, items.Item | None]:
        """Return the items that the disk does not hold as they are, by key; None for removed keys."""
        saved = self.replicas[table]
        changed, removed_keys = live.changes_since(saved.applied)
        keys = {item.key for item in changed} | set(removed_keys)
        # A removal that the live replica no longer remembers shows in the digests: then all are compared.
        if not self.intact[table] or saved.digests_with(keys, live) != live.digests:
            keys = set(saved.items) | set(live.items)
        wanted = {key: live.items.get(key) for key in keys}
        return {key: item for key, item in wanted.items() if item != saved.items.get(key)}

    def unused_files(self, table: str, layout: item_files.Layout) -> list[str]:
        """Return the names of all files of a table that do not count once the layout is in force."""
        used_names = layout.names()
        item_names = sorted(self.layouts[table].names() | self.orphaned_files[table])
        names = dict.fromkeys((*item_names, *self.obsolete_files[table]))
        return [name for name in names if name not in used_names]


def update_saved(
    saved: replica.Replica,
    unsaved: collections.abc.Mapping[str, items.Item | None],
    applied: versions.Version,
) -> None:
    """Bring the image of the disk up to what was written."""
    for key, item in unsaved.items():
        if item is None:
            saved.remove(key)
        else:
            saved.put(item)
    saved.applied = applied
