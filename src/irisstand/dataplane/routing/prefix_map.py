"""Values by path prefix: finds the longest prefix of a path without a walk through all prefixes."""

import collections
import typing

Value = typing.TypeVar("Value")


class PrefixMap(typing.Generic[Value]):
    """A lookup costs one step for each length that prefixes have, however many there are.

    >>> prefixes = PrefixMap()
    >>> prefixes.add("/", "all", 1), prefixes.add("/a/", "some", 2)
    (None, None)
    >>> prefixes.longest_match("/a/b"), prefixes.longest_match("/b"), prefixes.longest_match("b")
    (2, 1, None)
    """

    def __init__(self) -> None:
        # The values of one prefix by their names: two spellings of a host may each have one.
        self.by_prefix: dict[str, dict[str, Value]] = {}
        self.counts: collections.Counter[int] = collections.Counter()
        # The longest first.
        self.lengths: list[int] = []

    def is_empty(self) -> bool:
        """Tell whether there is no prefix."""
        return not self.by_prefix

    def add(self, prefix: str, name: str, value: Value) -> None:
        """Set the value of a prefix under a name."""
        values_by_name = self.by_prefix.get(prefix)
        if values_by_name is None:
            values_by_name = self.by_prefix[prefix] = {}
            self.change_count(len(prefix), 1)
        values_by_name[name] = value

    def remove(self, prefix: str, name: str) -> None:
        """Remove the value of a prefix under a name, which must be there."""
        values_by_name = self.by_prefix[prefix]
        del values_by_name[name]
        if not values_by_name:
            del self.by_prefix[prefix]
            self.change_count(len(prefix), -1)

    def change_count(self, length: int, change: int) -> None:
        """Count one prefix of that length more (1) or less (-1)."""
        before = self.counts[length]
        after = before + change
        self.counts[length] = after
        if after == 0:
            del self.counts[length]
        if 0 in (before, after):
            self.lengths = sorted(self.counts, reverse=True)

    def longest_match(self, path: str) -> Value | None:
        """Return the value of the longest prefix of the path; of several, the first by name."""
        for length in self.lengths:
            values_by_name = self.by_prefix.get(path[:length])
            if values_by_name is not None:
                return values_by_name[min(values_by_name)]
        return None
