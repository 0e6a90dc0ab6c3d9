"""A copy of one table: items by key, the applied version, range digests, and how fresh it is known to be."""

import collections
import collections.abc
import hashlib
import typing
import zlib

import ormsgpack
import sortedcontainers

from irisstand.state import items, versions

RANGES = 256
WORD = 2**128
# Forgotten keys that are remembered, so that a peer not far behind can be told of them by name.
FORGOTTEN_KEPT = 2000
# Above every key, so that a search from (version, LAST) begins behind that version.
LAST = chr(0x10FFFF)


def range_of(key: str) -> int:
    return zlib.crc32(key.encode()) % RANGES


def hash_of(item: items.Item) -> int:
    packed = ormsgpack.packb(items.encode(item), option=ormsgpack.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.sha256(packed).digest()[:16])


class Replica:
    """Digests are sums of the hashes of a range's items, so a change costs what changed and no more."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.items: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.by_version: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.hashes: dict[str, int] = {}
        self.sums = [0] * RANGES
        self.counts: collections.Counter[str] = collections.Counter()
        self.forgotten: collections.deque[tuple[versions.Version, str]] = collections.deque(
            maxlen=FORGOTTEN_KEPT
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

    def under(self, prefix: str) -> collections.abc.Iterator[items.Item]:
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

    def after(self, applied: versions.Version) -> tuple[list[items.Item], list[str]]:
        """Items and forgettings above an applied version, as far as they are known; the root tells if that
        was all.
        """
        changed = [self.items[key] for _, key in self.by_version.irange((applied, LAST))]
        return changed, [
            key for version, key in self.forgotten if version > applied and key not in self.items
        ]

    # -- digests -------------------------------------------------------------------------------------
    def digests(self) -> tuple[bytes, ...]:
        return tuple(total.to_bytes(16)[8:] for total in self.sums)

    def root(self) -> bytes:
        return root_of(self.sums)

    def sums_with(self, keys: collections.abc.Iterable[str], other: "Replica") -> list[int]:
        """The sums of the ranges, were these keys as they are in the other copy."""
        sums = list(self.sums)
        for key in keys:
            number = range_of(key)
            change = other.hashes.get(key, 0) - self.hashes.get(key, 0)
            sums[number] = (sums[number] + change) % WORD
        return sums

    def range_items(self, numbers: set[int]) -> list[items.Item]:
        return [item for key, item in self.items.items() if range_of(key) in numbers]

    # -- changing ------------------------------------------------------------------------------------
    def put(self, item: items.Item, known_hash: int | None = None) -> None:
        """Set one item whatever stood there; digests, counts and the order by version follow."""
        self.remove(item.key)
        self.items[item.key] = item
        self.by_version.add((item.version, item.key))
        self.hashes[item.key] = hash_of(item) if known_hash is None else known_hash
        number = range_of(item.key)
        self.sums[number] = (self.sums[number] + self.hashes[item.key]) % WORD
        self.counts[prefix_of(item.key)] += 1

    def remove(self, key: str) -> bool:
        item = self.items.pop(key, None)
        if item is None:
            return False
        self.by_version.remove((item.version, key))
        number = range_of(key)
        self.sums[number] = (self.sums[number] - self.hashes.pop(key)) % WORD
        self.counts[prefix_of(key)] -= 1
        return True

    def merge(self, item: items.Item) -> bool:
        """Item by item, the higher version wins."""
        known = self.items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self.put(item)
        return True

    def forget(self, key: str, version: versions.Version) -> None:
        if self.remove(key):
            self.forgotten.append((version, key))

    def apply(self, batch: items.Batch) -> None:
        for key, value, forget in batch.rows:
            if forget:
                self.forget(key, batch.version)
            else:
                self.merge(items.Item(key, batch.version, value))
        self.applied = batch.version
        self.changed()

    def advance(
        self, applied: versions.Version, root: bytes, changed: list[items.Item], forgotten: list[str]
    ) -> bool:
        """Take what a peer has above this copy's applied version, if the outcome is its copy; or nothing.

        A forgetting that the peer no longer remembers would leave a row here that is gone everywhere.
        """
        if applied < self.applied:
            return False
        sums = list(self.sums)
        for key in {item.key for item in changed} | set(forgotten):
            number = range_of(key)
            sums[number] = (sums[number] - self.hashes.get(key, 0)) % WORD
        hashes = [hash_of(item) for item in changed]
        for item, value in zip(changed, hashes, strict=True):
            number = range_of(item.key)
            sums[number] = (sums[number] + value) % WORD
        if root_of(sums) != root:
            return False
        for key in forgotten:
            self.forget(key, applied)
        for item, value in zip(changed, hashes, strict=True):
            self.put(item, value)
        self.applied = applied
        self.changed()
        return True

    def install(self, ranges: dict[int, list[items.Item]]) -> None:
        """Make whole ranges what a peer has: what it lacks was forgotten, or is damage."""
        kept = {item.key for given in ranges.values() for item in given}
        for key in [key for key in self.items if range_of(key) in ranges and key not in kept]:
            self.remove(key)
        for given in ranges.values():
            for item in given:
                if self.items.get(item.key) != item:
                    self.put(item)

    def adopt(self, other: "Replica") -> bool:
        """Take a whole mended copy at once, so that nobody ever reads one that is half mended."""
        if other.applied < self.applied:
            return False
        self.take(other)
        self.changed()
        return True

    def take(self, other: "Replica") -> None:
        self.items, self.by_version, self.hashes = other.items, other.by_version, other.hashes
        self.sums, self.counts, self.forgotten = other.sums, other.counts, other.forgotten
        self.applied = other.applied

    def changed(self) -> None:
        for watcher in self.watchers:
            watcher()

    def clone(self) -> "Replica":
        twin = Replica(self.name)
        twin.items, twin.by_version = self.items.copy(), self.by_version.copy()
        twin.hashes, twin.sums = dict(self.hashes), list(self.sums)
        twin.counts, twin.forgotten = self.counts.copy(), self.forgotten.copy()
        twin.applied = self.applied
        return twin


def root_of(sums: list[int]) -> bytes:
    return hashlib.sha256(b"".join(total.to_bytes(16) for total in sums)).digest()[:16]


def prefix_of(key: str) -> str:
    """
    >>> prefix_of("claim/7f"), prefix_of("~voters")
    ('claim', '~voters')
    """
    return key.partition("/")[0]


def first_root(copy: Replica) -> bytes:
    """The root as the version before this one worked it out, over sixteen ranges: old folders bear it."""
    parts = [hashlib.sha256() for _ in range(16)]
    for key, item in copy.items.items():
        packed = ormsgpack.packb(items.encode(item), option=ormsgpack.OPT_SORT_KEYS)
        parts[zlib.crc32(key.encode()) % 16].update(packed)
    return hashlib.sha256(b"".join(part.digest()[:8] for part in parts)).digest()[:16]
