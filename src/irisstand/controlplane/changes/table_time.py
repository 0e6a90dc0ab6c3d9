"""Table time, and the removal of rows that are older than they need to be kept.

Each table has a row with its own time in seconds. The holder of the retention task advances it by what went
by on its monotonic clock since it saw the row's last version. So table time never runs faster than real time,
whoever advances it, and stands still while nobody does: a row that is to be kept for an hour of it is kept
for an hour at least, through changes of holder and loss of power.
"""

import typing

from irisstand import errors
from irisstand.controlplane.changes import orders, table_overlay
from irisstand.state import item_table, items, replica, versions

# A longer step comes from a holder that was suspended; to count less than went by is always safe.
STEP_LIMIT_SECONDS = 60.0
# Marks are thinned to a distance of this share of their age.
MARK_SPACING_RATIO = 0.1
# Rows removed in one step, so that a batch stays small.
REMOVALS_LIMIT = 2000
RETRY_LIMIT_SECONDS = 600.0
PURGE_PREFIX = "purge"


class RetentionRule(typing.NamedTuple):
    """How long the rows under a prefix are kept.

    Attributes:
        prefix: The first part of the rows' keys, without the slash.
        keep_seconds: Older rows are removed.
        minimum_seconds: With more rows than `surplus_threshold`, rows older than this are removed, too.
        surplus_threshold: The number of rows from which `minimum_seconds` applies.
    """

    prefix: str
    keep_seconds: float
    minimum_seconds: float
    surplus_threshold: int


class Mark(typing.NamedTuple):
    """The applied version that a table had at a moment of its time."""

    seconds: float
    counter: int
    node: str

    @property
    def version(self) -> versions.Version:
        """The applied version."""
        return versions.Version(self.counter, self.node)


def thin_marks(marks: list[Mark], now: float) -> list[Mark]:
    """Return the marks without those that lie closer together than their age calls for.

    A day of marks stays short: young ones are close together, old ones far apart.

    >>> marks = []
    >>> for second in range(0, 100000, 15): marks = thin_marks([*marks, Mark(second, second, "n")], second)
    >>> len(marks) < 120, max(b.seconds - a.seconds for a, b in zip(marks, marks[1:])) < 30000
    (True, True)
    """
    kept = list(marks)
    index = 1
    while index < len(kept) - 1:
        gap = kept[index + 1].seconds - kept[index - 1].seconds
        if gap <= MARK_SPACING_RATIO * (now - kept[index + 1].seconds):
            del kept[index]
        else:
            index += 1
    return kept


class TableTime:
    """The stored row of a table's time.

    Attributes:
        seconds: For how long the table has been kept, by its own time.
        marks: Applied versions and when they stood, from the oldest on.
        rules: The retention rules with which the time was advanced last.
    """

    def __init__(self, value: dict[str, typing.Any] | None) -> None:
        value = value or {"seconds": 0.0, "marks": [], "rules": []}
        self.seconds = float(value["seconds"])
        self.marks = [Mark(*mark) for mark in value["marks"]]
        self.rules = [RetentionRule(*rule) for rule in value.get("rules", [])]

    def to_value(self) -> dict[str, typing.Any]:
        """Return the row to store."""
        return {
            "seconds": self.seconds,
            "marks": [list(mark) for mark in self.marks],
            "rules": [list(rule) for rule in self.rules],
        }

    def advance(self, elapsed_seconds: float, applied: versions.Version) -> None:
        """Advance the time and mark the applied version that the table has at the new moment."""
        self.seconds += min(max(0.0, elapsed_seconds), STEP_LIMIT_SECONDS)
        self.marks = thin_marks([*self.marks, Mark(self.seconds, *applied)], self.seconds)

    def older_than(self, seconds: float) -> versions.Version:
        """Return the version up to which rows have stood for at least so many seconds."""
        found = [mark for mark in self.marks if mark.seconds <= self.seconds - seconds]
        return found[-1].version if found else versions.NONE

    def age_of(self, version: versions.Version) -> float:
        """Return for how many seconds, at least, a row of this version has stood."""
        after = [mark for mark in self.marks if mark.version >= version]
        return self.seconds - after[0].seconds if after else 0.0

    def seconds_until(self, version: versions.Version, age_seconds: float) -> float:
        """Return in about how many seconds a row of this version will have stood for so long."""
        return max(1.0, age_seconds - self.age_of(version))


class TimeAdvance(typing.NamedTuple):
    """A request to advance a table's time.

    Attributes:
        expected: The version of the time's row that the holder saw.
        elapsed_seconds: What went by since it saw it.
        rules: What is kept for how long.
        tombstone_seconds: How long tombstones are kept.
    """

    expected: str
    elapsed_seconds: float
    rules: list[RetentionRule]
    tombstone_seconds: float

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "TimeAdvance":
        """Read an order's payload; raise ValueError or TypeError if it has another form."""
        expected, elapsed, rules, tombstones = payload
        return cls(expected, float(elapsed), [RetentionRule(*rule) for rule in rules], float(tombstones))

    def to_order(self, table: str) -> orders.Order:
        """Return the order that asks for this."""
        rules = [tuple(rule) for rule in self.rules]
        payload = (self.expected, self.elapsed_seconds, rules, self.tombstone_seconds)
        return orders.Order(f"tick-{table}", "", payload)


