"""Quota shares of every service's rate limit, recorded in the ledger item `rate-parts`.

An owner uses its share, or lends tokens of it to other nodes. Shares are in units, which never add up to
more than `TOTAL_UNITS`. What is taken from one owner is given to another only after the first has certainly
stopped: an owner uses its share only while its replica of the ledger was confirmed less than `USABLE_SECONDS`
ago, and the next owner gets it after `REASSIGNMENT_DELAY_SECONDS`. See docs/control/ceilings.md.
"""

import typing

from irisstand.balancing import quota_shares

ITEM_KEY = "rate-parts"
TOTAL_UNITS = 1000
# Longer than any freshness bound: while the core restarts, recorded shares stay in use.
USABLE_SECONDS = 6.0
# `USABLE_SECONDS`, a window of five seconds, so that none counts both owners, and a second for clocks.
REASSIGNMENT_DELAY_SECONDS = 12.0
# Each owner has a short burst; with more owners these bursts would add up.
OWNER_LIMIT = 10
# Units that are taken for new owners at a time.
STEP_UNITS = 125
# A difference from the target that is left alone.
TOLERATED_UNITS = 10


class Candidate(typing.NamedTuple):
    """A node that could own a share; `position` counts the nodes of its site by name."""

    position: int
    site: str
    name: str


class UnitsPlan(typing.NamedTuple):
    """The next units by owner, and whether any were taken from an owner."""

    units: dict[str, int]
    is_reduced: bool


def choose_owners(holders: list[tuple[str, str]], edges: list[tuple[str, str]]) -> dict[str, float]:
    """Return who should own shares, with weights; each site has the same weight, as clients are beside all.

    Args:
        holders: Object holders as (name, site).
        edges: Edges as (name, site); they own shares where there are no holders.

    >>> choose_owners([("h1", "n"), ("h2", "n"), ("h3", "s")], [("e", "n")])
    {'h1': 0.5, 'h2': 0.5, 'h3': 1.0}
    """
    by_site: dict[str, list[str]] = {}
    for name, site in sorted(holders or edges):
        by_site.setdefault(site, []).append(name)
    # By position first, so that every site has owners where there are more nodes than may own shares.
    candidates = sorted(
        Candidate(position, site, name)
        for site, names in by_site.items()
        for position, name in enumerate(names)
    )
    owners = candidates[:OWNER_LIMIT]
    counts = {site: sum(owner.site == site for owner in owners) for site in by_site}
    return {owner.name: 1.0 / counts[owner.site] for owner in sorted(owners, key=lambda owner: owner.name)}


def plan(units: dict[str, int], weights: dict[str, float], *, is_frozen: bool) -> UnitsPlan:
    """Plan the next units of each owner.

    Owners that are gone lose all units at once. For new owners no more than `STEP_UNITS` are taken at a time,
    as nobody can use them until they are given.

    Args:
        units: The recorded units by owner.
        weights: Who should own shares, by `choose_owners`.
        is_frozen: Whether units were taken less than `REASSIGNMENT_DELAY_SECONDS` ago; then none are given.

    >>> plan({}, {"a": 1, "b": 1}, is_frozen=False)
    UnitsPlan(units={'a': 500, 'b': 500}, is_reduced=False)
    >>> plan({"a": 500, "b": 500}, {"b": 1, "c": 1}, is_frozen=False)
    UnitsPlan(units={'b': 500}, is_reduced=True)
    >>> plan({"b": 500}, {"b": 1, "c": 1}, is_frozen=True)
    UnitsPlan(units={'b': 500}, is_reduced=False)
    >>> plan({"b": 500}, {"b": 1, "c": 1}, is_frozen=False)
    UnitsPlan(units={'b': 500, 'c': 500}, is_reduced=False)
    >>> plan({"a": 1000}, {"a": 1, "b": 1}, is_frozen=False)
    UnitsPlan(units={'a': 875}, is_reduced=True)
    >>> plan({"a": 875}, {"a": 1, "b": 1}, is_frozen=False)
    UnitsPlan(units={'a': 875, 'b': 125}, is_reduced=False)
    """
    remaining = {name: share for name, share in units.items() if name in weights}
    if len(remaining) < len(units):
        return UnitsPlan(remaining, is_reduced=True)
    if is_frozen:
        return UnitsPlan(units, is_reduced=False)
    target = quota_shares.split(TOTAL_UNITS, weights)
    shortfalls = {name: target[name] - remaining.get(name, 0) for name in target}
    free = TOTAL_UNITS - sum(remaining.values())
    if free > 0:
        return UnitsPlan(distribute(remaining, shortfalls, free), is_reduced=False)
    if max(shortfalls.values()) <= TOLERATED_UNITS:
        return UnitsPlan(units, is_reduced=False)
    return UnitsPlan(take_units(remaining, shortfalls), is_reduced=True)


def take_units(units: dict[str, int], shortfalls: dict[str, int]) -> dict[str, int]:
    """Return the units after `STEP_UNITS` were taken from owners that have more than their target."""
    next_units = dict(units)
    left = STEP_UNITS
    for name in sorted(units):
        taken = min(left, max(0, -shortfalls[name]))
        next_units[name] -= taken
        left -= taken
    return {name: share for name, share in next_units.items() if share}


def distribute(units: dict[str, int], shortfalls: dict[str, int], free: int) -> dict[str, int]:
    """Return the units with the free ones added, to the owners that lack most first."""
    next_units = dict(units)
    for name in sorted(shortfalls, key=lambda name: (-shortfalls[name], name)):
        added = min(free, max(0, shortfalls[name]))
        free -= added
        if added:
            next_units[name] = next_units.get(name, 0) + added
    return next_units
