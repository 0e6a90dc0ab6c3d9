"""A copy of one table: items by key, the applied version, range digests, and how fresh it is known to be."""

import collections
import collections.abc
import hashlib
import typing
import zlib

import ormsgpack
import sortedcontainers

from irisstand.state import items, versions

RANGE_COUNT = 256
DIGEST_MODULUS = 2**128
# Forgotten keys that are remembered, so that a peer not far behind can be told of them by name.
REMOVAL_RECORDS_LIMIT = 2000
# Above every key, so that a search from (version, LAST) begins behind that version.
KEY_UPPER_BOUND = chr(0x10FFFF)


def range_number(key: str) -> int:
    return zlib.crc32(key.encode()) % RANGE_COUNT


def item_digest(item: items.Item) -> int:
    packed = ormsgpack.packb(item.to_wire(), option=ormsgpack.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.sha256(packed).digest()[:16])


class Replica:
    """Digests are sums of the hashes of a range's items, so a change costs what changed and no more."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.items: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.keys_by_version: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.hashes: dict[str, int] = {}
        self.range_sums = [0] * RANGE_COUNT
        self.counts_by_prefix: collections.Counter[str] = collections.Counter()
        self.removal_records: collections.deque[tuple[versions.Version, str]] = collections.deque(
            maxlen=REMOVAL_RECORDS_LIMIT
        )
        self.applied = versions.NONE
        self.current_as_of: float | None = None
        self.watchers: list[collections.abc.Callable[[], None]] = []

    # -- reading -------------------------------------------------------------------------------------
    def value(self, key: str) -> typing.Any:
        item = self.items.get(key)
        return None if item is None else item.value

    def version(self, key: str) -> versions.Version:
        item = self.items.get(key)
        return versions.NONE if item is None else item.version

    def items_with_prefix(self, prefix: str) -> collections.abc.Iterator[items.Item]:
        """Living items whose keys begin with the prefix, in the order of their keys."""
        for key in self.items.irange(prefix):
            if not key.startswith(prefix):
                return
            if self.items[key].value is not None:
                yield self.items[key]

    def age(self, now: float) -> float | None:
        return None if self.current_as_of is None else now - self.current_as_of

    def confirm_current(self, moment: float) -> None:
        """Known current as of `moment`, which is when the question was sent, not when it was answered."""
        if self.current_as_of is None or moment > self.current_as_of:
            self.current_as_of = moment

    def changes_since(self, applied: versions.Version) -> tuple[list[items.Item], list[str]]:
        """Items and forgettings above an applied version, as far as they are known; the root tells if that
        was all.
        """
        changed = [self.items[key] for _, key in self.keys_by_version.irange((applied, KEY_UPPER_BOUND))]
        return changed, [
            key for version, key in self.removal_records if version > applied and key not in self.items
        ]

    # -- digests -------------------------------------------------------------------------------------
    def range_digests(self) -> tuple[bytes, ...]:
        return tuple(total.to_bytes(16)[8:] for total in self.range_sums)

    def root_digest(self) -> bytes:
        return root_digest_of(self.range_sums)

    def range_sums_with(self, keys: collections.abc.Iterable[str], other: "Replica") -> list[int]:
        """The sums of the ranges, were these keys as they are in the other copy."""
        sums = list(self.range_sums)
        for key in keys:
            number = range_number(key)
            change = other.hashes.get(key, 0) - self.hashes.get(key, 0)
            sums[number] = (sums[number] + change) % DIGEST_MODULUS
        return sums

    def items_in_ranges(self, numbers: set[int]) -> list[items.Item]:
        return [item for key, item in self.items.items() if range_number(key) in numbers]

    # -- changing ------------------------------------------------------------------------------------
    def put(self, item: items.Item, known_hash: int | None = None) -> None:
        """Set one item whatever stood there; digests, counts and the order by version follow."""
        self.remove(item.key)
        self.items[item.key] = item
        self.keys_by_version.add((item.version, item.key))
        self.hashes[item.key] = item_digest(item) if known_hash is None else known_hash
        number = range_number(item.key)
        self.range_sums[number] = (self.range_sums[number] + self.hashes[item.key]) % DIGEST_MODULUS
        self.counts_by_prefix[key_prefix(item.key)] += 1

    def remove(self, key: str) -> bool:
        item = self.items.pop(key, None)
        if item is None:
            return False
        self.keys_by_version.remove((item.version, key))
        number = range_number(key)
        self.range_sums[number] = (self.range_sums[number] - self.hashes.pop(key)) % DIGEST_MODULUS
        self.counts_by_prefix[key_prefix(key)] -= 1
        return True

    def merge(self, item: items.Item) -> bool:
        """Item by item, the higher version wins."""
        known = self.items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self.put(item)
        return True

    def remove_and_record(self, key: str, version: versions.Version) -> None:
        if self.remove(key):
            self.removal_records.append((version, key))

    def apply(self, batch: items.Batch) -> None:
        for key, value, forget in batch.rows:
            if forget:
                self.remove_and_record(key, batch.version)
            else:
                self.merge(items.Item(key, batch.version, value))
        self.applied = batch.version
        self.notify_watchers()

    def apply_changes(
        self, applied: versions.Version, root: bytes, changed: list[items.Item], forgotten: list[str]
    ) -> bool:
        """Take what a peer has above this copy's applied version, if the outcome is its copy; or nothing.

        A forgetting that the peer no longer remembers would leave a row here that is gone everywhere.
        """
        if applied < self.applied:
            return False
        sums = list(self.range_sums)
        for key in {item.key for item in changed} | set(forgotten):
            number = range_number(key)
            sums[number] = (sums[number] - self.hashes.get(key, 0)) % DIGEST_MODULUS
        hashes = [item_digest(item) for item in changed]
        for item, value in zip(changed, hashes, strict=True):
            number = range_number(item.key)
            sums[number] = (sums[number] + value) % DIGEST_MODULUS
        if root_digest_of(sums) != root:
            return False
        for key in forgotten:
            self.remove_and_record(key, applied)
        for item, value in zip(changed, hashes, strict=True):
            self.put(item, value)
        self.applied = applied
        self.notify_watchers()
        return True

    def replace_ranges(self, ranges: dict[int, list[items.Item]]) -> None:
        """Make whole ranges what a peer has: what it lacks was forgotten, or is damage."""
        kept = {item.key for given in ranges.values() for item in given}
        for key in [key for key in self.items if range_number(key) in ranges and key not in kept]:
            self.remove(key)
        for given in ranges.values():
            for item in given:
                if self.items.get(item.key) != item:
                    self.put(item)

    def replace_unless_older(self, other: "Replica") -> bool:
        """Take a whole mended copy at once, so that nobody ever reads one that is half mended."""
        if other.applied < self.applied:
            return False
        self.replace_content(other)
        self.notify_watchers()
        return True

    def replace_content(self, other: "Replica") -> None:
        self.items, self.keys_by_version, self.hashes = other.items, other.keys_by_version, other.hashes
        self.range_sums, self.counts_by_prefix, self.removal_records = (
            other.range_sums,
            other.counts_by_prefix,
            other.removal_records,
        )
        self.applied = other.applied

    def notify_watchers(self) -> None:
        for watcher in self.watchers:
            watcher()

    def clone(self) -> "Replica":
        twin = Replica(self.name)
        twin.items, twin.keys_by_version = self.items.copy(), self.keys_by_version.copy()
        twin.hashes, twin.range_sums = dict(self.hashes), list(self.range_sums)
        twin.counts_by_prefix, twin.removal_records = (
            self.counts_by_prefix.copy(),
            self.removal_records.copy(),
        )
        twin.applied = self.applied
        return twin


def root_digest_of(sums: list[int]) -> bytes:
    return hashlib.sha256(b"".join(total.to_bytes(16) for total in sums)).digest()[:16]


def key_prefix(key: str) -> str:
    """
    >>> key_prefix("claim/7f"), key_prefix("~voters")
    ('claim', '~voters')
    """
    return key.partition("/")[0]


def legacy_root_digest(copy: Replica) -> bytes:
    """The root as the version before this one worked it out, over sixteen ranges: old folders bear it."""
    parts = [hashlib.sha256() for _ in range(16)]
    for key, item in copy.items.items():
        packed = ormsgpack.packb(item.to_wire(), option=ormsgpack.OPT_SORT_KEYS)
        parts[zlib.crc32(key.encode()) % 16].update(packed)
    return hashlib.sha256(b"".join(part.digest()[:8] for part in parts)).digest()[:16]
