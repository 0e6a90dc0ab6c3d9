"""A map of items by key and by version, which keeps digests and counts of the items up to date."""

import collections
import collections.abc
import typing

import sortedcontainers

from irisstand.state import digests, items, versions


class ItemTable:
    """A sorted map of the items of one table.

    Attributes:
        items: All items by key, tombstones included, sorted by key.
        keys_by_version: A pair of version and key for each item, sorted.
        item_digests: The digest of each item, by key.
        digests: The digests of all key ranges.
        counts_by_prefix: The number of items, by the part of their keys before the first slash.
    """

    def __init__(self) -> None:
        self.items: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.keys_by_version: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.item_digests: dict[str, int] = {}
        self.digests = digests.RangeDigests()
        self.counts_by_prefix: collections.Counter[str] = collections.Counter()

    # -- reading -------------------------------------------------------------------------------------
    def value(self, key: str) -> typing.Any:
        """Return the value of a key, or None if the key is absent or holds a tombstone."""
        item = self.items.get(key)
        return None if item is None else item.value

    def version(self, key: str) -> versions.Version:
        """Return the version of a key, or `versions.NONE` if the key is absent."""
        item: items.Item | None = self.items.get(key)
        return versions.NONE if item is None else item.version

    def items_with_prefix(self, prefix: str) -> collections.abc.Iterator[items.Item]:
        """Yield the items whose keys begin with the prefix, sorted by key; tombstones are left out."""
        for key in self.items.irange(prefix):
            if not key.startswith(prefix):
                return
            if self.items[key].value is not None:
                yield self.items[key]

    def items_in_ranges(self, numbers: set[int]) -> list[items.Item]:
        """Return the items whose keys belong to the ranges with the given numbers, sorted by key."""
        return [item for key, item in self.items.items() if digests.range_number(key) in numbers]

    def range_digests(self) -> tuple[bytes, ...]:
        """Return the digest of each range, shortened to what is sent to a peer."""
        return self.digests.shortened()

    def root_digest(self) -> bytes:
        """Return one digest over all items of the table."""
        return self.digests.root()

    def digests_with(self, keys: collections.abc.Iterable[str], other: "ItemTable") -> digests.RangeDigests:
        """Return the range digests that this table would have if it held some keys as another table does.

        Args:
            keys: The keys to take from the other table; a key that it lacks counts as removed.
            other: The other table.
        """
        changed = self.digests.copy()
        for key in keys:
            changed.subtract(key, self.item_digests.get(key, 0))
            changed.add(key, other.item_digests.get(key, 0))
        return changed

    # -- changing ------------------------------------------------------------------------------------
    def put(self, item: items.Item, known_digest: int | None = None) -> None:
        """Store an item and replace the one with the same key, whatever its version.

        Args:
            item: The item to store.
            known_digest: The digest of the item, if the caller has already computed it.
        """
        self.remove(item.key)
        self.items[item.key] = item
        self.keys_by_version.add((item.version, item.key))
        digest = digests.item_digest(item) if known_digest is None else known_digest
        self.item_digests[item.key] = digest
        self.digests.add(item.key, digest)
        self.counts_by_prefix[key_prefix(item.key)] += 1

    def remove(self, key: str) -> bool:
        """Remove a key and its item. Return whether the table held the key."""
        item = self.items.pop(key, None)
        if item is None:
            return False
        self.keys_by_version.remove((item.version, key))
        self.digests.subtract(key, self.item_digests.pop(key))
        self.counts_by_prefix[key_prefix(key)] -= 1
        return True

    def merge(self, item: items.Item) -> bool:
        """Store an item if its key is absent or has a lower version. Return whether it was stored."""
        known = self.items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self.put(item)
        return True

    def replace_ranges(self, ranges: dict[int, list[items.Item]]) -> None:
        """Make whole ranges equal to a peer's: items that the peer lacks were removed, or are corrupt here.

        Args:
            ranges: All items that the peer holds in each of these ranges, by range number.
        """
        kept = {item.key for range_items in ranges.values() for item in range_items}
        for key in [key for key in self.items if digests.range_number(key) in ranges and key not in kept]:
            self.remove(key)
        for range_items in ranges.values():
            for item in range_items:
                if self.items.get(item.key) != item:
                    self.put(item)


def key_prefix(key: str) -> str:
    """Return the part of a key before the first slash.

    >>> key_prefix("claim/7f"), key_prefix("~voters")
    ('claim', '~voters')
    """
    return key.partition("/")[0]
