"""Weighted rendezvous hashing: all nodes that know the same candidates choose the same one for a key.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998; weights by Schindelhauer and
Schomaker, "Weighted Distributed Hash Tables", 2005.
"""

import collections.abc
import hashlib
import math

SLOT_COUNT = 256
HASH_BYTES = 8


def hash_fraction(*words: str) -> float:
    """Return a hash of the words as a number above 0 and below 1."""
    digest = hashlib.sha256("\0".join(words).encode()).digest()
    number = int.from_bytes(digest[:HASH_BYTES])
    return (number + 1) / (2**64 + 2)


def slot_of(key: str) -> int:
    """Return the number of the slot of an object's key, from 0 to below `SLOT_COUNT`."""
    return int(hash_fraction("slot", key) * SLOT_COUNT)


def ranked(key: str, candidates: collections.abc.Iterable[tuple[str, float]]) -> list[str]:
    """Return the names by falling score for the key; removing a name moves only the keys that it had.

    Args:
        key: The key that is assigned to a name.
        candidates: The names with their weights; names with the weight 0 are left out.

    >>> names = [("a", 1.0), ("b", 1.0), ("c", 0.0)]
    >>> ranked("7", names) == [name for name in ranked("7", [*names, ("d", 0.0)])]
    True
    """
    scored = [
        (-weight / math.log(hash_fraction(key, name)), name) for name, weight in candidates if weight > 0
    ]
    return [name for _, name in sorted(scored, reverse=True)]


def pick(key: str, candidates: collections.abc.Iterable[tuple[str, float]]) -> str:
    """Return the name with the highest score for the key; at least one weight must be above 0."""
    return ranked(key, candidates)[0]
