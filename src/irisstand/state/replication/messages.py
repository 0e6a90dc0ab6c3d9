"""Requests and replies of replication, each of which is encoded as a sequence of its fields.

The `from_wire` methods raise ValueError or TypeError for a field of a wrong length or type, and KeyError for
an unknown table; the transport answers all three with the error code `bad-request`.
"""

import enum
import typing

from irisstand.state import digests, items, versions

TABLE_NAMES = frozenset(items.TABLES)


class MessageKind(enum.StrEnum):
    """The kinds of requests that replication sends to other nodes."""

    CHANGES = "after"
    CHUNK = "part"
    RANGES = "ranges"
    APPLIED_VERSIONS = "tips"
    VOTER_STATE = "stand"


class ReplyKind(enum.StrEnum):
    """The kinds of reply to a `ChangesRequest`.

    SAME: both replicas are equal. BEHIND: the peer has nothing newer. CHANGES: the reply has the changes.
    REPAIR: the changes are too large for one reply, or the replicas differ at the same applied version.
    """

    SAME = "same"
    BEHIND = "behind"
    CHANGES = "rows"
    REPAIR = "mend"


def table_from_wire(name: typing.Any) -> str:
    """Return a received table name; raise KeyError or TypeError if it is not the name of a table."""
    if name not in TABLE_NAMES:
        raise KeyError(name)
    return str(name)


def age_from_wire(age: typing.Any) -> float | None:
    """Return a received replica age in seconds; None means that the peer does not know it."""
    if age is not None and not isinstance(age, int | float):
        raise TypeError("the age of a replica is neither a number nor None")
    return age


def digest_from_wire(digest: typing.Any) -> bytes:
    """Return a received root digest."""
    if not isinstance(digest, bytes):
        raise TypeError("a root digest is not a byte string")
    return digest


class ChangesRequest(typing.NamedTuple):
    """Requests the changes of one table above `applied`; one message contains several of these requests."""

    table: str
    applied: versions.Version
    root_digest: bytes

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChangesRequest":
        """Decode a `ChangesRequest`. The digest is only compared, so a malformed one leads to a repair."""
        table, applied, root_digest = fields
        return cls(table_from_wire(table), versions.Version.from_wire(applied), root_digest)

    def to_wire(self) -> tuple[str, versions.WireVersion, bytes]:
        """Return the `ChangesRequest` as a plain tuple."""
        return (self.table, self.applied.to_wire(), self.root_digest)


class ChangesReply(typing.NamedTuple):
    """The state of one table on a peer (applied version, age in seconds, root digest), and the changes."""

    applied: versions.Version
    age: float | None
    root_digest: bytes
    kind: ReplyKind
    changed: tuple[items.Item, ...] = ()
    removed_keys: tuple[str, ...] = ()

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChangesReply":
        """Decode a `ChangesReply`."""
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
        """Return the `ChangesReply` as a plain tuple."""
        content: tuple[typing.Any, ...] = (self.kind.value,)
        if self.kind is ReplyKind.CHANGES:
            content = (self.kind.value, tuple(item.to_wire() for item in self.changed), self.removed_keys)
        return (self.applied.to_wire(), self.age, self.root_digest, content)


class Cursor(typing.NamedTuple):
    """A position in a table's items, sorted by version and key: that of the last item received."""

    version: versions.Version
    key: str

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Cursor":
        """Decode a `Cursor`."""
        version, key = fields
        return cls(versions.Version.from_wire(version), str(key))

    def to_wire(self) -> tuple[versions.WireVersion, str]:
        """Return the `Cursor` as a plain tuple."""
        return (self.version.to_wire(), self.key)


class ChunkRequest(typing.NamedTuple):
    """Requests the items after `cursor`; `base` is the applied version of the requesting replica."""

    table: str
    base: versions.Version
    cursor: Cursor

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChunkRequest":
        """Decode a `ChunkRequest`."""
        table, base, (version, key) = fields
        return cls(table_from_wire(table), versions.Version.from_wire(base), Cursor.from_wire((version, key)))

    def to_wire(self) -> tuple[str, versions.WireVersion, tuple[versions.WireVersion, str]]:
        """Return the `ChunkRequest` as a plain tuple."""
        return (self.table, self.base.to_wire(), self.cursor.to_wire())


class ChunkReply(typing.NamedTuple):
    """A chunk of compressed items that ends at `end`; the last chunk has removed keys and no `end`."""

    applied: versions.Version
    age: float | None
    root_digest: bytes
    packed_items: bytes
    end: Cursor | None
    removed_keys: tuple[str, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "ChunkReply":
        """Decode a `ChunkReply`, without unpacking its items."""
        applied, age, root_digest, packed_items, end, removed_keys = fields
        if not isinstance(packed_items, bytes):
            raise TypeError("the packed items of a chunk are not a byte string")
        return cls(
            versions.Version.from_wire(applied),
            age_from_wire(age),
            digest_from_wire(root_digest),
            packed_items,
            None if end is None else Cursor.from_wire(end),
            tuple(str(key) for key in removed_keys),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the `ChunkReply` as a plain tuple."""
        end = None if self.end is None else self.end.to_wire()
        return (self.applied.to_wire(), self.age, self.root_digest, self.packed_items, end, self.removed_keys)


class RangesRequest(typing.NamedTuple):
    """Requests the content of the ranges of one table whose digests differ from `range_digests`."""

    table: str
    range_digests: tuple[bytes, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "RangesRequest":
        """Decode a `RangesRequest`. Digests are only compared, so a malformed one requests its range."""
        table, range_digests = fields
        table = table_from_wire(table)
        if len(range_digests) != digests.RANGE_COUNT:
            raise ValueError("the number of range digests is not the number of ranges")
        return cls(table, tuple(range_digests))

    def to_wire(self) -> tuple[str, tuple[bytes, ...]]:
        """Return the `RangesRequest` as a plain tuple."""
        return (self.table, self.range_digests)


class RangeContent(typing.NamedTuple):
    """All items of a table whose keys belong to one range, which has the given number."""

    number: int
    range_items: tuple[items.Item, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "RangeContent":
        """Decode a `RangeContent`."""
        number, range_items = fields
        if type(number) is not int or not 0 <= number < digests.RANGE_COUNT:
            raise ValueError("the number of a range is not an integer in range")
        return cls(number, tuple(items.Item.from_wire(item) for item in range_items))

    def to_wire(self) -> tuple[int, tuple[items.WireItem, ...]]:
        """Return the `RangeContent` as a plain tuple."""
        return (self.number, tuple(item.to_wire() for item in self.range_items))


class RangesReply(typing.NamedTuple):
    """The content of the ranges that differ between two replicas, as many as fit into one reply."""

    applied: versions.Version
    age: float | None
    root_digest: bytes
    ranges: tuple[RangeContent, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "RangesReply":
        """Decode a `RangesReply`."""
        applied, age, root_digest, ranges = fields
        return cls(
            versions.Version.from_wire(applied),
            age_from_wire(age),
            digest_from_wire(root_digest),
            tuple(RangeContent.from_wire(content) for content in ranges),
        )

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the `RangesReply` as a plain tuple."""
        ranges = tuple(content.to_wire() for content in self.ranges)
        return (self.applied.to_wire(), self.age, self.root_digest, ranges)
