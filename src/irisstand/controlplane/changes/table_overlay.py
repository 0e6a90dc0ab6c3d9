"""The overlay: a table as it would stand with the rows that a batch has planned so far."""

import typing

from irisstand.state import items, replica, versions

# Values to write by key; None removes the row and leaves a tombstone.
PlannedRows = dict[str, typing.Any]


class PendingRow(typing.NamedTuple):
    """One row of a batch that is not decided yet.

    Attributes:
        value: The new value; None leaves a tombstone, or nothing at all if the key is removed.
        is_removed: Whether the key goes without a tombstone.
    """

    value: typing.Any
    is_removed: bool


class Overlay:
    """Pending rows on top of a replica, which stays as it is until the batch is decided.

    Attributes:
        replica: The table as it was decided last.
        new_version: The version that all pending rows will have.
        rows: The pending rows by key.
        size: About how many bytes the pending rows take on the wire.
    """

    def __init__(self, table: replica.Replica, version: versions.Version) -> None:
        self.replica = table
        self.new_version = version
        self.rows: dict[str, PendingRow] = {}
        self.size = 0

    def value(self, key: str) -> typing.Any:
        """Return the value that the key would have, None if there would be no row."""
        if key in self.rows:
            return self.rows[key].value
        return self.replica.value(key)

    def version(self, key: str) -> versions.Version:
        """Return the version that the key would have, `versions.NONE` if there would be no item."""
        if key not in self.rows:
            return self.replica.version(key)
        return versions.NONE if self.rows[key].is_removed else self.new_version

    def items_with_prefix(self, prefix: str) -> dict[str, typing.Any]:
        """Return the values that there would be under a prefix of keys, by key; tombstones are left out."""
        found = {item.key: item.value for item in self.replica.items_with_prefix(prefix)}
        found.update({key: row.value for key, row in self.rows.items() if key.startswith(prefix)})
        return {key: value for key, value in found.items() if value is not None}

    def count(self, prefix: str) -> int:
        """Return how many items there would be under `prefix/`, tombstones included."""
        added = sum(key.startswith(prefix + "/") and key not in self.replica.items for key in self.rows)
        return self.replica.counts_by_prefix[prefix] + added

    def put(self, key: str, value: typing.Any) -> None:
        """Plan a new value of a row; None removes the row and leaves a tombstone."""
        self.add(key, PendingRow(value, is_removed=False))

    def remove(self, key: str) -> None:
        """Plan the removal of a key without a tombstone."""
        self.add(key, PendingRow(None, is_removed=True))

    def add(self, key: str, row: PendingRow) -> None:
        """Plan one row, in place of an earlier plan for the same key."""
        self.rows[key] = row
        self.size += len(key) + len(repr(row.value))

    def batch(self) -> items.Batch:
        """Return the pending rows as one batch on top of the replica's applied version."""
        rows = tuple(items.Row(key, row.value, row.is_removed) for key, row in self.rows.items())
        return items.Batch(self.new_version, self.replica.applied, rows)
