"""What a voter keeps on its disk: its durable store id, its record for each table, one file for each item
version.
"""

import hashlib
import random
import typing

import ormsgpack

from irisstand import ring
from irisstand.state import disk as disks
from irisstand.state import items, tables, versions


class Record(typing.NamedTuple):
    """A voter's word on one table. `root` proves the items found on disk to be those of `applied version`.

    `gone` names item files that no longer count, should a crash have come before their removal.
    """

    promised: versions.Version
    applied: versions.Version
    root: bytes
    accepted: versions.Version
    pending: items.Batch | None
    gone: tuple[str, ...] = ()


# What is out of date stays until there is this much of it, and then goes to the disk's spares all at once.
GARBAGE_LIMIT = 32

BLANK = Record(versions.NONE, versions.NONE, b"", versions.NONE, None)


def item_file(table: str, item: items.Item) -> str:
    """Named by key and version, so that a new version never overwrites an old one."""
    key = hashlib.sha256(item.key.encode()).hexdigest()[:24]
    node = hashlib.sha256(item.version.node.encode()).hexdigest()[:8]
    return f"{table}.item.{key}.{item.version.counter:012d}.{node}"


class DurableStore:
    def __init__(self, disk: disks.Disk, randomness: random.Random) -> None:
        self.disk, self.randomness = disk, randomness
        self.identity = ""
        self.numbers: dict[str, int] = {}
        self.records: dict[str, Record] = {}
        self.copies: dict[str, tables.Copy] = {}
        self.sound: dict[str, bool] = {}
        self.garbage: dict[str, list[str]] = {}
        self.unsaved: dict[str, set[str]] = {table: set() for table in items.TABLES}

    async def open(self) -> None:
        files, torn = await self.disk.load()
        if torn:
            ring.note("torn-files", names=torn)
        damaged = any(".voter." in name or name == "vault" for name in torn)
        for table in items.TABLES:
            self.load_table(table, files)
            # An older record in place of a torn newer one would take promises back: that disk has no vote.
            damaged = damaged or (table not in self.records and any(n.startswith(table) for n in files))
        if "vault" in files and not damaged:
            self.identity = files["vault"].decode()
        else:
            self.identity = f"{self.randomness.getrandbits(48):012x}"
            self.records.clear()
            await self.disk.write([("vault", self.identity.encode())])
        for table in items.TABLES:
            self.records.setdefault(table, BLANK)

    def load_table(self, table: str, files: dict[str, bytes]) -> None:
        copy = tables.Copy(table)
        self.copies[table] = copy
        self.numbers[table] = 0
        names = sorted(name for name in files if name.startswith(f"{table}.voter."))
        if names:
            promised, applied, root, accepted, pending, gone = ormsgpack.unpackb(files[names[-1]])
            batch = None if pending is None else items.decode_batch(pending)
            self.numbers[table] = int(names[-1].rsplit(".", 1)[1])
            numbers = [versions.decode(parts) for parts in (promised, applied, accepted)]
            record = Record(numbers[0], numbers[1], root, numbers[2], batch, tuple(gone))
            self.records[table] = record
            copy.applied = record.applied
        gone_names = set(self.records.get(table, BLANK).gone)
        # Left over from the last run: the files that a newer record has replaced.
        self.garbage[table] = [*names[:-1], *(name for name in gone_names if name in files)]
        for name, content in files.items():
            if name.startswith(f"{table}.item.") and name not in gone_names:
                item = items.decode(ormsgpack.unpackb(content))
                # Versions newer than the applied version belong to a commit that was cut short; it is done
                # again.
                if item.version <= copy.applied:
                    copy.merge(item)
        roots = (copy.root(), tables.first_root(copy))
        self.sound[table] = not names or self.records[table].root in roots

    async def save_record(self, table: str, record: Record) -> None:
        self.numbers[table] += 1
        number = self.numbers[table]
        pending = None if record.pending is None else items.encode_batch(record.pending)
        numbers = (tuple(record.promised), tuple(record.applied), record.root, tuple(record.accepted))
        content = (*numbers, pending, record.gone)
        await self.disk.write([(f"{table}.voter.{number:012d}", ormsgpack.packb(content))])
        self.records[table] = record
        self.garbage[table].append(f"{table}.voter.{number - 1:012d}")
        if len(self.garbage[table]) > GARBAGE_LIMIT:
            names, self.garbage[table] = self.garbage[table], []
            await self.disk.remove(names)

    def behind(self, table: str, live: tables.Copy) -> dict[str, items.Item | None]:
        """Keys whose file is out of date, with what they hold now; None where nothing is left."""
        kept = self.copies[table]
        # What does not add up says nothing about which rows are wrong, so all are written.
        if not self.sound[table]:
            keys = set(kept.items) | set(live.items)
        else:
            changed, forgotten = live.after(kept.applied)
            keys = {item.key for item in changed} | set(forgotten) | self.unsaved[table]
        return {key: live.items.get(key) for key in keys}

    async def save_copy(self, table: str, live: tables.Copy, record: Record) -> None:
        """Items first, then the record that confirms for them, and only then the old versions go."""
        # Taken all at once: the live copy moves on while the disk is waited for.
        wanted, applied, root = self.behind(table, live), live.applied, live.root()
        old, sound = self.copies[table].items, self.sound[table]
        fresh = {
            key: item
            for key, item in wanted.items()
            if item is not None and (old.get(key) != item or not sound or key in self.unsaved[table])
        }
        # Until the record is written nobody knows which of these files are on the disk.
        self.unsaved[table] |= set(wanted)
        if fresh:
            packed = [(item_file(table, i), ormsgpack.packb(items.encode(i))) for i in fresh.values()]
            await self.disk.write(packed)
        # Still on the disk, but never to be read again: a forgotten key must not come back with a restart.
        left = [name for name in self.garbage[table] if ".item." in name]
        left += [item_file(table, old[key]) for key in wanted if key in old and wanted[key] != old[key]]
        self.garbage[table] = [name for name in self.garbage[table] if ".item." not in name] + left
        await self.save_record(table, record._replace(applied=applied, root=root, gone=tuple(left)))
        kept = self.copies[table]
        for key, item in wanted.items():
            if item is None:
                kept.remove(key)
            else:
                kept.put(item)
        kept.applied = applied
        self.unsaved[table].clear()
        # A forgetting that the live copy no longer remembers shows here, and is mended by writing all anew.
        self.sound[table] = kept.root() == root
