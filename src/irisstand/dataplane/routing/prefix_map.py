"""Things by path prefix: the longest prefix that begins a path, found without a walk through all of them."""

import collections
import typing

Value = typing.TypeVar("Value")


class PrefixMap(typing.Generic[Value]):
    """A lookup costs one step for each length that prefixes have, however many there are.

    >>> found = Prefixes()
    >>> found.add("/", "all", 1), found.add("/a/", "some", 2)
    (None, None)
    >>> found.longest("/a/b"), found.longest("/b"), found.longest("b")
    (2, 1, None)
    """

    def __init__(self) -> None:
        # Things of one prefix by their names: two spellings of a host may each have one.
        self.by_prefix: dict[str, dict[str, Value]] = {}
        self.counts: collections.Counter[int] = collections.Counter()
        # The longest first.
        self.lengths: list[int] = []

    def is_empty(self) -> bool:
        return not self.by_prefix

    def add(self, prefix: str, name: str, thing: Value) -> None:
        named = self.by_prefix.get(prefix)
        if named is None:
            named = self.by_prefix[prefix] = {}
            self.count(len(prefix), 1)
        named[name] = thing

    def remove(self, prefix: str, name: str) -> None:
        named = self.by_prefix[prefix]
        del named[name]
        if not named:
            del self.by_prefix[prefix]
            self.count(len(prefix), -1)

    def count(self, length: int, change: int) -> None:
        """One prefix more or less of that length."""
        before = self.counts[length]
        self.counts[length] = before + change
        if before + change == 0:
            del self.counts[length]
        if 0 in (before, before + change):
            self.lengths = sorted(self.counts, reverse=True)

    def longest_match(self, path: str) -> Value | None:
        """What has the longest prefix that the path begins with; of several, the first by name."""
        for length in self.lengths:
            named = self.by_prefix.get(path[:length])
            if named is not None:
                return named[min(named)]
        return None
