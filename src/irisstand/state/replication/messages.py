"""Requests and replies of replication, each encoded by field order.

`from_wire` raises ValueError or TypeError for a wrong length or type, and KeyError for an unknown table; the
transport answers all three with the code `bad-request`.
"""

import enum
import typing

from irisstand.state import digests, items, versions

TABLE_NAMES = frozenset(items.TABLES)


class MessageKind(enum.StrEnum):
    """The kinds of requests between nodes that replication sends."""

    CHANGES = "after"
    CHUNK = "part"
    RANGES = "ranges"
    APPLIED_VERSIONS = "tips"
    VOTER_STATE = "stand"


class ReplyKind(enum.StrEnum):
    """What a peer answers about one table.

    SAME: both replicas are equal. BEHIND: the peer has nothing newer. CHANGES: the changes follow.
    REPAIR: the changes are too large for one reply, or the replicas differ at the same applied version.
    """

    SAME = "same"
    BEHIND = "behind"
    CHANGES = "rows"
    REPAIR = "mend"


def table_from_wire(name: typing.Any) -> str:
    """Return the name of a table, or raise KeyError or TypeError if it is none."""
    if name not in TABLE_NAMES:
        raise KeyError(name)
    return str(name)


def age_from_wire(age: typing.Any) -> float | None:
    """Return the age of a replica in seconds, or None if the peer does not know it."""
    if age is not None and not isinstance(age, int | float):
        raise TypeError("not an age")
    return age


def digest_from_wire(digest: typing.Any) -> bytes:
    """Return a root digest."""
    if not isinstance(digest, bytes):
        raise TypeError("not a digest")
    return digest


class ChangesRequest(typing.NamedTuple):
    """Asks for what was changed in one table after `applied`; a request holds one of these for each table."""

    table: str
    applied: versions.Version
    root_digest: bytes

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChangesRequest":
        """Decode the request; the digest is only compared, so a wrong one asks for a repair."""
        table, applied, root_digest = fields
        return cls(table_from_wire(table), versions.Version.from_wire(applied), root_digest)

    def to_wire(self) -> tuple[str, versions.WireVersion, bytes]:
        """Return the request as plain tuples."""
        return (self.table, self.applied.to_wire(), self.root_digest)


class ChangesReply(typing.NamedTuple):
    """What a peer has of one table: applied version, age in seconds, root digest, and the changes."""

    applied: versions.Version
    age: float | None
    root_digest: bytes
    kind: ReplyKind
    changed: tuple[items.Item, ...] = ()
    removed_keys: tuple[str, ...] = ()

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChangesReply":
        """Decode the reply."""
        applied, age, root_digest, (kind_value, *changes) = fields
        kind = ReplyKind(kind_value)
        changed, removed_keys = changes if kind is ReplyKind.CHANGES else ((), ())
        return cls(
            versions.Version.from_wire(applied),
            age_from_wire(age),
            digest_from_wire(root_digest),
            kind,
            tuple(items.Item.from_wire(item) for item in changed),
            tuple(str(key) for key in removed_keys),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the reply as plain tuples."""
        content: tuple[typing.Any, ...] = (self.kind.value,)
        if self.kind is ReplyKind.CHANGES:
            content = (self.kind.value, tuple(item.to_wire() for item in self.changed), self.removed_keys)
        return (self.applied.to_wire(), self.age, self.root_digest, content)


class Cursor(typing.NamedTuple):
    """A position in the order of versions and keys: the item that came last."""

    version: versions.Version
    key: str

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Cursor":
        """Decode the cursor."""
        version, key = fields
        return cls(versions.Version.from_wire(version), str(key))

    def to_wire(self) -> tuple[versions.WireVersion, str]:
        """Return the cursor as plain tuples."""
        return (self.version.to_wire(), self.key)


class ChunkRequest(typing.NamedTuple):
    """Asks for the items behind `cursor`; `base` is the applied version of the replica that asks."""

    table: str
    base: versions.Version
    cursor: Cursor

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChunkRequest":
        """Decode the request."""
        table, base, (version, key) = fields
        return cls(table_from_wire(table), versions.Version.from_wire(base), Cursor.from_wire((version, key)))

    def to_wire(self) -> tuple[str, versions.WireVersion, tuple[versions.WireVersion, str]]:
        """Return the request as plain tuples."""
        return (self.table, self.base.to_wire(), self.cursor.to_wire())


class ChunkReply(typing.NamedTuple):
    """Compressed items, and where they end; with the last chunk, `end` is None and the removals follow."""

    applied: versions.Version
    age: float | None
    root_digest: bytes
    packed_items: bytes
    end: Cursor | None
    removed_keys: tuple[str, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChunkReply":
        """Decode the reply; the items stay packed."""
        applied, age, root_digest, packed_items, end, removed_keys = fields
        if not isinstance(packed_items, bytes):
            raise TypeError("not packed items")
        return cls(
            versions.Version.from_wire(applied),
            age_from_wire(age),
            digest_from_wire(root_digest),
            packed_items,
            None if end is None else Cursor.from_wire(end),
            tuple(str(key) for key in removed_keys),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the reply as plain tuples."""
        end = None if self.end is None else self.end.to_wire()
        return (self.applied.to_wire(), self.age, self.root_digest, self.packed_items, end, self.removed_keys)


class RangesRequest(typing.NamedTuple):
    """Asks for the ranges of one table whose digests differ from these."""

    table: str
    range_digests: tuple[bytes, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "RangesRequest":
        """Decode the request; the digests are only compared, so a wrong one asks for its range."""
        table, range_digests = fields
        table = table_from_wire(table)
        if len(range_digests) != digests.RANGE_COUNT:
            raise ValueError("another number of ranges")
        return cls(table, tuple(range_digests))

    def to_wire(self) -> tuple[str, tuple[bytes, ...]]:
        """Return the request as plain tuples."""
        return (self.table, self.range_digests)


class RangeContent(typing.NamedTuple):
    """All items of one range."""

    number: int
    range_items: tuple[items.Item, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "RangeContent":
        """Decode the content of a range."""
        number, range_items = fields
        if type(number) is not int or not 0 <= number < digests.RANGE_COUNT:
            raise ValueError("not a range")
        return cls(number, tuple(items.Item.from_wire(item) for item in range_items))

    def to_wire(self) -> tuple[int, tuple[items.WireItem, ...]]:
        """Return the content as plain tuples."""
        return (self.number, tuple(item.to_wire() for item in self.range_items))


class RangesReply(typing.NamedTuple):
    """The ranges that differ, as many as fit one reply."""

    applied: versions.Version
    age: float | None
    root_digest: bytes
    ranges: tuple[RangeContent, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "RangesReply":
        """Decode the reply."""
        applied, age, root_digest, ranges = fields
        return cls(
            versions.Version.from_wire(applied),
            age_from_wire(age),
            digest_from_wire(root_digest),
            tuple(RangeContent.from_wire(content) for content in ranges),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the reply as plain tuples."""
        ranges = tuple(content.to_wire() for content in self.ranges)
        return (self.applied.to_wire(), self.age, self.root_digest, ranges)
