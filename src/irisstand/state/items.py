"""Items, the rows of the state tables, and batches of rows that are decided together."""

import typing

from irisstand.state import versions

# Names of the tables on the wire and on disk.
CONFIGURATION = "blueprint"
LEDGER = "ledger"
IDEMPOTENCY_KEYS = "claims"
TABLES = (CONFIGURATION, LEDGER, IDEMPOTENCY_KEYS)
# Only control plane nodes replicate idempotency keys: there are many, and no other node reads them.
REPLICATED_TABLES = (CONFIGURATION, LEDGER)
# Keys with this prefix belong to the system and are not shown to operators.
RESERVED_PREFIX = "~"
# Holds the voters of the table (see `quorum.Voter`).
VOTERS_KEY = "~voters"
# Holds the table's logical time in seconds.
TABLE_TIME_KEY = "~time"
# Holds the highest version whose purge may have been dropped; objects fetched under an older applied version
# are not served from the cache.
FORGOTTEN_PURGES_KEY = "~purged"

KEY_CHARACTERS_LIMIT = 4096

WireItem: typing.TypeAlias = tuple[str, versions.WireVersion, typing.Any]
WireRow: typing.TypeAlias = tuple[str, typing.Any, bool]
WireBatch: typing.TypeAlias = tuple[versions.WireVersion, versions.WireVersion, tuple[WireRow, ...]]


class Item(typing.NamedTuple):
    """A key, the version that wrote it, and its value; a value of None marks a tombstone."""

    key: str
    version: versions.Version
    value: typing.Any

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Item":
        """Decode an item.

        Raises:
            ValueError: A field has a wrong type or length.
            TypeError: `fields` is no sequence.
        """
        key, version, value = fields
        if not isinstance(key, str) or len(key) > KEY_CHARACTERS_LIMIT:
            raise ValueError("not a key")
        return cls(key, versions.Version.from_wire(version), value)

    def to_wire(self) -> WireItem:
        """Return the item as plain tuples, as it is packed on the wire and on disk."""
        return (self.key, self.version.to_wire(), self.value)


class Row(typing.NamedTuple):
    """One change of a batch: set `key` to `value`, or remove the key without leaving a tombstone."""

    key: str
    value: typing.Any
    is_removal: bool

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Row":
        """Decode a row.

        Raises:
            ValueError: A field has a wrong type, or there is another number of fields.
            TypeError: `fields` is no sequence.
        """
        key, value, is_removal = fields
        if not isinstance(key, str) or type(is_removal) is not bool:
            raise ValueError("not a row")
        return cls(key, value, is_removal)


class Batch(typing.NamedTuple):
    """Rows that are decided together and applied at once, on top of the applied version `base`."""

    version: versions.Version
    base: versions.Version
    rows: tuple[Row, ...]

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Batch":
        """Decode a batch.

        Raises:
            ValueError: A field has a wrong type or length.
            TypeError: A field is no sequence.
        """
        version, base, rows = fields
        checked = tuple(Row.from_wire(row) for row in rows)
        return cls(versions.Version.from_wire(version), versions.Version.from_wire(base), checked)

    def to_wire(self) -> WireBatch:
        """Return the batch as plain tuples, as it is packed on the wire and on disk."""
        return (self.version.to_wire(), self.base.to_wire(), tuple(tuple(row) for row in self.rows))
