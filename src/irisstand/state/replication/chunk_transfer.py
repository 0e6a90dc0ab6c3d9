"""Carrying many changed rows in small parts, compressed, for links that a whole table would fill.

A node far behind asks for one part after the other, from the oldest version on. Rows that came are kept
aside, also when the peer falls silent: the next peer goes on behind them. They are taken all at once when the
last part is there and the outcome is the peer's copy, so nobody ever reads a table that is half there.
"""

import dataclasses
import typing
import zlib

import ormsgpack

from irisstand import errors, node_context
from irisstand.state import items, replica, versions
from irisstand.transport import codec, network

PATIENCE = 0.6
# Bytes of one part's rows before they are compressed.
PART_BYTES = 64 * 1024
PARTS_LIMIT = 1000
# Compressed parts that are kept for the next askers: after a large change, all nodes ask for the same ones.
KEPT_PARTS = 64
QUICK = 1


class Cursor(typing.NamedTuple):
    """A place in the order by version: the row that came last."""

    version: versions.Version
    key: str


class Chunk(typing.NamedTuple):
    """Rows behind a cursor, compressed, and the place where they end; None if nothing is left behind them."""

    rows: bytes
    end: Cursor | None


@dataclasses.dataclass
class Staged:
    """Rows above `base` that came so far."""

    base: versions.Version
    cursor: Cursor
    rows: dict[str, items.Item]


class ChunkTransfer:
    """Answers and asks for parts; a table has at most one carrying under way."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.staged: dict[str, Staged] = {}
        self.kept: dict[tuple[str, Cursor], Chunk] = {}
        self.kept_of: dict[str, versions.Version] = {}
        context.transport.handlers["part"] = self.on_part
        for copy in context.replicas.values():
            copy.watchers.append(self.drop_outdated)

    # -- answering -----------------------------------------------------------------------------------
    async def on_part(self, _: str, body: list) -> tuple:
        """Applied version, age, root, rows behind the cursor, where they end, and at the end what was
        forgotten.
        """
        name, base_parts, (version_parts, key) = body
        copy, base = self.context.replicas[name], versions.Version.from_wire(base_parts)
        cursor = Cursor(versions.Version.from_wire(version_parts), str(key))
        if copy.applied < max(base, cursor.version):
            raise errors.StaleConfigurationError(f"the {name} table is older here than the asker's")
        part = self.part(copy, cursor)
        forgotten = tuple(copy.changes_since(base)[1]) if part.end is None else ()
        end = None if part.end is None else (tuple(part.end.version), part.end.key)
        age = copy.age(self.context.clock.now())
        return (tuple(copy.applied), age, copy.root_digest(), part.rows, end, forgotten)

    def part(self, copy: replica.Replica, cursor: Cursor) -> Chunk:
        """The part behind the cursor, worked out once for all who ask for it."""
        if self.kept_of.get(copy.name) != copy.applied or len(self.kept) >= KEPT_PARTS:
            self.kept = {place: part for place, part in self.kept.items() if place[0] != copy.name}
            self.kept_of[copy.name] = copy.applied
        place = (copy.name, cursor)
        if place not in self.kept:
            self.kept[place] = cut_chunk(copy, cursor)
        return self.kept[place]

    # -- asking --------------------------------------------------------------------------------------
    def drop_outdated(self) -> None:
        """Rows above a version that the copy has left by another way are of no use."""
        for name, staged in list(self.staged.items()):
            if staged.base != self.context.replicas[name].applied:
                del self.staged[name]

    async def carry(self, address: network.Address, name: str, copy: replica.Replica) -> bool:
        """Ask one peer for part after part. False if the rows do not add up to its copy."""
        staged = self.staged_for(copy)
        for _ in range(PARTS_LIMIT):
            sent = self.context.clock.now()
            cursor = (tuple(staged.cursor.version), staged.cursor.key)
            body = (copy.name, tuple(staged.base), cursor)
            reply = await self.context.transport.call(address, name, "part", body, PATIENCE)
            if copy.applied != staged.base:
                # It moved on by another way, and the next round asks from where it stands.
                return True
            applied_parts, age, root, rows, end, forgotten = reply
            staged.rows.update({item.key: item for item in unpack_rows(rows)})
            if end is not None:
                staged.cursor = next_cursor(staged.cursor, end)
                continue
            self.staged.pop(copy.name, None)
            if not self.take(copy, staged, versions.Version.from_wire(applied_parts), root, forgotten):
                return False
            if age is not None:
                copy.confirm_current(sent - age)
            return True
        return False

    def staged_for(self, copy: replica.Replica) -> Staged:
        """What came so far for this very copy, from whichever peer."""
        staged = self.staged.get(copy.name)
        if staged is None or staged.base != copy.applied:
            staged = Staged(copy.applied, Cursor(copy.applied, replica.KEY_UPPER_BOUND), {})
            self.staged[copy.name] = staged
        return staged

    def take(
        self, copy: replica.Replica, staged: Staged, applied: versions.Version, root: bytes, forgotten: list
    ) -> bool:
        gone = {str(key) for key in forgotten}
        changed = [item for item in staged.rows.values() if item.key not in gone]
        taken = copy.apply_changes(applied, root, changed, sorted(gone))
        if taken:
            self.context.counters.add("rows_carried", len(changed), table=copy.name)
        return taken


def cut_chunk(copy: replica.Replica, cursor: Cursor) -> Chunk:
    """Rows behind the cursor in the order of their versions, as many as a part has room for."""
    packed: list[bytes] = []
    size = 0
    end = cursor
    for version, key in copy.keys_by_version.irange(tuple(cursor), inclusive=(False, True)):
        if size >= PART_BYTES:
            return Chunk(pack_rows(packed), end)
        packed.append(ormsgpack.packb(copy.items[key].to_wire()))
        size += len(packed[-1])
        end = Cursor(version, key)
    return Chunk(pack_rows(packed), None)


def pack_rows(packed: list[bytes]) -> bytes:
    return zlib.compress(ormsgpack.packb(packed), QUICK)


def unpack_rows(rows: bytes) -> list[items.Item]:
    """Never more than a frame may have, whatever the peer sent."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(rows, codec.FRAME_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a part: {error}") from None
    if not unpacker.eof:
        raise ValueError("a part larger than a frame")
    return [items.Item.from_wire(ormsgpack.unpackb(one)) for one in ormsgpack.unpackb(plain)]


def next_cursor(before: Cursor, end: typing.Any) -> Cursor:
    """Each part ends behind the one before, or asking for parts would never end."""
    cursor = Cursor(versions.Version.from_wire(end[0]), str(end[1]))
    if cursor <= before:
        raise ValueError("a part that does not lead on")
    return cursor
