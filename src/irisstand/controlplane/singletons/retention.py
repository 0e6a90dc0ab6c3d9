"""The retention duty: raises each table's time, by which what has stood for long enough is forgotten."""

from irisstand import errors, node_context
from irisstand.controlplane.changes import orders, table_time
from irisstand.controlplane.singletons import lease
from irisstand.state import items

INTERVAL_SECONDS = 15.0
TOMBSTONE_SECONDS = 600.0
# A change's id is known for a day; where very many come, for ten minutes at the least.
CHANGE_RECORD_RULE = table_time.RetentionRule("~change", 86400.0, 600.0, 10_000)
PURGES_LIMIT = 5000
# Beyond an object's life: the freshness bound, and what two copies of a row's life may differ in time.
OBJECT_TTL_MARGIN_SECONDS = 15.0


class Retention:
    def __init__(self, context: node_context.NodeContext, pause: float = INTERVAL_SECONDS) -> None:
        self.context, self.pause = context, pause
        self.seen: dict[str, tuple[str, float]] = {}

    async def work(self, duty: lease.SingletonTask) -> None:
        for table in items.TABLES:
            await self.tick(duty, table)

    async def tick(self, duty: lease.SingletonTask, table: str) -> None:
        now = self.context.clock.now()
        expected = str(self.context.replicas[table].version(items.TABLE_TIME_KEY))
        # Counted from when this node saw the version, which is later than when it was written.
        version, since = self.seen.get(table, ("", now))
        if version != expected:
            self.seen[table] = (expected, now)
            return
        if now - since < self.pause or not duty.holds_lease():
            return
        payload = (expected, now - since, self.rules(table), TOMBSTONE_SECONDS)
        try:
            await duty.submitter.submit(orders.Order(f"tick-{table}", "", payload))
        except errors.StaleVersionError:
            # Another holder raised it: nothing of the time is counted twice.
            self.context.counters.add("ticks_lost", table=table)

    def rules(self, table: str) -> list[tuple]:
        """What is kept for how long. That nothing is served for it is seen to by versions, not by times."""
        lives = [item.value.get("life", 0) for item in self.context.configuration.items_with_prefix("path/")]
        life = max(lives, default=0) + OBJECT_TTL_MARGIN_SECONDS
        keys = self.context.settings.keys_kept
        found = {
            items.CONFIGURATION: [CHANGE_RECORD_RULE],
            items.LEDGER: [CHANGE_RECORD_RULE, table_time.RetentionRule("purge", life, 0.0, PURGES_LIMIT)],
            items.IDEMPOTENCY_KEYS: [table_time.RetentionRule("claim", keys, keys, orders.CLAIMS_LIMIT)],
        }
        return [tuple(rule) for rule in found[table]]
