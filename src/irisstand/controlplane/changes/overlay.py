"""What is to be decided: an order, and a table with the rows planned so far on top."""

import typing

from irisstand.state import items, replica, versions


class Order(typing.NamedTuple):
    """`change` is the sender's id for it: the same id again returns the first one's result."""

    kind: str
    change: str
    payload: typing.Any


class Overlay:
    def __init__(self, copy: replica.Replica, version: versions.Version) -> None:
        self.copy, self.new_version = copy, version
        self.rows: dict[str, tuple[typing.Any, bool]] = {}
        self.size = 0

    def value(self, key: str) -> typing.Any:
        return self.rows[key][0] if key in self.rows else self.copy.value(key)

    def version(self, key: str) -> versions.Version:
        if key in self.rows:
            return versions.NONE if self.rows[key][1] else self.new_version
        return self.copy.version(key)

    def items_with_prefix(self, prefix: str) -> dict[str, typing.Any]:
        found = {item.key: item.value for item in self.copy.items_with_prefix(prefix)}
        found.update({key: value for key, (value, _) in self.rows.items() if key.startswith(prefix)})
        return {key: value for key, value in found.items() if value is not None}

    def count(self, prefix: str) -> int:
        """How many rows of a prefix there would be, tombstones counted in."""
        fresh = sum(key.startswith(prefix + "/") and key not in self.copy.items for key in self.rows)
        return self.copy.counts_by_prefix[prefix] + fresh

    def put(self, key: str, value: typing.Any, forget: bool = False) -> None:
        self.rows[key] = (value, forget)
        self.size += len(key) + len(repr(value))

    def batch(self) -> items.Batch:
        rows = tuple(items.Row(key, value, forget) for key, (value, forget) in self.rows.items())
        return items.Batch(self.new_version, self.copy.applied, rows)
