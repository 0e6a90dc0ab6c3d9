"""Table time, and the removal of rows whose retention time has passed.

Each table has a row with its own time in seconds. The holder of the retention task advances it by the time
that passed on its monotonic clock since it first saw the row's present version. Table time therefore never
runs faster than real time, whichever node advances it, and stands still while no node does. A row that is to
be kept for an hour of table time is kept for at least an hour of real time, through changes of the lease
holder and power losses.
"""

import typing

from irisstand import errors
from irisstand.controlplane.changes import orders, table_overlay
from irisstand.state import item_table, items, replica, versions

# The most that table time advances in one step. A longer step comes from a lease holder that was suspended;
# counting less than the time that passed is safe, as rows are only kept longer.
STEP_LIMIT_SECONDS = 60.0
# Of the marks of a table's time, those are dropped whose neighbours are closer than this share of their age.
MARK_SPACING_RATIO = 0.1
# At most so many expired rows are removed in one step, so that the batch stays small.
REMOVALS_LIMIT = 2000
RETRY_LIMIT_SECONDS = 600.0
PURGE_PREFIX = "purge"


class RetentionRule(typing.NamedTuple):
    """How long the rows under a prefix of keys are kept, in seconds of table time.

    Attributes:
        prefix: The first part of the rows' keys, without the slash.
        keep_seconds: Rows older than this are removed.
        minimum_seconds: While there are more than `surplus_threshold` rows, rows older than this are removed.
        surplus_threshold: The number of rows above which `minimum_seconds` applies.
    """

    prefix: str
    keep_seconds: float
    minimum_seconds: float
    surplus_threshold: int


class Mark(typing.NamedTuple):
    """A table time in seconds, and the counter and node of the version that was applied then."""

    seconds: float
    counter: int
    node: str

    @property
    def version(self) -> versions.Version:
        """The version that the table had applied at the time of this mark."""
        return versions.Version(self.counter, self.node)


def thin_marks(marks: list[Mark], now: float) -> list[Mark]:
    """Return the marks without those that are too close to their neighbours for their age.

    Recent marks stay close together and old ones become sparse, so that the marks of a day stay few.

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
        seconds: The table time.
        marks: Applied versions with the table time at which each was applied, the oldest first.
        rules: The retention rules of the last advance.
    """

    def __init__(self, value: dict[str, typing.Any] | None) -> None:
        value = value or {"seconds": 0.0, "marks": [], "rules": []}
        self.seconds = float(value["seconds"])
        self.marks = [Mark(*mark) for mark in value["marks"]]
        self.rules = [RetentionRule(*rule) for rule in value.get("rules", [])]

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value to store in the row of the table's time."""
        return {
            "seconds": self.seconds,
            "marks": [list(mark) for mark in self.marks],
            "rules": [list(rule) for rule in self.rules],
        }

    def advance(self, elapsed_seconds: float, applied: versions.Version) -> None:
        """Advance the time by at most `STEP_LIMIT_SECONDS`, and mark the table's applied version."""
        self.seconds += min(max(0.0, elapsed_seconds), STEP_LIMIT_SECONDS)
        self.marks = thin_marks([*self.marks, Mark(self.seconds, *applied)], self.seconds)

    def older_than(self, seconds: float) -> versions.Version:
        """Return the highest version whose rows are at least so many seconds old, by table time."""
        found = [mark for mark in self.marks if mark.seconds <= self.seconds - seconds]
        return found[-1].version if found else versions.NONE

    def age_of(self, version: versions.Version) -> float:
        """Return a lower bound on the age of a row of this version, in seconds of table time."""
        after = [mark for mark in self.marks if mark.version >= version]
        return self.seconds - after[0].seconds if after else 0.0

    def seconds_until(self, version: versions.Version, age_seconds: float) -> float:
        """Return about how many seconds pass until a row of this version has an age; at least one second."""
        return max(1.0, age_seconds - self.age_of(version))


