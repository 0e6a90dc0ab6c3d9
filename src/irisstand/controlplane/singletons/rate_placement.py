"""Placement of the services' rate limits: which nodes own which quota share of them, stored in the ledger."""

from irisstand import node_context
from irisstand.balancing import rate_quota
from irisstand.controlplane.singletons import lease

INTERVAL_SECONDS = 0.5
# If this node has not run the task for longer than this, another node may have held the lease in between.
NEW_HOLDER_SECONDS = 10 * INTERVAL_SECONDS
# How long a missing owner keeps its quota share: a process that was killed restarts within this time.
MISSING_GRACE_SECONDS = 8.0
# The first assignment of quota shares waits until the member list was unchanged for `STABLE_SECONDS`, but for
# `STABLE_WAIT_LIMIT_SECONDS` at most: shares that the first few members get move to other nodes only slowly.
STABLE_SECONDS = 2.0
STABLE_WAIT_LIMIT_SECONDS = 6.0
LONG_AGO = -1e9
# The role of nodes that fetch objects for their zone's other nodes, and of edges that fetch for themselves.
HOLDER_ROLE = "holder"
DIRECT_EDGE_ROLE = "direct"


class RatePlacement:
    """Plans on one control plane node which nodes own which quota share of the rate limits.

    Attributes:
        context: The state and services of this node.
        last_planned_at: When `work` last planned, by this node's clock.
        acquired_at: About when this node acquired the lease.
        frozen_until: Until when no share that was taken from an owner may be given to another node.
        seen_at: When each node was last up, by node name.
        stable_weights: The planned owners at the last plan, with their weights.
        stable_since: Since when `stable_weights` has not changed.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.last_planned_at = LONG_AGO
        self.acquired_at = LONG_AGO
        self.frozen_until = LONG_AGO
        self.seen_at: dict[str, float] = {}
        self.stable_weights: dict[str, float] = {}
        self.stable_since = LONG_AGO

    async def work(self, task: lease.SingletonTask) -> None:
        """Plan the quota shares once per interval, and write them if they have changed."""
        now = self.context.clock.now()
        if now - self.last_planned_at < INTERVAL_SECONDS:
            return
        units = self.units()
        if now - self.last_planned_at > NEW_HOLDER_SECONDS:
            self.start_as_holder(units, now)
        self.last_planned_at = now
        weights = self.weights(units, now)
        if weights != self.stable_weights:
            self.stable_weights = weights
            self.stable_since = now
        if not weights or (not units and self.is_member_list_filling(now)):
            return
        planned, is_reduced = rate_quota.plan(units, weights, is_frozen=now < self.frozen_until)
        if planned != units and task.holds_lease():
            await self.write(task, planned, now, is_reduced=is_reduced)

    def start_as_holder(self, units: dict[str, int], now: float) -> None:
        """Reset the state of a new lease holder, which cannot know of recent reductions by the last one."""
        self.acquired_at = now
        self.seen_at = dict.fromkeys(units, now)
        self.frozen_until = now + rate_quota.REASSIGNMENT_DELAY_SECONDS if units else now

    async def write(
        self, task: lease.SingletonTask, planned: dict[str, int], now: float, *, is_reduced: bool
    ) -> None:
        """Write the planned shares; after a reduction no share is given out for the reassignment delay."""
        if is_reduced:
            self.frozen_until = now + rate_quota.REASSIGNMENT_DELAY_SECONDS
        await task.write_fenced([(rate_quota.ITEM_KEY, {"units": planned})])
        if is_reduced:
            # The delay counts from when the reduction was decided, not from when it was submitted.
            self.frozen_until = self.context.clock.now() + rate_quota.REASSIGNMENT_DELAY_SECONDS
        self.context.counters.add("rate_parts_moved")

    def is_member_list_filling(self, now: float) -> bool:
        """Return whether the member list may still be incomplete after this node acquired the lease."""
        is_stable = now - self.stable_since >= STABLE_SECONDS
        return not is_stable and now - self.acquired_at < STABLE_WAIT_LIMIT_SECONDS

    def units(self) -> dict[str, int]:
        """Return the units of the rate limits that each owner has, by node name, from the ledger."""
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return dict(row["units"]) if row else {}

    def weights(self, units: dict[str, int], now: float) -> dict[str, float]:
        """Return the weights of the nodes that should own shares, unchanged while an owner may come back."""
        holders = self.sites_of(HOLDER_ROLE)
        edges = self.sites_of(DIRECT_EDGE_ROLE)
        present = {**holders, **edges}
        self.seen_at.update(dict.fromkeys(present, now))
        if any(self.is_in_grace_period(name, now) for name in units if name not in present):
            # While a missing owner may come back, no share moves: it would have to be moved back.
            return {name: float(share) for name, share in units.items()}
        # With few edges per site, edges fetch for themselves and own the shares: they need no token leases.
        if len(edges) < self.context.settings.holder_edges * len(set(edges.values())):
            holders = {}
        return rate_quota.choose_owners(sorted(holders.items()), sorted(edges.items()))

    def is_in_grace_period(self, name: str, now: float) -> bool:
        """Return whether a missing owner was up within the last `MISSING_GRACE_SECONDS`."""
        return now - self.seen_at.get(name, LONG_AGO) < MISSING_GRACE_SECONDS

    def sites_of(self, role: str) -> dict[str, str]:
        """Return the sites of a role's members that are not suspected, by node name."""
        members = self.context.members_of(role)
        return {update.identity.name: update.node_info.site for update in members if not update.state}
