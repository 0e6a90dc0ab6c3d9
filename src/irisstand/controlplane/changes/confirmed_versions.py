"""The stored row of a versioned item, with the versions that were confirmed before the one in force.

Earlier versions stand in the item's own row under `seen`, each with the digest of its content. So they are
decided, replicated and stored together with the item and last as long as its row: the row of a dropped item
(`item` None) is no tombstone and never expires. Rows of earlier software have no `seen`.
"""

import dataclasses
import typing

from irisstand.validation import canonical_content, item_entries

# How many versions beside the one in force are remembered, the highest first. A lower version that comes
# again is confirmed without a check of its content.
REMEMBERED_VERSIONS_LIMIT = 32


class SeenVersion(typing.NamedTuple):
    """A version that was confirmed before, and the digest of its content."""

    version: int
    digest: str


@dataclasses.dataclass(frozen=True)
class VersionedRow:
    """The stored row of a versioned item.

    Attributes:
        version: The version in force, as its sender numbered it.
        item: The content in force, None if the item was dropped.
        seen: Earlier versions from the highest on; None in rows that have none.
    """

    version: int
    item: typing.Any
    seen: tuple[SeenVersion, ...] | None = None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "VersionedRow | None":
        """Read a stored row, None if there is none."""
        if value is None:
            return None
        if "seen" not in value:
            return cls(value["version"], value["item"])
        seen = tuple(SeenVersion(*pair) for pair in value["seen"])
        return cls(value["version"], value["item"], seen)

    def to_value(self) -> dict[str, typing.Any]:
        """Return the row to store."""
        value = {"version": self.version, "item": self.item}
        if self.seen is None:
            return value
        return {**value, "seen": [list(seen) for seen in self.seen]}

    def conflicts_with(self, entry: item_entries.ItemEntry) -> bool | None:
        """Return whether the entry's version was confirmed with another content; None if it is not known.

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
        """Return the row with a higher version in force, and the present one among those seen."""
        return VersionedRow(entry.version, entry.item, self.seen_versions_with(self.version, self.item))

    def with_late_version(self, entry: item_entries.ItemEntry) -> "VersionedRow":
        """Return the row as it stands, with a lower version that came late among those seen."""
        return dataclasses.replace(self, seen=self.seen_versions_with(entry.version, entry.item))

    def seen_versions_with(self, version: int, item: typing.Any) -> tuple[SeenVersion, ...]:
        """Return the versions seen with one more, from the highest on, as many as are remembered."""
        seen = [*(self.seen or ()), SeenVersion(version, canonical_content.digest(item))]
        return tuple(sorted(seen, reverse=True)[:REMEMBERED_VERSIONS_LIMIT])
