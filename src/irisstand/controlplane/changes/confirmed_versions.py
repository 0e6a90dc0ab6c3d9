"""The stored row of a versioned item, with the versions that were confirmed before the one in force.

Earlier versions are stored in the item's own row under `seen`, each with the digest of its content. They are
therefore decided, replicated and stored together with the item, and are kept as long as its row. The row of a
dropped item (`item` is None) is not a tombstone and never expires. Rows written by earlier software versions
have no `seen`.
"""

import dataclasses
import typing

from irisstand.validation import canonical_content, item_entries

# How many versions of an item are remembered besides the one in force; the highest ones are kept. A repeated
# version that is lower than all of these is confirmed without a check of its content.
REMEMBERED_VERSIONS_LIMIT = 32


class SeenVersion(typing.NamedTuple):
    """An earlier confirmed version of an item, and the digest of its content."""

    version: int
    digest: str


@dataclasses.dataclass(frozen=True)
class VersionedRow:
    """The stored row of a versioned item.

    Attributes:
        version: The version in force, with the number that its sender gave it.
        item: The content in force, None if the item was dropped.
        seen: Earlier confirmed versions in descending order; None if the stored row has no such field.
    """

    version: int
    item: typing.Any
    seen: tuple[SeenVersion, ...] | None = None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "VersionedRow | None":
        """Parse the stored value of a versioned item; return None if there is no value."""
        if value is None:
            return None
        if "seen" not in value:
            return cls(value["version"], value["item"])
        seen = tuple(SeenVersion(*pair) for pair in value["seen"])
        return cls(value["version"], value["item"], seen)

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value to store for this versioned item."""
        value = {"version": self.version, "item": self.item}
        if self.seen is None:
            return value
        return {**value, "seen": [list(seen) for seen in self.seen]}

    def conflicts_with(self, entry: item_entries.ItemEntry) -> bool | None:
        """Return whether the entry's version was confirmed with different content; None if that is not known.

        >>> row = VersionedRow(5, {"a": 1}, (SeenVersion(3, canonical_content.digest(None)),))
        >>> asked = [(5, {"a": 1.0}), (5, None), (3, None), (4, 1)]
        >>> [row.conflicts_with(item_entries.ItemEntry("route/a", version, item)) for version, item in asked]
        [False, True, False, None]
        """
        if self.version == entry.version:
            return not canonical_content.is_same(self.item, entry.item)
        for seen in self.seen or ():
            if seen.version == entry.version:
                return seen.digest != canonical_content.digest(entry.item)
        return None

    def superseded_by(self, entry: item_entries.ItemEntry) -> "VersionedRow":
        """Return the row with the entry's higher version in force and the present version listed as seen."""
        return VersionedRow(entry.version, entry.item, self.seen_versions_with(self.version, self.item))

    def with_late_version(self, entry: item_entries.ItemEntry) -> "VersionedRow":
        """Return the row with its version in force unchanged and the entry's lower version listed as seen."""
        return dataclasses.replace(self, seen=self.seen_versions_with(entry.version, entry.item))

    def seen_versions_with(self, version: int, item: typing.Any) -> tuple[SeenVersion, ...]:
        """Return the seen versions plus one, in descending order, up to `REMEMBERED_VERSIONS_LIMIT`."""
        seen = [*(self.seen or ()), SeenVersion(version, canonical_content.digest(item))]
        return tuple(sorted(seen, reverse=True)[:REMEMBERED_VERSIONS_LIMIT])
