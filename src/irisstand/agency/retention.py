"""The retention duty: raises each table's time, by which what has stood for long enough is forgotten."""

from irisstand import blackboard, errors
from irisstand.agency import duties, orders, tabletime
from irisstand.ledger import items

PAUSE = 15.0
TOMBSTONES = 600.0
# A change's id is known for a day; where very many come, for ten minutes at the least.
CHANGES = tabletime.Rule("~change", 86400.0, 600.0, 10_000)
PURGES_LIMIT = 5000
# Beyond an object's life: the freshness bound, and what two copies of a row's life may differ in time.
MARGIN = 15.0


class Retention:
    def __init__(self, board: blackboard.Board, pause: float = PAUSE) -> None:
        self.board, self.pause = board, pause
        self.seen: dict[str, tuple[str, float]] = {}

    async def work(self, duty: duties.Duty) -> None:
        for table in items.TABLES:
            await self.tick(duty, table)

    async def tick(self, duty: duties.Duty, table: str) -> None:
        now = self.board.clock.now()
        expected = str(self.board.copies[table].serial(items.TIME))
        # Counted from when this node saw the serial, which is later than when it was written.
        serial, since = self.seen.get(table, ("", now))
        if serial != expected:
            self.seen[table] = (expected, now)
            return
        if now - since < self.pause or not duty.holds():
            return
        payload = (expected, now - since, self.rules(table), TOMBSTONES)
        try:
            await duty.submitter.submit(orders.Order(f"tick-{table}", "", payload))
        except errors.StaleSerial:
            # Another holder raised it: nothing of the time is counted twice.
            self.board.counters.add("ticks_lost", table=table)

    def rules(self, table: str) -> list[tuple]:
        """What is kept for how long. That nothing is served for it is seen to by serials, not by times."""
        lives = [item.value.get("life", 0) for item in self.board.blueprint.under("path/")]
        life = max(lives, default=0) + MARGIN
        keys = self.board.boot.keys_kept
        found = {
            items.BLUEPRINT: [CHANGES],
            items.LEDGER: [CHANGES, tabletime.Rule("purge", life, 0.0, PURGES_LIMIT)],
            items.CLAIMS: [tabletime.Rule("claim", keys, keys, orders.CLAIMS_LIMIT)],
        }
        return [tuple(rule) for rule in found[table]]
