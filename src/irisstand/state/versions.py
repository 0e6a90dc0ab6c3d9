"""Versions of items and batches, which are also the ballot numbers of consensus rounds."""

import typing

COUNTER_LIMIT = 2**60
COUNTER_DIGITS_LIMIT = 18
NODE_CHARACTERS_LIMIT = 160

WireVersion: typing.TypeAlias = tuple[int, str]


class Version(typing.NamedTuple):
    """Ordered by counter, then by the node that chose it, so that two nodes never choose equal versions.

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
        """Read a version in the form that operators see, `COUNTER@NODE`.

        Raises:
            ValueError: The counter is no number or has more than 18 digits.
        """
        counter, _, node = text.partition("@")
        if not counter.isdigit() or len(counter) > COUNTER_DIGITS_LIMIT:
            raise ValueError(f"{text!r} is not a serial")
        return cls(int(counter), node)

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Version":
        """Decode a version.

        Raises:
            ValueError: A field has a wrong type or is out of range, or there is another number of fields.
            TypeError: `fields` is no sequence.
        """
        counter, node = fields
        is_counter = type(counter) is int and 0 <= counter < COUNTER_LIMIT
        if not is_counter or not isinstance(node, str) or len(node) > NODE_CHARACTERS_LIMIT:
            raise ValueError("not a serial")
        return cls(counter, node)

    def to_wire(self) -> WireVersion:
        """Return the version as a plain tuple, as it is packed on the wire and on disk."""
        return (self.counter, self.node)

    def successor(self, node: str) -> "Version":
        """Return the lowest version of `node` that is above this one."""
        return Version(self.counter + 1, node)


# Below every version that a node chooses: nothing has been applied, promised or accepted.
NONE = Version(0, "")
