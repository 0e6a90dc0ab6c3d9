"""Retention: advances each table's time, by which rows expire that have been kept for long enough."""

import typing

from irisstand import errors, node_context
from irisstand.controlplane.changes import idempotency_claims, table_time
from irisstand.controlplane.singletons import lease
from irisstand.state import items

INTERVAL_SECONDS = 15.0
TOMBSTONE_SECONDS = 600.0
# A change's id is known for a day; where there are very many, for ten minutes at least.
CHANGE_RECORD_RULE = table_time.RetentionRule("~change", 86400.0, 600.0, 10_000)
PURGES_LIMIT = 5000
# Added to the longest time to live: the freshness bound, and how late a change of it may come to a node.
OBJECT_TTL_MARGIN_SECONDS = 15.0


class SeenTime(typing.NamedTuple):
    """A version of a table's time, and when this node saw it first."""

    version: str
    since: float


class Retention:
    """The work of the retention task on one node.

    Attributes:
        context: The node.
        interval_seconds: How often each table's time is advanced.
        seen: What this node saw of each table's time last.
    """

    def __init__(self, context: node_context.NodeContext, interval_seconds: float = INTERVAL_SECONDS) -> None:
        self.context = context
        self.interval_seconds = interval_seconds
        self.seen: dict[str, SeenTime] = {}

    async def work(self, task: lease.SingletonTask) -> None:
        """Advance the time of each table whose interval is over."""
        for table in items.TABLES:
            await self.advance(task, table)

    async def advance(self, task: lease.SingletonTask, table: str) -> None:
        """Advance a table's time by what went by since this node saw its version.

        It saw the version later than the version was written, so nothing is counted twice.
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
            # Another holder advanced it: nothing of the time is counted twice.
            self.context.counters.add("ticks_lost", table=table)

    def rules(self, table: str) -> list[table_time.RetentionRule]:
        """Return how long the rows of a table are kept.

        Rows that are kept too short would not be served: that is ensured by versions and not by times.
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
