"""The staffing duty: machines that the load does not need rest; load, loss and evacuation wake them."""

import asyncio

from irisstand import node_context
from irisstand.balancing import standby_planning
from irisstand.controlplane.singletons import fleet_view, lease
from irisstand.membership import updates

INTERVAL_SECONDS = 1.0
# Seconds of quiet before the next machine is put to rest; waking never waits.
STANDBY_DELAY_SECONDS = 8.0
SAVINGS_INTERVAL_SECONDS = 60.0


class CapacityScaling:
    def __init__(self, context: node_context.NodeContext, rest_pause: float = STANDBY_DELAY_SECONDS) -> None:
        self.context, self.standby_delay_seconds = context, rest_pause
        self.view = fleet_view.FleetView(context)
        self.worked_at = -1e9
        self.changed_at = context.clock.now()
        self.resting_since: dict[str, float] = {}
        self.alarmed = False
        context.detector.listeners.append(self.hear)

    def hear(self, update: updates.Update) -> None:
        """Whoever is suspected may be lost, and enough must be awake for the loss after that."""
        self.alarmed = self.alarmed or update.state is not updates.MemberState.ALIVE

    async def work(self, duty: lease.SingletonTask) -> None:
        now = self.context.clock.now()
        if now - self.worked_at < INTERVAL_SECONDS and not self.alarmed:
            return
        self.alarmed = False
        if now - self.worked_at > 10 * INTERVAL_SECONDS:
            # A new holder first watches for a while before it puts anybody to rest.
            self.changed_at = now
        self.worked_at = now
        rows: list = []
        reasons: dict[str, str] = {}
        roles = list(fleet_view.DEFAULT_CAPACITY_BY_ROLE)
        # All at once: the term is short, and whoever does not answer is waited for only once.
        core_carries, *heard = await asyncio.gather(
            self.view.core_carries(), *(self.view.gauges(role) for role in roles)
        )
        for role, (rates, all_answered) in zip(roles, heard, strict=True):
            role_rows, role_reasons = self.plan_role(role, now, rates, core_carries and all_answered)
            rows += role_rows
            reasons.update(role_reasons)
        rows += self.saved_rows(now)
        if self.context.ledger.value("staffing") != {"why": reasons}:
            rows.append(("staffing", {"why": reasons}))
        if rows and duty.holds_lease():
            await duty.write_fenced(rows)

    def plan_role(
        self, role: str, now: float, rates: dict[str, float], may_rest: bool
    ) -> tuple[list, dict[str, str]]:
        """A machine that does not tell its load may carry a lot: then `may_rest` is False."""
        # Only who has answered just now is counted on: SWIM's list holds a dead machine for some seconds.
        machines = self.view.machines(role, rates)
        names = {machine.name for machine in machines}
        resting = {name for name in names if self.view.is_resting(name)}
        rest, reasons = standby_planning.plan(machines, resting, sum(rates.values()), may_rest)
        if rest - resting and now - self.changed_at < self.standby_delay_seconds:
            for name in rest - resting:
                reasons[name] = "awake: it is to rest when things have been quiet for a while"
            rest &= resting
        rows = [(f"rest/{name}", {"role": role}) for name in sorted(rest - resting)]
        rows += [(f"rest/{name}", None) for name in sorted(resting - rest)]
        # What is gone from the fleet, or evacuated, rests no more: it has to earn its rest again.
        for item in self.context.ledger.items_with_prefix("rest/"):
            name = item.key.removeprefix("rest/")
            if item.value.get("role") == role and name not in names:
                rows.append((item.key, None))
        if rows:
            self.changed_at = now
        return rows, reasons

    def saved_rows(self, now: float) -> list:
        """Seconds at rest, added up in the ledger, as no clock is common to two holders."""
        resting = {item.key.removeprefix("rest/") for item in self.context.ledger.items_with_prefix("rest/")}
        rows = []
        for name in sorted(resting | set(self.resting_since)):
            since = self.resting_since.setdefault(name, now)
            woken = name not in resting
            if woken or now - since >= SAVINGS_INTERVAL_SECONDS:
                before = (self.context.ledger.value(f"saved/{name}") or {"seconds": 0})["seconds"]
                rows.append((f"saved/{name}", {"seconds": round(before + now - since)}))
                self.resting_since[name] = now
            if woken:
                del self.resting_since[name]
        return rows
