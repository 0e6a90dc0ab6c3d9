"""Retention: advances each table's time, and so removes the rows whose retention time has passed."""

import typing

from irisstand import errors, node_context
from irisstand.controlplane.changes import idempotency_claims, table_time
from irisstand.controlplane.singletons import lease
from irisstand.state import items

INTERVAL_SECONDS = 15.0
TOMBSTONE_SECONDS = 600.0
# A change id is kept for a day; while there are more than 10,000 of them, for at least ten minutes.
CHANGE_RECORD_RULE = table_time.RetentionRule("~change", 86400.0, 600.0, 10_000)
PURGES_LIMIT = 5000
# Added to the longest TTL of objects to get the retention of purges: it covers the freshness bound, and the
# delay until a node applies a change of the TTL.
OBJECT_TTL_MARGIN_SECONDS = 15.0


class SeenTime(typing.NamedTuple):
    """A version of the row of a table's time, and when this node first saw it, by its monotonic clock."""

    version: str
    since: float


class Retention:
    """Advances on one control plane node the time of all tables.

    Attributes:
        context: The state and services of this node.
        interval_seconds: The interval at which each table's time is advanced.
        seen: By table, the version of its time that this node saw last.
    """

    def __init__(self, context: node_context.NodeContext, interval_seconds: float = INTERVAL_SECONDS) -> None:
        self.context = context
        self.interval_seconds = interval_seconds
        self.seen: dict[str, SeenTime] = {}

    async def work(self, task: lease.SingletonTask) -> None:
        """Advance the time of each table whose last advance is at least one interval ago."""
        for table in items.TABLES:
            await self.advance(task, table)

    async def advance(self, task: lease.SingletonTask, table: str) -> None:
        """Advance a table's time by the seconds since this node first saw the present version of that time.

        The node sees a version only after it was written, so no interval is counted twice.
        """
        now = self.context.clock.now()
        expected = str(self.context.replicas[table].version(items.TABLE_TIME_KEY))
        seen = self.seen.get(table)
        if seen is None or seen.version != expected:
            self.seen[table] = SeenTime(expected, now)
            return
        elapsed_seconds = now - seen.since
        if elapsed_seconds < self.interval_seconds or not task.holds_lease():
            return
        advance = table_time.TimeAdvance(expected, elapsed_seconds, self.rules(table), TOMBSTONE_SECONDS)
        try:
            await task.submitter.submit(advance.to_order(table))
        except errors.StaleVersionError:
            # Another lease holder has advanced the table's time since; this interval must not count twice.
            self.context.counters.add("ticks_lost", table=table)

    def rules(self, table: str) -> list[table_time.RetentionRule]:
        """Return the retention rules of a table.

        Even if a purge expires too early, no purged object is served: cached objects that are older than the
        newest expired purge are fetched again, which is decided by versions and not by times.
        """
        ttls = [item.value.get("life", 0) for item in self.context.configuration.items_with_prefix("path/")]
        purge_seconds = max(ttls, default=0) + OBJECT_TTL_MARGIN_SECONDS
        key_seconds = self.context.settings.keys_kept
        claims_limit = idempotency_claims.CLAIMS_LIMIT
        rules_by_table = {
            items.CONFIGURATION: [CHANGE_RECORD_RULE],
            items.LEDGER: [
                CHANGE_RECORD_RULE,
                table_time.RetentionRule("purge", purge_seconds, 0.0, PURGES_LIMIT),
            ],
            items.IDEMPOTENCY_KEYS: [
                table_time.RetentionRule("claim", key_seconds, key_seconds, claims_limit)
            ],
        }
        return rules_by_table[table]
