"""What a voter keeps on its disk: its durable store id, its record for each table, and the files with the
table's items.
"""

import random
import typing

import ormsgpack

from irisstand import event_log
from irisstand.state import digests, items, replica, versions
from irisstand.state.storage import disk as disks
from irisstand.state.storage import item_files


class Record(typing.NamedTuple):
    """A voter's word on one table. `root` proves the items found on disk to be those of `applied version`.

    `gone` names item files that no longer count, should a crash have come before their removal. Only the
    `segments` named here count. `forgotten` holds (key, version): up to it the key does not count.
    """

    promised: versions.Version
    applied: versions.Version
    root_digest: bytes
    accepted: versions.Version
    pending: items.Batch | None
    gone: tuple[str, ...] = ()
    segments: tuple[str, ...] = ()
    forgotten: tuple[tuple[str, versions.Version], ...] = ()


# What is out of date stays until there is this much of it, and then goes to the disk's spares all at once.
GARBAGE_LIMIT = 32

BLANK_RECORD = Record(versions.NONE, versions.NONE, b"", versions.NONE, None)


def encode_record(record: Record) -> bytes:
    pending = None if record.pending is None else record.pending.to_wire()
    numbers = (tuple(record.promised), tuple(record.applied), record.root_digest, tuple(record.accepted))
    forgotten = tuple((key, tuple(version)) for key, version in record.forgotten)
    return ormsgpack.packb((*numbers, pending, record.gone, record.segments, forgotten))


def decode_record(content: bytes) -> Record:
    """Records of the version before end after `gone`."""
    promised, applied, root, accepted, pending, gone, *more = ormsgpack.unpackb(content)
    segments, forgotten = more or ((), ())
    return Record(
        versions.Version.from_wire(promised),
        versions.Version.from_wire(applied),
        root,
        versions.Version.from_wire(accepted),
        None if pending is None else items.Batch.from_wire(pending),
        tuple(gone),
        tuple(segments),
        tuple((key, versions.Version.from_wire(version)) for key, version in forgotten),
    )


class DurableStore:
    def __init__(self, disk: disks.Disk, randomness: random.Random) -> None:
        self.disk, self.randomness = disk, randomness
        self.disk_id = ""
        self.numbers: dict[str, int] = {}
        self.records: dict[str, Record] = {}
        self.replicas: dict[str, replica.Replica] = {}
        self.layouts: dict[str, item_files.Layout] = {}
        self.intact: dict[str, bool] = {}
        self.garbage: dict[str, list[str]] = {}
        # Written for a record that never came: on the disk, perhaps, and not to be counted.
        self.strays: dict[str, set[str]] = {table: set() for table in items.TABLES}

    async def open(self) -> None:
        files, torn = await self.disk.load()
        if torn:
            event_log.record("torn-files", names=torn)
        # Put aside by a start that power was lost in, before this disk had a new id to show for it.
        torn = [*torn, *self.disk.quarantined]
        damaged = "vault" in torn
        for table in items.TABLES:
            # An older record in place of a torn newer one would take promises back: that disk has no vote.
            # A torn older one is a file written anew that a loss of power has left under its earlier name.
            self.load_table(table, files)
            voters = [name for name in torn if name.startswith(f"{table}.voter.")]
            damaged = damaged or any(item_files.file_number(name) > self.numbers[table] for name in voters)
            used = [name for name in (*files, *torn) if name.startswith((f"{table}.voter.", f"{table}.seg"))]
            self.numbers[table] = max([self.numbers[table], *map(item_files.file_number, used)])
        if "vault" in files and not damaged:
            self.disk_id = files["vault"].decode()
        else:
            self.disk_id = f"{self.randomness.getrandbits(48):012x}"
            self.records.clear()
            await self.disk.write([("vault", self.disk_id.encode())])
        for table in items.TABLES:
            self.records.setdefault(table, BLANK_RECORD)

    def load_table(self, table: str, files: dict[str, bytes]) -> None:
        copy = replica.Replica(table)
        self.replicas[table] = copy
        self.numbers[table] = 0
        layout = self.layouts[table] = item_files.Layout()
        names = sorted(name for name in files if name.startswith(f"{table}.voter."))
        record = BLANK_RECORD
        if names:
            record = self.records[table] = decode_record(files[names[-1]])
            self.numbers[table] = item_files.file_number(names[-1])
            copy.applied = record.applied
        layout.forgotten = dict(record.forgotten)
        item_files.load(copy, layout, files, record.segments, set(record.gone))
        # Left over from the last run: all but the newest record and what it rests on.
        counted = layout.names() | set(names[-1:])
        self.garbage[table] = [n for n in files if n.startswith(f"{table}.") and n not in counted]
        roots = (copy.root_digest(), digests.legacy_root_digest(copy.items.values()))
        self.intact[table] = not names or record.root_digest in roots

    async def save_record(self, table: str, record: Record) -> None:
        await self.write_record(table, record)
        await self.sweep(table)

    async def write_record(self, table: str, record: Record) -> None:
        self.numbers[table] += 1
        number = self.numbers[table]
        await self.disk.write([(f"{table}.voter.{number:012d}", encode_record(record))])
        self.records[table] = record
        self.garbage[table].append(f"{table}.voter.{number - 1:012d}")

    async def sweep(self, table: str) -> None:
        if len(self.garbage[table]) > GARBAGE_LIMIT:
            names, self.garbage[table] = self.garbage[table], []
            await self.disk.remove(names)

    def behind(self, table: str, live: replica.Replica) -> dict[str, items.Item | None]:
        """Keys whose file is out of date, with what they hold now; None where nothing is left."""
        kept = self.replicas[table]
        changed, forgotten = live.changes_since(kept.applied)
        keys = {item.key for item in changed} | set(forgotten)
        # A forgetting that the live copy no longer remembers shows in the root: then all are compared.
        if not self.intact[table] or kept.digests_with(keys, live) != live.digests:
            keys = set(kept.items) | set(live.items)
        wanted = {key: live.items.get(key) for key in keys}
        return {key: item for key, item in wanted.items() if item != kept.items.get(key)}

    async def save_replica(self, table: str, live: replica.Replica, record: Record) -> None:
        """Items first, then the record that confirms for them, and only then the old versions go."""
        # Taken all at once: the live copy moves on while the disk is waited for.
        wanted, applied, root = self.behind(table, live), live.applied, live.root_digest()
        kept, old, strays = self.replicas[table], self.layouts[table], self.strays[table]
        segment = item_files.segment_file(table, self.numbers[table] + 1)
        layout, files = item_files.plan(kept, old, wanted, not self.intact[table], segment)
        strays |= {name for name, _ in files}
        if files:
            await self.disk.write(files)
        counted = layout.names()
        obsolete = dict.fromkeys((*sorted(old.names() | strays), *self.garbage[table]))
        garbage = [name for name in obsolete if name not in counted]
        # Still on the disk, but never to be read again: a forgotten key must not come back with a restart.
        changed = record._replace(
            applied=applied,
            root_digest=root,
            gone=tuple(name for name in garbage if ".item." in name),
            segments=tuple(layout.segments),
            forgotten=tuple(layout.forgotten.items()),
        )
        # Until this record is written, the files before it are what counts.
        await self.write_record(table, changed)
        self.garbage[table] = [*garbage, *self.garbage[table][-1:]]
        for key, item in wanted.items():
            if item is None:
                kept.remove(key)
            else:
                kept.put(item)
        kept.applied = applied
        self.layouts[table] = layout
        strays.clear()
        self.intact[table] = kept.root_digest() == root
        await self.sweep(table)
