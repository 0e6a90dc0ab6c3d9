"""Digests that show whether two replicas hold the same items, and in which ranges of keys they differ.

A range is the set of keys with the same checksum modulo `RANGE_COUNT`. The digest of a range is the sum of
the digests of its items, so updating it for one changed item costs the same whatever the size of the table.
"""

import collections.abc
import hashlib
import zlib

import ormsgpack

from irisstand.state import items

RANGE_COUNT = 256
DIGEST_BYTES = 16
DIGEST_MODULUS = 2 ** (8 * DIGEST_BYTES)
# How many low-order bytes of each range digest are sent to a peer.
SHORT_DIGEST_BYTES = 8
# The number of ranges in the root digests that the first version of irisstand wrote to disk.
LEGACY_RANGE_COUNT = 16


def range_number(key: str) -> int:
    """Return the number of the range that a key belongs to."""
    return zlib.crc32(key.encode()) % RANGE_COUNT


def item_digest(item: items.Item) -> int:
    """Return the digest of one item, as an integer below `DIGEST_MODULUS`."""
    packed = ormsgpack.packb(item.to_wire(), option=ormsgpack.OPT_SORT_KEYS)
    return int.from_bytes(hashlib.sha256(packed).digest()[:DIGEST_BYTES])


class RangeDigests:
    """The digest of each key range of one replica.

    Attributes:
        sums: The digest of each range by range number, which is the sum of the digests of its items modulo
            `DIGEST_MODULUS`.
    """

    def __init__(self, sums: list[int] | None = None) -> None:
        self.sums = [0] * RANGE_COUNT if sums is None else sums
        # The root digest is cached: every replication request contains it, and most find the table unchanged.
        self._known_root: bytes | None = None

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RangeDigests) and self.sums == other.sums

    def add(self, key: str, digest: int) -> None:
        """Add an item's digest to the digest of the range that holds its key."""
        number = range_number(key)
        self.sums[number] = (self.sums[number] + digest) % DIGEST_MODULUS
        self._known_root = None

    def subtract(self, key: str, digest: int) -> None:
        """Subtract an item's digest from the digest of the range that holds its key."""
        number = range_number(key)
        self.sums[number] = (self.sums[number] - digest) % DIGEST_MODULUS
        self._known_root = None

    def copy(self) -> "RangeDigests":
        """Return a copy of the range digests that can be changed independently of this object."""
        return RangeDigests(list(self.sums))

    def shortened(self) -> tuple[bytes, ...]:
        """Return the digest of each range, shortened to the `SHORT_DIGEST_BYTES` that are sent to a peer."""
        return tuple(total.to_bytes(DIGEST_BYTES)[-SHORT_DIGEST_BYTES:] for total in self.sums)

    def root(self) -> bytes:
        """Return one digest over all ranges, which is equal for replicas that hold equal items."""
        if self._known_root is None:
            packed = b"".join(total.to_bytes(DIGEST_BYTES) for total in self.sums)
            self._known_root = hashlib.sha256(packed).digest()[:DIGEST_BYTES]
        return self._known_root


def legacy_root_digest(sorted_items: collections.abc.Iterable[items.Item]) -> bytes:
    """Return the root digest as the first version of irisstand wrote it to disk, over sixteen ranges.

    Args:
        sorted_items: All items of the table, sorted by key.
    """
    hashes = [hashlib.sha256() for _ in range(LEGACY_RANGE_COUNT)]
    for item in sorted_items:
        packed = ormsgpack.packb(item.to_wire(), option=ormsgpack.OPT_SORT_KEYS)
        hashes[zlib.crc32(item.key.encode()) % LEGACY_RANGE_COUNT].update(packed)
    shortened = b"".join(one.digest()[:SHORT_DIGEST_BYTES] for one in hashes)
    return hashlib.sha256(shortened).digest()[:DIGEST_BYTES]
