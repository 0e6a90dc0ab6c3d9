"""Versions of items and batches, which also serve as the ballot numbers of consensus."""

import typing

# Limits on the versions that are accepted from operators, from disk and from other nodes.
COUNTER_LIMIT = 2**60
COUNTER_DIGITS_LIMIT = 18
NODE_CHARACTERS_LIMIT = 160

WireVersion: typing.TypeAlias = tuple[int, str]


class Version(typing.NamedTuple):
    """A version number that is ordered by counter, then by node, so that no two nodes choose equal versions.

    >>> Version(2, "a") < Version(2, "b") < Version(3, "a")
    True
    >>> Version.parse(str(Version(7, "core-1~ab"))) == Version(7, "core-1~ab")
    True
    """

    counter: int
    node: str

    def __str__(self) -> str:
        return f"{self.counter}@{self.node}"

    @classmethod
    def parse(cls, text: str) -> "Version":
        """Parse a version in the form that operators see, `COUNTER@NODE`.

        Raises:
            ValueError: The counter is not a decimal number or has more than 18 digits.
        """
        counter, _, node = text.partition("@")
        if not counter.isdigit() or len(counter) > COUNTER_DIGITS_LIMIT:
            raise ValueError(f"{text!r} is not a serial of the form COUNTER@NODE")
        return cls(int(counter), node)

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Version":
        """Decode a version from the fields that `to_wire` returns.

        Raises:
            ValueError: A field has a wrong type or is out of range, or the number of fields is wrong.
            TypeError: `fields` is not a sequence.
        """
        counter, node = fields
        is_counter = type(counter) is int and 0 <= counter < COUNTER_LIMIT
        if not is_counter or not isinstance(node, str) or len(node) > NODE_CHARACTERS_LIMIT:
            raise ValueError("a version does not consist of a counter in range and a short node name")
        return cls(counter, node)

    def to_wire(self) -> WireVersion:
        """Return the version as a plain tuple, which is packed for other nodes and for the disk."""
        return (self.counter, self.node)

    def successor(self, node: str) -> "Version":
        """Return the lowest version above this one that `node` can choose."""
        return Version(self.counter + 1, node)


# Lower than every version that a node chooses; stands for nothing having been applied, promised or accepted.
NONE = Version(0, "")