def plan_time_advance(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan a table's time and the removal of expired rows.

    Raises:
        StaleVersionError: The time's row has another version than its holder saw.
    """
    advance = TimeAdvance.from_wire(payload)
    expected = advance.expected
    if str(overlay.version(items.TABLE_TIME_KEY)) != expected:
        raise errors.StaleVersionError(
            [{"time": expected, "in_force": str(overlay.version(items.TABLE_TIME_KEY))}]
        )
    time = TableTime(overlay.value(items.TABLE_TIME_KEY))
    time.advance(advance.elapsed_seconds, overlay.replica.applied)
    time.rules = advance.rules
    remove_expired(overlay, time, advance.tombstone_seconds)
    return {items.TABLE_TIME_KEY: time.to_value()}


class Expiry:
    """Which rows of a table have expired, and how many of each prefix are above its number."""

    def __init__(self, table: replica.Replica, time: TableTime, tombstone_seconds: float) -> None:
        self.table = table
        self.tombstone_expiry = time.older_than(tombstone_seconds)
        self.expiry_by_prefix = {rule.prefix: time.older_than(rule.keep_seconds) for rule in time.rules}
        self.surplus_expiry_by_prefix = {
            rule.prefix: time.older_than(rule.minimum_seconds) for rule in time.rules
        }
        self.surplus_by_prefix = {
            rule.prefix: table.counts_by_prefix[rule.prefix] - rule.surplus_threshold for rule in time.rules
        }

    @property
    def newest(self) -> versions.Version:
        """The version above which no row can have expired."""
        return max(
            [self.tombstone_expiry, *self.expiry_by_prefix.values(), *self.surplus_expiry_by_prefix.values()]
        )

    def has_expired(self, key: str, version: versions.Version) -> bool:
        """Return whether the row may go.

        Replicas are carried whole, by applied versions: one that lacks a tombstone cannot bring its row back.
        """
        prefix = item_table.key_prefix(key)
        if version <= self.tombstone_expiry and self.table.items[key].value is None:
            return True
        if version <= self.expiry_by_prefix.get(prefix, versions.NONE):
            return True
        is_surplus = self.surplus_by_prefix.get(prefix, 0) > 0
        return is_surplus and version <= self.surplus_expiry_by_prefix.get(prefix, versions.NONE)

    def count_removal(self, key: str) -> None:
        """Take one row off the surplus of its prefix."""
        prefix = item_table.key_prefix(key)
        self.surplus_by_prefix[prefix] = self.surplus_by_prefix.get(prefix, 0) - 1


def remove_expired(overlay: table_overlay.Overlay, time: TableTime, tombstone_seconds: float) -> None:
    """Plan the removal of expired rows, from the oldest on, so that what waits for the next step is newer."""
    expiry = Expiry(overlay.replica, time, tombstone_seconds)
    newest = expiry.newest
    newest_purge = versions.NONE
    removals = 0
    for version, key in overlay.replica.keys_by_version:
        if version > newest or removals >= REMOVALS_LIMIT:
            break
        # A row that this very batch changes is no longer old.
        if not expiry.has_expired(key, version) or key in overlay.rows:
            continue
        overlay.remove(key)
        expiry.count_removal(key)
        removals += 1
        if item_table.key_prefix(key) == PURGE_PREFIX:
            newest_purge = max(newest_purge, version)
    before = versions.Version.from_wire(overlay.value(items.FORGOTTEN_PURGES_KEY) or versions.NONE)
    if newest_purge > before:
        overlay.put(items.FORGOTTEN_PURGES_KEY, tuple(newest_purge))


def check_capacity(overlay: table_overlay.Overlay, prefix: str, limit: int) -> None:
    """Refuse one more row under a prefix at its limit: nothing is removed that is still to be remembered.

    Raises:
        TableFullError: There are as many rows as may be; the error says when the oldest expires.
    """
    if overlay.count(prefix) < limit:
        return
    time = TableTime(overlay.value(items.TABLE_TIME_KEY))
    keep_seconds = next((r.minimum_seconds for r in time.rules if r.prefix == prefix), STEP_LIMIT_SECONDS)
    oldest = next(version for version, key in overlay.replica.keys_by_version if key.startswith(prefix + "/"))
    wait = time.seconds_until(oldest, keep_seconds)
    raise errors.TableFullError(
        f"{limit} of {prefix} are remembered", retry_after=min(RETRY_LIMIT_SECONDS, wait)
    )
