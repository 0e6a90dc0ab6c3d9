"""Parts of every service's rate, recorded in the ledger: their owners use them, or lend places out of them.

The recorded units never add up to more than the whole. What is taken from an owner is given to another only
after the owner has certainly stopped: an owner uses its part for as long as its copy of the ledger was
confirmed less than `USED_FOR` seconds ago, and the next owner waits for `LAPSE`.
"""

from irisstand.balancing import quota_shares

ITEM_KEY = "rate-parts"
TOTAL_UNITS = 1000
# Longer than any freshness bound: while the core restarts, what was recorded goes on being used.
USABLE_SECONDS = 6.0
# Longer than `USED_FOR` by a window of five seconds, so that no window sees both owners; and for clocks.
REASSIGNMENT_DELAY_SECONDS = 12.0
# Each owner may use a little at once; with more owners these little bursts would add up.
OWNER_LIMIT = 10
# Units taken for newcomers at a time, and a difference that is left alone.
STEP_UNITS, TOLERATED_UNITS = 125, 10


def choose_owners(holders: list[tuple[str, str]], edges: list[tuple[str, str]]) -> dict[str, float]:
    """Who should own parts, with weights: holders by (name, site), or edges where there are none.

    Sites count alike, as clients live beside all of them.

    >>> choose([("h1", "n"), ("h2", "n"), ("h3", "s")], [("e", "n")])
    {'h1': 0.5, 'h2': 0.5, 'h3': 1.0}
    """
    found = holders or edges
    by_site: dict[str, list[str]] = {}
    for name, site in sorted(found):
        by_site.setdefault(site, []).append(name)
    # In turns among the sites, so that none is left out where there are more than may own.
    turns = sorted((place, site, name) for site, names in by_site.items() for place, name in enumerate(names))
    kept = turns[:OWNER_LIMIT]
    counts = {site: sum(entry[1] == site for entry in kept) for site in by_site}
    return {name: 1.0 / counts[site] for _, site, name in sorted(kept, key=lambda entry: entry[2])}


def plan(units: dict[str, int], weights: dict[str, float], is_frozen: bool) -> tuple[dict[str, int], bool]:
    """The next units, and whether something was taken from anybody; then nothing is given for `LAPSE`.

    Those who are gone lose all at once; for newcomers no more than `STEP` is taken at a time, as it is of use
    to nobody until it can be given.

    >>> plan({}, {"a": 1, "b": 1}, False)
    ({'a': 500, 'b': 500}, False)
    >>> plan({"a": 500, "b": 500}, {"b": 1, "c": 1}, False)
    ({'b': 500}, True)
    >>> plan({"b": 500}, {"b": 1, "c": 1}, True), plan({"b": 500}, {"b": 1, "c": 1}, False)
    (({'b': 500}, False), ({'b': 500, 'c': 500}, False))
    >>> plan({"a": 1000}, {"a": 1, "b": 1}, False), plan({"a": 875}, {"a": 1, "b": 1}, False)
    (({'a': 875}, True), ({'a': 875, 'b': 125}, False))
    """
    kept = {name: share for name, share in units.items() if name in weights}
    if len(kept) < len(units):
        return kept, True
    if is_frozen:
        return units, False
    target = quota_shares.split(TOTAL_UNITS, weights)
    lacking = {name: target[name] - kept.get(name, 0) for name in target}
    free = TOTAL_UNITS - sum(kept.values())
    if free > 0:
        return distribute(kept, lacking, free), False
    if max(lacking.values()) <= TOLERATED_UNITS:
        return units, False
    left = STEP_UNITS
    for name in sorted(kept):
        taken = min(left, max(0, -lacking[name]))
        kept[name] -= taken
        left -= taken
    return {name: share for name, share in kept.items() if share}, True


def distribute(units: dict[str, int], lacking: dict[str, int], free: int) -> dict[str, int]:
    """Units with what is free added, to those who lack most first."""
    given = dict(units)
    for name in sorted(lacking, key=lambda name: (-lacking[name], name)):
        added = min(free, max(0, lacking[name]))
        free -= added
        if added:
            given[name] = given.get(name, 0) + added
    return given
