"""Placement of the services' rates: which nodes own which quota share of them, as the ledger records it."""

from irisstand import node_context
from irisstand.balancing import rate_quota
from irisstand.controlplane.singletons import lease

INTERVAL_SECONDS = 0.5
# After such a pause this holder may have taken the lease anew.
NEW_HOLDER_SECONDS = 10 * INTERVAL_SECONDS
# A missing owner keeps its share for so long: a process that was killed is back sooner.
MISSING_GRACE_SECONDS = 8.0
# Before all is given out for the first time the member list has to be unchanged for `STABLE_SECONDS`, which
# is waited for `STABLE_WAIT_LIMIT_SECONDS` at most: what the first few members get moves to others slowly.
STABLE_SECONDS = 2.0
STABLE_WAIT_LIMIT_SECONDS = 6.0
LONG_AGO = -1e9
# Nodes that fetch objects for the other nodes of their zone, and edges that fetch for themselves.
HOLDER_ROLE = "holder"
DIRECT_EDGE_ROLE = "direct"


class RatePlacement:
    """The work of the rate placement task on one node.

    Attributes:
        context: The node.
        worked_at: When the work was done last.
        began_at: When this node began to hold the lease, about.
        frozen_until: Until when nothing that was taken from an owner may be given to another.
        seen_at: When each node was last up.
        stable_weights: The owners to be at the last look, with their weights.
        stable_since: Since when these have not changed.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.worked_at = LONG_AGO
        self.began_at = LONG_AGO
        self.frozen_until = LONG_AGO
        self.seen_at: dict[str, float] = {}
        self.stable_weights: dict[str, float] = {}
        self.stable_since = LONG_AGO

    async def work(self, task: lease.SingletonTask) -> None:
        """Plan anew once an interval, and write what has changed."""
        now = self.context.clock.now()
        if now - self.worked_at < INTERVAL_SECONDS:
            return
        units = self.units()
        if now - self.worked_at > NEW_HOLDER_SECONDS:
            self.begin(units, now)
        self.worked_at = now
        weights = self.weights(units, now)
        if weights != self.stable_weights:
            self.stable_weights = weights
            self.stable_since = now
        if not weights or (not units and self.is_member_list_filling(now)):
            return
        planned, is_reduced = rate_quota.plan(units, weights, is_frozen=now < self.frozen_until)
        if planned != units and task.holds_lease():
            await self.write(task, planned, now, is_reduced=is_reduced)

    def begin(self, units: dict[str, int], now: float) -> None:
        """Begin as a new holder: what an earlier one took away just before is not known here."""
        self.began_at = now
        self.seen_at = dict.fromkeys(units, now)
        self.frozen_until = now + rate_quota.REASSIGNMENT_DELAY_SECONDS if units else now

    async def write(
        self, task: lease.SingletonTask, planned: dict[str, int], now: float, *, is_reduced: bool
    ) -> None:
        """Write the planned shares; after a reduction nothing is given out for a while."""
        if is_reduced:
            self.frozen_until = now + rate_quota.REASSIGNMENT_DELAY_SECONDS
        await task.write_fenced([(rate_quota.ITEM_KEY, {"units": planned})])
        if is_reduced:
            # Counted from when it was decided, not from when it was asked for.
            self.frozen_until = self.context.clock.now() + rate_quota.REASSIGNMENT_DELAY_SECONDS
        self.context.counters.add("rate_parts_moved")

    def is_member_list_filling(self, now: float) -> bool:
        """Return whether the member list may still be filling up."""
        is_stable = now - self.stable_since >= STABLE_SECONDS
        return not is_stable and now - self.began_at < STABLE_WAIT_LIMIT_SECONDS

    def units(self) -> dict[str, int]:
        """Return the units that each owner has."""
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return dict(row["units"]) if row else {}

    def weights(self, units: dict[str, int], now: float) -> dict[str, float]:
        """Return who should own shares: nodes that are up, and owners that were up not long ago."""
        holders = self.sites_of(HOLDER_ROLE)
        edges = self.sites_of(DIRECT_EDGE_ROLE)
        present = {**holders, **edges}
        self.seen_at.update(dict.fromkeys(present, now))
        if any(self.is_in_grace_period(name, now) for name in units if name not in present):
            # Nothing moves while an owner may be back: it would have to move back.
            return {name: float(share) for name, share in units.items()}
        # Edges that fetch for themselves own the shares: they need to ask nobody for tokens.
        if len(edges) < self.context.settings.holder_edges * len(set(edges.values())):
            holders = {}
        return rate_quota.choose_owners(sorted(holders.items()), sorted(edges.items()))

    def is_in_grace_period(self, name: str, now: float) -> bool:
        """Return whether a missing owner was up not long ago."""
        return now - self.seen_at.get(name, LONG_AGO) < MISSING_GRACE_SECONDS

    def sites_of(self, role: str) -> dict[str, str]:
        """Return the sites, by name, of a role's members that are not suspected."""
        members = self.context.members_of(role)
        return {update.identity.name: update.node_info.site for update in members if not update.state}