class TimeAdvance(typing.NamedTuple):
    """A request to advance a table's time.

    Attributes:
        expected: The version of the row of table time that the lease holder saw.
        elapsed_seconds: The seconds that passed since the lease holder saw that version.
        rules: The retention rules of the table's prefixes.
        tombstone_seconds: How long tombstones are kept, in seconds of table time.
    """

    expected: str
    elapsed_seconds: float
    rules: list[RetentionRule]
    tombstone_seconds: float

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "TimeAdvance":
        """Parse an order's payload; raise ValueError or TypeError if it does not have the expected form."""
        expected, elapsed, rules, tombstones = payload
        return cls(expected, float(elapsed), [RetentionRule(*rule) for rule in rules], float(tombstones))

    def to_order(self, table: str) -> orders.Order:
        """Return the order that advances the time of the table with this name."""
        rules = [tuple(rule) for rule in self.rules]
        payload = (self.expected, self.elapsed_seconds, rules, self.tombstone_seconds)
        return orders.Order(f"tick-{table}", "", payload)


def plan_time_advance(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the advance of a table's time and the removal of expired rows.

    Raises:
        StaleVersionError: The row of table time no longer has the version that the lease holder saw.
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
    """Decides which rows of a table have expired.

    Attributes:
        tombstone_expiry: Tombstones up to this version have expired.
        expiry_by_prefix: By prefix, the version up to which all rows have expired.
        surplus_expiry: By prefix, the version up to which rows have expired while there is a surplus.
        surplus_by_prefix: By prefix, by how much the number of rows exceeds the rule's `surplus_threshold`.
    """

    def __init__(self, table: replica.Replica, time: TableTime, tombstone_seconds: float) -> None:
        self.table = table
        self.tombstone_expiry = time.older_than(tombstone_seconds)
        self.expiry_by_prefix = {rule.prefix: time.older_than(rule.keep_seconds) for rule in time.rules}
        self.surplus_expiry = {rule.prefix: time.older_than(rule.minimum_seconds) for rule in time.rules}
        self.surplus_by_prefix = {
            rule.prefix: table.counts_by_prefix[rule.prefix] - rule.surplus_threshold for rule in time.rules
        }

    @property
    def newest(self) -> versions.Version:
        """The version above which no row can have expired."""
        return max([self.tombstone_expiry, *self.expiry_by_prefix.values(), *self.surplus_expiry.values()])

    def has_expired(self, key: str, version: versions.Version) -> bool:
        """Return whether a row or tombstone may be removed.

        Removing a tombstone is safe: replicas synchronize whole tables by their applied versions, so one that
        lacks the tombstone cannot bring its row back.
        """
        prefix = item_table.key_prefix(key)
        if version <= self.tombstone_expiry and self.table.items[key].value is None:
            return True
        if version <= self.expiry_by_prefix.get(prefix, versions.NONE):
            return True
        is_surplus = self.surplus_by_prefix.get(prefix, 0) > 0
        return is_surplus and version <= self.surplus_expiry.get(prefix, versions.NONE)

    def count_removal(self, key: str) -> None:
        """Reduce the surplus of a key's prefix by one row that is removed."""
        prefix = item_table.key_prefix(key)
        self.surplus_by_prefix[prefix] = self.surplus_by_prefix.get(prefix, 0) - 1


def remove_expired(overlay: table_overlay.Overlay, time: TableTime, tombstone_seconds: float) -> None:
    """Plan the removal of up to `REMOVALS_LIMIT` expired rows, oldest first; newer ones must wait."""
    expiry = Expiry(overlay.replica, time, tombstone_seconds)
    newest = expiry.newest
    newest_purge = versions.NONE
    removals = 0
    for version, key in overlay.replica.keys_by_version:
        if version > newest or removals >= REMOVALS_LIMIT:
            break
        # A row that the same batch writes gets a new version, so it has not expired.
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
    """Raise an error if `limit` rows exist under a prefix: none is removed early to make room.

    Raises:
        TableFullError: The limit is reached; the error's `retry_after` says when the oldest row expires.
    """
    if overlay.count(prefix) < limit:
        return
    time = TableTime(overlay.value(items.TABLE_TIME_KEY))
    keep_seconds = next((r.minimum_seconds for r in time.rules if r.prefix == prefix), STEP_LIMIT_SECONDS)
    oldest = next(version for version, key in overlay.replica.keys_by_version if key.startswith(prefix + "/"))
    wait = time.seconds_until(oldest, keep_seconds)
    raise errors.TableFullError(
        f"the limit of {limit} rows under {prefix} is reached", retry_after=min(RETRY_LIMIT_SECONDS, wait)
    )
