"""The rate-parts duty: who owns which part of the services' rates, as recorded in the ledger."""

from irisstand import node_context
from irisstand.balancing import rate_quota
from irisstand.controlplane.singletons import lease

INTERVAL_SECONDS = 0.5
# An owner that is missing keeps its part for this long: a process that was killed is back sooner.
MISSING_GRACE_SECONDS = 8.0
# Before all is given out for the first time the members' list has to stand still for a moment, within reason:
# what is given to the first few can be moved to others only slowly.
STABLE_SECONDS, STABLE_WAIT_LIMIT_SECONDS = 2.0, 6.0


class RatePlacement:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.worked_at, self.began_at = -1e9, -1e9
        self.frozen_until = -1e9
        self.seen_at: dict[str, float] = {}
        # Who was up at the last look, and since when this has not changed.
        self.standing: dict[str, float] = {}
        self.still_since = -1e9

    async def work(self, duty: lease.SingletonTask) -> None:
        now = self.context.clock.now()
        if now - self.worked_at < INTERVAL_SECONDS:
            return
        units = self.units()
        if now - self.worked_at > 10 * INTERVAL_SECONDS:
            self.began_at = now
            self.seen_at = dict.fromkeys(units, now)
            # What an earlier holder of the duty took away just before is not known here.
            self.frozen_until = now + rate_quota.REASSIGNMENT_DELAY_SECONDS if units else now
        self.worked_at = now
        weights = self.weights(units, now)
        if weights != self.standing:
            self.standing, self.still_since = weights, now
        if not weights or (not units and self.is_filling(now)):
            return
        planned, is_reduced = rate_quota.plan(units, weights, now < self.frozen_until)
        if planned != units and duty.holds_lease():
            if is_reduced:
                self.frozen_until = now + rate_quota.REASSIGNMENT_DELAY_SECONDS
            await duty.write_fenced([(rate_quota.ITEM_KEY, {"units": planned})])
            if is_reduced:
                # Counted from when it was decided, not from when it was asked for.
                self.frozen_until = self.context.clock.now() + rate_quota.REASSIGNMENT_DELAY_SECONDS
            self.context.counters.add("rate_parts_moved")

    def is_filling(self, now: float) -> bool:
        return now - self.still_since < STABLE_SECONDS and now - self.began_at < STABLE_WAIT_LIMIT_SECONDS

    def units(self) -> dict[str, int]:
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return dict(row["units"]) if row else {}

    def weights(self, units: dict[str, int], now: float) -> dict[str, float]:
        """Those who are up, and owners that were up not long ago, for they may be back at once."""
        holders, edges = self.listed("holder"), self.listed("direct")
        present = {**holders, **edges}
        self.seen_at.update(dict.fromkeys(present, now))
        waited_for = {name for name in units if now - self.seen_at.get(name, -1e9) < MISSING_GRACE_SECONDS}
        if waited_for - set(present):
            # Nothing moves while one is waited for: it would have to move back.
            return {name: float(share) for name, share in units.items()}
        # Where edges fetch for themselves, they own the parts: no place has to be asked for.
        if len(edges) < self.context.settings.holder_edges * len(set(edges.values())):
            holders = {}
        return rate_quota.choose_owners(sorted(holders.items()), sorted(edges.items()))

    def listed(self, role: str) -> dict[str, str]:
        """Sites by name of the members that are not suspected."""
        updates = self.context.members_of(role)
        return {update.identity.name: update.node_info.site for update in updates if not update.state}
