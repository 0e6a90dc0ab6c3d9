"""Items, which are the entries of replicated tables, and batches of rows that are decided together."""

import typing

from irisstand.state import versions

# Names of the replicated tables, as they are sent between nodes and written to disk.
CONFIGURATION = "blueprint"
LEDGER = "ledger"
IDEMPOTENCY_KEYS = "claims"
TABLES = (CONFIGURATION, LEDGER, IDEMPOTENCY_KEYS)
# The tables that every node replicates. Only control plane nodes replicate the table of idempotency keys:
# there are many of them, and no other node reads them.
REPLICATED_TABLES = (CONFIGURATION, LEDGER)
# Keys with this prefix are for internal use and are not shown to operators.
RESERVED_PREFIX = "~"
# The key under which each table stores its voters (see `quorum.Voter`).
VOTERS_KEY = "~voters"
# The key under which each table stores its logical time, in seconds.
TABLE_TIME_KEY = "~time"
# The key under which the ledger stores the highest version whose purge may have been dropped. A cached
# object that was fetched at an older applied version is not served.
FORGOTTEN_PURGES_KEY = "~purged"

# The longest key that is accepted from disk or from another node.
KEY_CHARACTERS_LIMIT = 4096

WireItem: typing.TypeAlias = tuple[str, versions.WireVersion, typing.Any]
WireRow: typing.TypeAlias = tuple[str, typing.Any, bool]
WireBatch: typing.TypeAlias = tuple[versions.WireVersion, versions.WireVersion, tuple[WireRow, ...]]


class Item(typing.NamedTuple):
    """A key, the version at which it was written, and its value; a value of None is a tombstone."""

    key: str
    version: versions.Version
    value: typing.Any

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Item":
        """Decode an item from the fields that `to_wire` returns.

        Raises:
            ValueError: A field has a wrong type or length.
            TypeError: `fields` or the version is not a sequence.
        """
        key, version, value = fields
        if not isinstance(key, str) or len(key) > KEY_CHARACTERS_LIMIT:
            raise ValueError("the key of an item is not a string, or is too long")
        return cls(key, versions.Version.from_wire(version), value)

    def to_wire(self) -> WireItem:
        """Return the item as plain tuples, which are packed for other nodes and for the disk."""
        return (self.key, self.version.to_wire(), self.value)


class Row(typing.NamedTuple):
    """One change in a batch: sets `key` to `value`, or removes the key without leaving a tombstone."""

    key: str
    value: typing.Any
    is_removal: bool

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Row":
        """Decode a row from the sequence of its three fields.

        Raises:
            ValueError: A field has a wrong type, or the number of fields is wrong.
            TypeError: `fields` is not a sequence.
        """
        key, value, is_removal = fields
        if not isinstance(key, str) or type(is_removal) is not bool:
            raise ValueError("a row has a key that is not a string, or a removal flag that is not a bool")
        return cls(key, value, is_removal)


class Batch(typing.NamedTuple):
    """Rows that are decided together and applied atomically, on top of the applied version `base`."""

    version: versions.Version
    base: versions.Version
    rows: tuple[Row, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Batch":
        """Decode a batch from the fields that `to_wire` returns.

        Raises:
            ValueError: A field has a wrong type or length.
            TypeError: `fields` or one of its fields is not a sequence.
        """
        version, base, rows = fields
        checked = tuple(Row.from_wire(row) for row in rows)
        return cls(versions.Version.from_wire(version), versions.Version.from_wire(base), checked)

    def to_wire(self) -> WireBatch:
        """Return the batch as plain tuples, which are packed for other nodes and for the disk."""
        return (self.version.to_wire(), self.base.to_wire(), tuple(tuple(row) for row in self.rows))
