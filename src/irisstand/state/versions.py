"""Versions: the version that each item carries, and the number of each ballot."""

import typing


class Version(typing.NamedTuple):
    """Ordered by counter, then by the node that drew it, so that no two draws are equal.

    >>> Version(2, "a") < Version(2, "b") < Version(3, "a")
    True
    >>> parse(str(Version(7, "core-1~ab"))) == Version(7, "core-1~ab")
    True
    """

    counter: int
    node: str

    def __str__(self) -> str:
        return f"{self.counter}@{self.node}"

    def after(self, node: str) -> "Version":
        return Version(self.counter + 1, node)


NONE = Version(0, "")


def parse(text: str) -> Version:
    counter, _, node = text.partition("@")
    if not counter.isdigit() or len(counter) > 18:
        raise ValueError(f"{text!r} is not a serial")
    return Version(int(counter), node)


def decode(parts: typing.Any) -> Version:
    counter, node = parts
    if type(counter) is not int or not 0 <= counter < 2**60 or not isinstance(node, str) or len(node) > 160:
        raise ValueError("not a serial")
    return Version(counter, node)
