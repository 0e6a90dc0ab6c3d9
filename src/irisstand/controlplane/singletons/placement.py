"""The placement duty: slots to shield machines, and shares of the ceilings, both recorded in the ledger."""

from irisstand import node_context
from irisstand.balancing import quota_shares, rendezvous, service_limits, slot_assignment
from irisstand.controlplane.singletons import fleet_view, lease

# Slots moved of the machine's own will in one step; those of a lost machine move at once.
VOLUNTARY_MOVES_LIMIT = 8
INTERVAL_SECONDS = 1.0
# A machine that is missing keeps its slots for this long; its reads go to the next in the order meanwhile.
MISSING_GRACE_SECONDS = 3.0
# A holder cut off stops using its share within the freshness bound of two seconds at the most.
FRESHNESS_BOUND_SECONDS = 2.0


class ShieldPlacement:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        self.worked_at = -1e9
        self.lease_began = ""
        self.missing_since: dict[str, float] = {}
        self.frozen_until: dict[str, float] = {}

    async def work(self, duty: lease.SingletonTask) -> None:
        now = self.context.clock.now()
        if now - self.worked_at < INTERVAL_SECONDS:
            return
        first = now - self.worked_at > 10 * INTERVAL_SECONDS
        self.worked_at = now
        weights = self.view.shield_weights()
        if first:
            # What an earlier holder took away just before is not known here.
            self.freeze(self.ceilings(), now)
        rows = [*self.slot_rows(weights, now), *self.share_rows(weights, now)]
        if rows and duty.holds_lease():
            await duty.write_fenced(rows)
            self.context.counters.add("placement_rows", len(rows))

    def slot_rows(self, weights: dict[str, float], now: float) -> list:
        current = self.view.slot_owners()
        given_up = set()
        for machine in set(current) - {""}:
            if machine in weights:
                self.missing_since.pop(machine, None)
            else:
                since = self.missing_since.setdefault(machine, now)
                # Rest and evacuation are decisions, not accidents: nothing is waited for.
                if now - since >= MISSING_GRACE_SECONDS or self.view.is_out(machine):
                    given_up.add(machine)
        planned, moved = slot_assignment.plan(current, weights, given_up, VOLUNTARY_MOVES_LIMIT)
        if not moved:
            return []
        self.context.counters.add("slots_moved", moved)
        rows = []
        for number in range(0, rendezvous.SLOT_COUNT, slot_assignment.SLOTS_PER_ITEM):
            part = planned[number : number + slot_assignment.SLOTS_PER_ITEM]
            if part != current[number : number + slot_assignment.SLOTS_PER_ITEM]:
                rows.append((slot_assignment.item_key(number), {"owners": part}))
        return rows

    # -- shares --------------------------------------------------------------------------------------
    def ceilings(self) -> dict[str, tuple[int, int]]:
        found = {}
        for item in self.context.configuration.items_with_prefix("service/"):
            ceiling = item.value["ceiling"]
            found[item.key.removeprefix("service/")] = (ceiling["rate"], ceiling["inflight"])
        return found

    def freeze(self, services: object, now: float) -> None:
        for service in services:
            row = self.context.configuration.value(f"service/{service}") or {"deadline": 60}
            # Requests that the last holder began run until their deadline, and an origin may work on at those
            # that were abandoned for as long again.
            self.frozen_until[service] = (
                now + FRESHNESS_BOUND_SECONDS + service_limits.origin_work_seconds(row["deadline"])
            )

    def share_rows(self, weights: dict[str, float], now: float) -> list:
        current = self.view.shares()
        limits = self.ceilings()
        # With no rows at all, nobody can hold anything.
        frozen = {s for s, until in self.frozen_until.items() if now < until} if current else set()
        planned, reduced = quota_shares.plan(current, limits, weights, frozen)
        self.freeze(reduced, now)
        rows = []
        for machine, row in planned.items():
            if row != current.get(machine, {}):
                rows.append((f"share/{machine}", row or None))
        return rows
