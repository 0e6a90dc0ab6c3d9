"""Maps path prefixes to values and finds the longest prefix of a path without comparing all prefixes."""

import collections
import typing

Value = typing.TypeVar("Value")


class PrefixMap(typing.Generic[Value]):
    """Maps path prefixes to values; a lookup takes one step for each distinct length of a prefix.

    >>> prefixes = PrefixMap()
    >>> prefixes.add("/", "all", 1), prefixes.add("/a/", "some", 2)
    (None, None)
    >>> prefixes.longest_match("/a/b"), prefixes.longest_match("/b"), prefixes.longest_match("b")
    (2, 1, None)
    """

    def __init__(self) -> None:
        # The values of each prefix by name. A prefix has several if operators spell its host in several ways.
        self.by_prefix: dict[str, dict[str, Value]] = {}
        # The number of prefixes by length.
        self.counts: collections.Counter[int] = collections.Counter()
        # The distinct lengths of prefixes, the longest first.
        self.lengths: list[int] = []

    def is_empty(self) -> bool:
        """Return whether the map has no prefixes."""
        return not self.by_prefix

    def add(self, prefix: str, name: str, value: Value) -> None:
        """Set the value that a prefix has under a name."""
        values_by_name = self.by_prefix.get(prefix)
        if values_by_name is None:
            values_by_name = self.by_prefix[prefix] = {}
            self.change_count(len(prefix), 1)
        values_by_name[name] = value

    def remove(self, prefix: str, name: str) -> None:
        """Remove the value that a prefix has under a name; raises KeyError if there is none."""
        values_by_name = self.by_prefix[prefix]
        del values_by_name[name]
        if not values_by_name:
            del self.by_prefix[prefix]
            self.change_count(len(prefix), -1)

    def change_count(self, length: int, change: int) -> None:
        """Add `change`, which is 1 or -1, to the number of prefixes of a length."""
        before = self.counts[length]
        after = before + change
        self.counts[length] = after
        if after == 0:
            del self.counts[length]
        if 0 in (before, after):
            self.lengths = sorted(self.counts, reverse=True)

    def longest_match(self, path: str) -> Value | None:
        """Return the value of the path's longest prefix, the first by name if it has several; else None."""
        for length in self.lengths:
            values_by_name = self.by_prefix.get(path[:length])
            if values_by_name is not None:
                return values_by_name[min(values_by_name)]
        return None
