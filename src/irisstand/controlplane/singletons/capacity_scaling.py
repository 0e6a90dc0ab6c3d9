"""Capacity scaling: machines that the load does not need go on standby; more load or a loss wakes them."""

import asyncio
import typing

from irisstand import node_context
from irisstand.balancing import standby_planning
from irisstand.controlplane.singletons import fleet_view, lease
from irisstand.membership import updates

INTERVAL_SECONDS = 1.0
# After such a pause this holder may have taken the lease anew.
NEW_HOLDER_SECONDS = 10 * INTERVAL_SECONDS
# So long nothing must have changed before the next machine goes on standby; machines are woken at once.
STANDBY_DELAY_SECONDS = 8.0
SAVINGS_INTERVAL_SECONDS = 60.0
REASONS_KEY = "staffing"
STANDBY_PREFIX = "rest/"
SAVINGS_PREFIX = "saved/"


class RolePlan(typing.NamedTuple):
    """The rows to write for a role's machines, and for each machine why it is awake or on standby."""

    rows: list[lease.Row]
    reasons: dict[str, str]


class CapacityScaling:
    """The work of the capacity scaling task on one node.

    Attributes:
        context: The node.
        view: The fleet as the node sees it.
        standby_delay_seconds: For how long nothing must have changed before a machine goes on standby.
        worked_at: When the work was done last.
        changed_at: When a machine went on standby or was woken last, or this node began to watch.
        standby_since: Since when, by this node's clock, the seconds of standby are not added up yet.
        is_alarmed: Whether a member was suspected since the last work, so that the next one must not wait.
    """

    def __init__(
        self, context: node_context.NodeContext, standby_delay_seconds: float = STANDBY_DELAY_SECONDS
    ) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        self.standby_delay_seconds = standby_delay_seconds
        self.worked_at = -1e9
        self.changed_at: float = context.clock.now()
        self.standby_since: dict[str, float] = {}
        self.is_alarmed = False
        context.detector.listeners.append(self.on_update)

    def on_update(self, update: updates.Update) -> None:
        """Note a suspicion: the member may be lost, and enough must be awake for the loss after that."""
        self.is_alarmed = self.is_alarmed or update.state is not updates.MemberState.ALIVE

    async def work(self, task: lease.SingletonTask) -> None:
        """Plan anew once an interval, or at once after a suspicion."""
        now = self.context.clock.now()
        if now - self.worked_at < INTERVAL_SECONDS and not self.is_alarmed:
            return
        self.is_alarmed = False
        if now - self.worked_at > NEW_HOLDER_SECONDS:
            # A new holder first watches for a while before it puts any machine on standby.
            self.changed_at = now
        self.worked_at = now
        rows = await self.plan(now)
        if rows and task.holds_lease():
            await task.write_fenced(rows)

    async def plan(self, now: float) -> list[lease.Row]:
        """Measure the load of all roles and return the rows that it calls for."""
        roles = list(fleet_view.DEFAULT_CAPACITY_BY_ROLE)
        # All at once: the lease is short, and a node that does not answer is waited for only once.
        answers: list[typing.Any] = await asyncio.gather(
            self.view.survives_any_loss(), *(self.view.measure_load(role) for role in roles)
        )
        is_core_safe: bool = answers[0]
        loads: list[fleet_view.MeasuredLoad] = answers[1:]
        rows: list[lease.Row] = []
        reasons: dict[str, str] = {}
        for role, load in zip(roles, loads, strict=True):
            # A machine that does not report its load may have much of it.
            may_scale_down = is_core_safe and load.all_answered
            plan = self.plan_role(role, now, load.rate_by_machine, may_scale_down=may_scale_down)
            rows += plan.rows
            reasons.update(plan.reasons)
        rows += self.savings_rows(now)
        if self.context.ledger.value(REASONS_KEY) != {"why": reasons}:
            rows.append((REASONS_KEY, {"why": reasons}))
        return rows

    def plan_role(self, role: str, now: float, rates: dict[str, float], *, may_scale_down: bool) -> RolePlan:
        """Return who of a role is to be on standby.

        Args:
            role: The role.
            now: The time by this node's clock.
            rates: Requests a second of the machines that answered just now. Others are not counted on: the
                member list holds a dead machine for some seconds.
            may_scale_down: Whether any machine may be on standby at all.
        """
        machines = self.view.machines(role, rates)
        names = {machine.name for machine in machines}
        present = {name for name in names if self.view.is_on_standby(name)}
        wanted, reasons = standby_planning.plan(
            machines, present, sum(rates.values()), may_enter_standby=may_scale_down
        )
        added = wanted - present
        if added and now - self.changed_at < self.standby_delay_seconds:
            for name in added:
                reasons[name] = "awake: it is to rest when things have been quiet for a while"
            wanted &= present
        rows = self.standby_rows(role, present, wanted) + self.rows_of_gone_machines(role, names)
        if rows:
            self.changed_at = now
        return RolePlan(rows, reasons)

    def standby_rows(self, role: str, present: set[str], wanted: set[str]) -> list[lease.Row]:
        """Return the rows that put machines on standby, and then those that wake machines."""
        rows: list[lease.Row] = [
            (f"{STANDBY_PREFIX}{name}", {"role": role}) for name in sorted(wanted - present)
        ]
        rows += [(f"{STANDBY_PREFIX}{name}", None) for name in sorted(present - wanted)]
        return rows

    def rows_of_gone_machines(self, role: str, names: set[str]) -> list[lease.Row]:
        """Return the end of standby of machines that are gone or evacuated: it is planned anew for them."""
        return [
            (item.key, None)
            for item in self.context.ledger.items_with_prefix(STANDBY_PREFIX)
            if item.value.get("role") == role and item.key.removeprefix(STANDBY_PREFIX) not in names
        ]

    def savings_rows(self, now: float) -> list[lease.Row]:
        """Return the seconds of standby to add up in the ledger: two holders have no clock in common."""
        ledger = self.context.ledger
        on_standby = {
            item.key.removeprefix(STANDBY_PREFIX) for item in ledger.items_with_prefix(STANDBY_PREFIX)
        }
        rows: list[lease.Row] = []
        for name in sorted(on_standby | set(self.standby_since)):
            since = self.standby_since.setdefault(name, now)
            is_woken = name not in on_standby
            if is_woken or now - since >= SAVINGS_INTERVAL_SECONDS:
                key = f"{SAVINGS_PREFIX}{name}"
                before = (ledger.value(key) or {"seconds": 0})["seconds"]
                rows.append((key, {"seconds": round(before + now - since)}))
                self.standby_since[name] = now
            if is_woken:
                del self.standby_since[name]
        return rows
