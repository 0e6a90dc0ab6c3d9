"""Each table's own time, and what has stood in it for long enough to be forgotten.

Table time is a row that a holder of a duty raises by what went by on its monotonic clock since it saw the
row's last version. It never runs faster than real time, whoever raises it, and stands still while nobody
does.
So what is to be kept for an hour of it is kept for an hour at the least, through changes of holder and total
loss.
"""

import typing

from irisstand import errors
from irisstand.controlplane.changes import overlay as overlays
from irisstand.state import item_table, items, versions

# A step longer than this is a holder that slept; counting less is always safe.
STEP_LIMIT_SECONDS = 60.0
# How much closer than their age marks may lie together.
MARK_SPACING_RATIO = 0.1
REMOVALS_LIMIT = 2000


class RetentionRule(typing.NamedTuple):
    """Rows under `prefix` go when older than `keep`, or than `must` where there are more than `number`."""

    prefix: str
    keep: float
    must: float
    number: int


def thin_marks(marks: list, now: float) -> list:
    """Marks close together when young and far apart when old, so that a day of them stays short.

    >>> marks = []
    >>> for second in range(0, 100000, 15): marks = thin([*marks, [second, second, "n"]], second)
    >>> len(marks) < 120, max(b[0] - a[0] for a, b in zip(marks, marks[1:])) < 30000
    (True, True)
    """
    kept = list(marks)
    place = 1
    while place < len(kept) - 1:
        if kept[place + 1][0] - kept[place - 1][0] <= MARK_SPACING_RATIO * (now - kept[place + 1][0]):
            del kept[place]
        else:
            place += 1
    return kept


class TableTime:
    """Table time as a table says it is."""

    def __init__(self, row: dict | None) -> None:
        row = row or {"seconds": 0.0, "marks": []}
        self.seconds, self.marks = float(row["seconds"]), list(row["marks"])

    def older_than(self, keep: float) -> versions.Version:
        """Rows up to this version have stood for at least `keep` seconds."""
        found = [mark for mark in self.marks if mark[0] <= self.seconds - keep]
        return versions.Version(found[-1][1], found[-1][2]) if found else versions.NONE

    def stood(self, version: versions.Version) -> float:
        """Seconds for which a row of this version has stood, at the least."""
        after = [mark[0] for mark in self.marks if (mark[1], mark[2]) >= tuple(version)]
        return self.seconds - after[0] if after else 0.0

    def left(self, version: versions.Version, keep: float) -> float:
        """Seconds until a row of this version will have stood for `keep`, about."""
        return max(1.0, keep - self.stood(version))


def plan_time_advance(overlay: overlays.Overlay, payload: typing.Any) -> dict[str, typing.Any]:
    """Raise the table's time from the version that the holder saw, and forget what is old enough."""
    expected, elapsed, rules, tombstones = payload
    if str(overlay.version(items.TABLE_TIME_KEY)) != expected:
        raise errors.StaleVersionError(
            [{"time": expected, "in_force": str(overlay.version(items.TABLE_TIME_KEY))}]
        )
    time = TableTime(overlay.value(items.TABLE_TIME_KEY))
    time.seconds += min(max(0.0, float(elapsed)), STEP_LIMIT_SECONDS)
    # All that stands at this moment is marked by the applied version that it stands under.
    time.marks = thin_marks([*time.marks, [time.seconds, *overlay.copy.applied]], time.seconds)
    remove_expired(overlay, time, [RetentionRule(*rule) for rule in rules], float(tombstones))
    kept = [list(rule) for rule in rules]
    return {items.TABLE_TIME_KEY: {"seconds": time.seconds, "marks": time.marks, "rules": kept}}


def remove_expired(
    overlay: overlays.Overlay, time: TableTime, rules: list[RetentionRule], tombstones: float
) -> None:
    cuts = {rule.prefix: (time.older_than(rule.keep), time.older_than(rule.must)) for rule in rules}
    over = {rule.prefix: overlay.copy.counts_by_prefix[rule.prefix] - rule.number for rule in rules}
    dead = time.older_than(tombstones)
    newest = max([dead, *(cut for pair in cuts.values() for cut in pair)])
    purged = versions.NONE
    gone = 0
    # From the oldest on, so that what is left over for the next step is the newest.
    for version, key in overlay.copy.keys_by_version:
        if version > newest or gone >= REMOVALS_LIMIT:
            break
        prefix = item_table.key_prefix(key)
        old, oldest = cuts.get(prefix, (versions.NONE, versions.NONE))
        # Copies are carried by applied versions and whole, so a copy that lacks a tombstone cannot bring its
        # row back.
        is_dead = version <= dead and overlay.copy.items[key].value is None
        if not is_dead and version > old and not (version <= oldest and over.get(prefix, 0) > 0):
            continue
        # Changed in this very batch, it is no longer old.
        if key in overlay.rows:
            continue
        overlay.put(key, None, True)
        over[prefix] = over.get(prefix, 0) - 1
        gone += 1
        if prefix == "purge":
            purged = max(purged, version)
    before = versions.Version.from_wire(overlay.value(items.FORGOTTEN_PURGES_KEY) or versions.NONE)
    if purged > before:
        overlay.put(items.FORGOTTEN_PURGES_KEY, tuple(purged))


def check_capacity(overlay: overlays.Overlay, prefix: str, limit: int) -> None:
    """Rather than forget what is still to be known, new ones wait until the oldest have stood long enough."""
    if overlay.count(prefix) < limit:
        return
    row = overlay.value(items.TABLE_TIME_KEY) or {"seconds": 0.0, "marks": [], "rules": []}
    keep = next((rule[2] for rule in row["rules"] if rule[0] == prefix), STEP_LIMIT_SECONDS)
    oldest = next(s for s, key in overlay.copy.keys_by_version if key.startswith(prefix + "/"))
    wait = TableTime(row).left(oldest, keep)
    raise errors.TableFullError(f"{limit} of {prefix} are remembered", retry_after=min(600.0, wait))
