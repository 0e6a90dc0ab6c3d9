"""Placement on shield machines: slots of the hash space of objects, and quota shares of services' limits."""

import collections.abc

from irisstand import node_context
from irisstand.balancing import quota_shares, rendezvous, service_limits, slot_assignment
from irisstand.controlplane.singletons import fleet_view, lease

INTERVAL_SECONDS = 1.0
# If this node has not run the task for longer than this, another node may have held the lease in between.
NEW_HOLDER_SECONDS = 10 * INTERVAL_SECONDS
# How many slots move at most in one step between machines that are up; a lost machine's slots move at once.
VOLUNTARY_MOVES_LIMIT = 8
# How long a missing machine keeps its slots; meanwhile reads of its slots go to the next machine.
MISSING_GRACE_SECONDS = 3.0
# A machine that is partitioned from the voters stops using its quota shares within the freshness bound.
FRESHNESS_BOUND_SECONDS = 2.0
# The deadline, in seconds, that is assumed for requests of a service whose row was removed.
DEFAULT_DEADLINE_SECONDS = 60


class ShieldPlacement:
    """Plans on one control plane node which shield machines own which slots and quota shares.

    Attributes:
        context: The state and services of this node.
        view: The machines, sites and voters as this node knows them.
        last_planned_at: When `work` last planned, by this node's clock.
        missing_since: By machine that owns slots, the time since when it has been missing.
        frozen_until: By service, until when quota shares that were taken from a machine are not given out.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        self.last_planned_at = -1e9
        self.missing_since: dict[str, float] = {}
        self.frozen_until: dict[str, float] = {}

    async def work(self, task: lease.SingletonTask) -> None:
        """Plan slots and quota shares once per interval, and write the rows that have changed."""
        now = self.context.clock.now()
        if now - self.last_planned_at < INTERVAL_SECONDS:
            return
        is_new_holder = now - self.last_planned_at > NEW_HOLDER_SECONDS
        self.last_planned_at = now
        weights = self.view.shield_weights()
        if is_new_holder:
            # A new lease holder cannot know which quota shares an earlier holder has just taken away.
            self.freeze(self.limits(), now)
        rows = [*self.slot_rows(weights, now), *self.share_rows(weights, now)]
        if rows and task.holds_lease():
            await task.write_fenced(rows)
            self.context.counters.add("placement_rows", len(rows))

    def slot_rows(self, weights: dict[str, float], now: float) -> list[lease.Row]:
        """Return the rows of slots whose owners change."""
        current = self.view.slot_owners()
        released_machines = self.machines_to_release(set(current) - {""}, weights, now)
        planned, moved = slot_assignment.plan(current, weights, released_machines, VOLUNTARY_MOVES_LIMIT)
        if not moved:
            return []
        self.context.counters.add("slots_moved", moved)
        rows: list[lease.Row] = []
        for first_slot in range(0, rendezvous.SLOT_COUNT, slot_assignment.SLOTS_PER_ITEM):
            owners = planned[first_slot : first_slot + slot_assignment.SLOTS_PER_ITEM]
            if owners != current[first_slot : first_slot + slot_assignment.SLOTS_PER_ITEM]:
                rows.append((slot_assignment.item_key(first_slot), {"owners": owners}))
        return rows

    def machines_to_release(
        self, owners: collections.abc.Iterable[str], weights: dict[str, float], now: float
    ) -> set[str]:
        """Return the owners that lose all their slots: missing for too long, on standby, or evacuated."""
        released_machines = set()
        for machine in owners:
            if machine in weights:
                self.missing_since.pop(machine, None)
                continue
            since = self.missing_since.setdefault(machine, now)
            # Standby and evacuation are recorded decisions, so the slots move without a grace period.
            if now - since >= MISSING_GRACE_SECONDS or self.view.is_out_of_work(machine):
                released_machines.add(machine)
        return released_machines

    def limits(self) -> dict[str, quota_shares.ServiceLimit]:
        """Return by service its rate limit, in requests per second, and its limit of concurrent requests."""
        limits = {}
        for item in self.context.configuration.items_with_prefix("service/"):
            limit = item.value["ceiling"]
            limits[item.key.removeprefix("service/")] = quota_shares.ServiceLimit(
                limit["rate"], limit["inflight"]
            )
        return limits

    def freeze(self, services: collections.abc.Iterable[str], now: float) -> None:
        """Freeze the quota shares of services until the requests of their previous owners are certainly over.

        Requests that a previous owner has started run until their deadline, and an origin may continue to
        work on abandoned requests for as long again.
        """
        for service in services:
            row = self.context.configuration.value(f"service/{service}")
            deadline = DEFAULT_DEADLINE_SECONDS if row is None else row["deadline"]
            self.frozen_until[service] = (
                now + FRESHNESS_BOUND_SECONDS + service_limits.origin_work_seconds(deadline)
            )

    def share_rows(self, weights: dict[str, float], now: float) -> list[lease.Row]:
        """Return one row for each machine whose quota shares change."""
        current = self.view.shares()
        frozen: set[str] = set()
        # If there are no rows of shares at all, no machine can be using a share.
        if current:
            frozen = {service for service, until in self.frozen_until.items() if now < until}
        planned, reduced = quota_shares.plan(current, self.limits(), weights, frozen)
        self.freeze(reduced, now)
        return [
            (f"share/{machine}", shares or None)
            for machine, shares in planned.items()
            if shares != current.get(machine, {})
        ]
