"""Placement on shield machines: slots of the object space, and quota shares of the services' limits."""

import collections.abc

from irisstand import node_context
from irisstand.balancing import quota_shares, rendezvous, service_limits, slot_assignment
from irisstand.controlplane.singletons import fleet_view, lease

INTERVAL_SECONDS = 1.0
# After such a pause this holder may have taken the lease anew.
NEW_HOLDER_SECONDS = 10 * INTERVAL_SECONDS
# Slots moved in one step between machines that are up; slots of a lost machine move all at once.
VOLUNTARY_MOVES_LIMIT = 8
# A missing machine keeps its slots for so long; reads of them go to the next machine meanwhile.
MISSING_GRACE_SECONDS = 3.0
# A machine that is cut off stops using its share within the freshness bound.
FRESHNESS_BOUND_SECONDS = 2.0
# Of a service that has no row any more.
DEFAULT_DEADLINE_SECONDS = 60


class ShieldPlacement:
    """The work of the placement task on one node.

    Attributes:
        context: The node.
        view: The fleet as the node sees it.
        worked_at: When the work was done last.
        missing_since: Since when machines that own slots are missing.
        frozen_until: Until when nothing that was taken of a service's limits may be given to others.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        self.worked_at = -1e9
        self.missing_since: dict[str, float] = {}
        self.frozen_until: dict[str, float] = {}

    async def work(self, task: lease.SingletonTask) -> None:
        """Plan anew once an interval, and write what has changed."""
        now = self.context.clock.now()
        if now - self.worked_at < INTERVAL_SECONDS:
            return
        is_new_holder = now - self.worked_at > NEW_HOLDER_SECONDS
        self.worked_at = now
        weights = self.view.shield_weights()
        if is_new_holder:
            # What an earlier holder took away just before is not known here.
            self.freeze(self.limits(), now)
        rows = [*self.slot_rows(weights, now), *self.share_rows(weights, now)]
        if rows and task.holds_lease():
            await task.write_fenced(rows)
            self.context.counters.add("placement_rows", len(rows))

    def slot_rows(self, weights: dict[str, float], now: float) -> list[lease.Row]:
        """Return the rows of slots whose machines change."""
        current = self.view.slot_owners()
        given_up = self.given_up_machines(set(current) - {""}, weights, now)
        planned, moved = slot_assignment.plan(current, weights, given_up, VOLUNTARY_MOVES_LIMIT)
        if not moved:
            return []
        self.context.counters.add("slots_moved", moved)
        rows: list[lease.Row] = []
        for first in range(0, rendezvous.SLOT_COUNT, slot_assignment.SLOTS_PER_ITEM):
            owners = planned[first : first + slot_assignment.SLOTS_PER_ITEM]
            if owners != current[first : first + slot_assignment.SLOTS_PER_ITEM]:
                rows.append((slot_assignment.item_key(first), {"owners": owners}))
        return rows

    def given_up_machines(
        self, owners: collections.abc.Iterable[str], weights: dict[str, float], now: float
    ) -> set[str]:
        """Return the owners whose slots are moved: missing for too long, or out of work by decision."""
        given_up = set()
        for machine in owners:
            if machine in weights:
                self.missing_since.pop(machine, None)
                continue
            since = self.missing_since.setdefault(machine, now)
            # Standby and evacuation are decisions and no accidents: there is nothing to wait for.
            if now - since >= MISSING_GRACE_SECONDS or self.view.is_out_of_work(machine):
                given_up.add(machine)
        return given_up

    def limits(self) -> dict[str, quota_shares.ServiceLimit]:
        """Return the limits of each service: requests a second, and requests in flight."""
        limits = {}
        for item in self.context.configuration.items_with_prefix("service/"):
            limit = item.value["ceiling"]
            limits[item.key.removeprefix("service/")] = quota_shares.ServiceLimit(
                limit["rate"], limit["inflight"]
            )
        return limits

    def freeze(self, services: collections.abc.Iterable[str], now: float) -> None:
        """Give nothing of these services to others until their requests of before are certainly over.

        Requests that the last holder began run until their deadline, and an origin may work on at those that
        were abandoned for as long again.
        """
        for service in services:
            row = self.context.configuration.value(f"service/{service}")
            deadline = DEFAULT_DEADLINE_SECONDS if row is None else row["deadline"]
            self.frozen_until[service] = (
                now + FRESHNESS_BOUND_SECONDS + service_limits.origin_work_seconds(deadline)
            )

    def share_rows(self, weights: dict[str, float], now: float) -> list[lease.Row]:
        """Return the rows of machines whose quota shares change."""
        current = self.view.shares()
        frozen: set[str] = set()
        # With no rows at all, nobody can hold anything.
        if current:
            frozen = {service for service, until in self.frozen_until.items() if now < until}
        planned, reduced = quota_shares.plan(current, self.limits(), weights, frozen)
        self.freeze(reduced, now)
        return [
            (f"share/{machine}", shares or None)
            for machine, shares in planned.items()
            if shares != current.get(machine, {})
        ]
