"""Plans the nodes' quota shares of rate limits, which the ledger item `rate-parts` records.

An owner of a share uses its tokens or leases them to other nodes. Shares are in units, whose sum never
exceeds `TOTAL_UNITS`. Units of one owner go to another only after the first has certainly stopped using them:
an owner uses its share only for `USABLE_SECONDS` after its replica of the ledger was last confirmed to be
current, and the next owner gets the units after `REASSIGNMENT_DELAY_SECONDS`. See docs/control/ceilings.md.
"""

import typing

from irisstand.balancing import quota_shares

ITEM_KEY = "rate-parts"
TOTAL_UNITS = 1000
# Longer than any freshness bound, so that recorded shares stay in use while the control plane restarts.
USABLE_SECONDS = 6.0
# The sum of `USABLE_SECONDS`, a window of five seconds, so that no window counts requests of both owners, and
# one second for differences between clocks.
REASSIGNMENT_DELAY_SECONDS = 12.0
# The maximum number of owners. Each may send a short burst, and with more owners the bursts would add up.
OWNER_LIMIT = 10
# The units that one plan takes from owners in favour of new ones.
STEP_UNITS = 125
# Owners may have this many units fewer than their target without a new plan.
TOLERATED_UNITS = 10


class Candidate(typing.NamedTuple):
    """A node that could own a share; `position` is its rank by name among the nodes of its site."""

    position: int
    site: str
    name: str


class UnitsPlan(typing.NamedTuple):
    """The planned units by owner, and whether the plan takes units from any owner."""

    units: dict[str, int]
    is_reduced: bool


def choose_owners(holders: list[tuple[str, str]], edges: list[tuple[str, str]]) -> dict[str, float]:
    """Return the nodes that should own shares, with weights; the weights of each site add up to one.

    All sites have the same weight, as there are clients near each of them.

    Args:
        holders: The object holders as (name, site).
        edges: The edges as (name, site); they own shares only if there are no holders.

    >>> choose_owners([("h1", "n"), ("h2", "n"), ("h3", "s")], [("e", "n")])
    {'h1': 0.5, 'h2': 0.5, 'h3': 1.0}
    """
    by_site: dict[str, list[str]] = {}
    for name, site in sorted(holders or edges):
        by_site.setdefault(site, []).append(name)
    # Sorted by position first, so that every site has owners even if there are more nodes than the limit.
    candidates = sorted(
        Candidate(position, site, name)
        for site, names in by_site.items()
        for position, name in enumerate(names)
    )
    owners = candidates[:OWNER_LIMIT]
    counts = {site: sum(owner.site == site for owner in owners) for site in by_site}
    return {owner.name: 1.0 / counts[owner.site] for owner in sorted(owners, key=lambda owner: owner.name)}


def plan(units: dict[str, int], weights: dict[str, float], *, is_frozen: bool) -> UnitsPlan:
    """Plan the next number of units of each owner.

    Nodes that should no longer own a share lose all units at once. For new owners, at most `STEP_UNITS` are
    taken at a time, because no node can use them until a later plan assigns them.

    Args:
        units: The recorded units by owner.
        weights: The nodes that should own shares, with weights, from `choose_owners`.
        is_frozen: Whether units were taken from an owner less than `REASSIGNMENT_DELAY_SECONDS` ago; then no
            owner gets units.

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
    """Return the units by owner after up to `STEP_UNITS` were taken from owners above their targets."""
    next_units = dict(units)
    left = STEP_UNITS
    for name in sorted(units):
        taken = min(left, max(0, -shortfalls[name]))
        next_units[name] -= taken
        left -= taken
    return {name: share for name, share in next_units.items() if share}


def distribute(units: dict[str, int], shortfalls: dict[str, int], free: int) -> dict[str, int]:
    """Return the units by owner after the free ones went to the owners furthest below their targets."""
    next_units = dict(units)
    for name in sorted(shortfalls, key=lambda name: (-shortfalls[name], name)):
        added = min(free, max(0, shortfalls[name]))
        free -= added
        if added:
            next_units[name] = next_units.get(name, 0) + added
    return next_units
