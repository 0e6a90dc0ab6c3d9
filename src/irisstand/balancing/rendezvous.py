"""Draws that every node makes alike from the same picture: weighted rendezvous."""

import collections.abc
import hashlib
import math

SLOT_COUNT = 256


def hash_fraction(*words: str) -> float:
    """A number above 0 and below 1 that only the words decide."""
    number = int.from_bytes(hashlib.sha256("\0".join(words).encode()).digest()[:8])
    return (number + 1) / (2**64 + 2)


def slot_of(key: str) -> int:
    return int(hash_fraction("slot", key) * SLOT_COUNT)


def ranked(key: str, candidates: collections.abc.Iterable[tuple[str, float]]) -> list[str]:
    """Names in the order of their weighted scores; a name that goes away moves only its own keys.

    >>> names = [("a", 1.0), ("b", 1.0), ("c", 0.0)]
    >>> order("7", names) == [name for name in order("7", [*names, ("d", 0.0)])]
    True
    """
    scored = [
        (-weight / math.log(hash_fraction(key, name)), name) for name, weight in candidates if weight > 0
    ]
    return [name for _, name in sorted(scored, reverse=True)]


def pick(key: str, candidates: list[tuple[str, float]]) -> str:
    """One of the names, drawn by weight and by the key alone."""
    found = ranked(key, candidates)
    return found[0]
