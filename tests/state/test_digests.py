"""Digests of key ranges: the root digest depends on every change."""

from irisstand.state import digests


def test_root_follows_every_change_and_returns_with_the_content():
    sums = digests.RangeDigests()
    empty = sums.root()
    sums.add("a", 7)
    with_a = sums.root()
    sums.add("b", 9)
    with_both = sums.root()
    assert len({empty, with_a, with_both}) == 3
    sums.subtract("b", 9)
    assert sums.root() == with_a
    sums.subtract("a", 7)
    assert sums.root() == empty


def test_copy_has_a_root_of_its_own():
    sums = digests.RangeDigests()
    sums.add("a", 7)
    before = sums.root()
    twin = sums.copy()
    twin.add("b", 9)
    assert sums.root() == before
    assert twin.root() != before
