"""The overlay: a table's replica plus the rows that a batch has planned so far."""

import typing

from irisstand.state import items, replica, versions

# The values to write, by key; None removes the row and leaves a tombstone.
PlannedRows = dict[str, typing.Any]


class PendingRow(typing.NamedTuple):
    """One row of a batch that is not decided yet.

    Attributes:
        value: The new value of the row; None if the row is removed.
        is_removed: Whether the row is removed without a tombstone; otherwise a removed row leaves one.
    """

    value: typing.Any
    is_removed: bool


class Overlay:
    """Pending rows on top of a replica, which is not changed until the batch is decided.

    Attributes:
        replica: This node's replica of the table, with all decided batches applied.
        new_version: The version that all pending rows will have.
        rows: The pending rows by key.
        size: The approximate size of the pending rows on the wire, in bytes.
    """

    def __init__(self, table: replica.Replica, version: versions.Version) -> None:
        self.replica = table
        self.new_version = version
        self.rows: dict[str, PendingRow] = {}
        self.size = 0

    def value(self, key: str) -> typing.Any:
        """Return the value that a key has with the pending rows applied, None if it has no row."""
        if key in self.rows:
            return self.rows[key].value
        return self.replica.value(key)

    def version(self, key: str) -> versions.Version:
        """Return a key's version with the pending rows applied, `versions.NONE` if it has no item."""
        if key not in self.rows:
            return self.replica.version(key)
        return versions.NONE if self.rows[key].is_removed else self.new_version

    def items_with_prefix(self, prefix: str) -> dict[str, typing.Any]:
        """Return the values under a prefix with the pending rows applied, by key, without tombstones."""
        found = {item.key: item.value for item in self.replica.items_with_prefix(prefix)}
        found.update({key: row.value for key, row in self.rows.items() if key.startswith(prefix)})
        return {key: value for key, value in found.items() if value is not None}

    def count(self, prefix: str) -> int:
        """Return the number of items under `prefix/` with the pending rows applied, tombstones included."""
        added = sum(key.startswith(prefix + "/") and key not in self.replica.items for key in self.rows)
        return self.replica.counts_by_prefix[prefix] + added

    def put(self, key: str, value: typing.Any) -> None:
        """Plan a new value for a key; None removes its row and leaves a tombstone."""
        self.add(key, PendingRow(value, is_removed=False))

    def remove(self, key: str) -> None:
        """Plan the removal of a key's row without leaving a tombstone."""
        self.add(key, PendingRow(None, is_removed=True))

    def add(self, key: str, row: PendingRow) -> None:
        """Add one pending row, which replaces an earlier pending row of the same key."""
        self.rows[key] = row
        self.size += len(key) + len(repr(row.value))

    def batch(self) -> items.Batch:
        """Return the pending rows as one batch on top of the replica's applied version."""
        rows = tuple(items.Row(key, row.value, row.is_removed) for key, row in self.rows.items())
        return items.Batch(self.new_version, self.replica.applied, rows)
