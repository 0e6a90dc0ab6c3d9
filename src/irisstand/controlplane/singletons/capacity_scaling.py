"""Capacity scaling: unneeded machines go on standby; more load or the loss of a machine activates them."""

import asyncio
import typing

from irisstand import node_context
from irisstand.balancing import standby_planning
from irisstand.controlplane.singletons import fleet_view, lease
from irisstand.membership import updates

INTERVAL_SECONDS = 1.0
# If this node has not run the task for longer than this, another node may have held the lease in between.
NEW_HOLDER_SECONDS = 10 * INTERVAL_SECONDS
# The next machine goes on standby only after this time without a change; machines are activated at once.
STANDBY_DELAY_SECONDS = 8.0
SAVINGS_INTERVAL_SECONDS = 60.0
REASONS_KEY = "staffing"
STANDBY_PREFIX = "rest/"
SAVINGS_PREFIX = "saved/"


class RolePlan(typing.NamedTuple):
    """The rows to write for a role's machines, and by machine the reason why it is active or on standby."""

    rows: list[lease.Row]
    reasons: dict[str, str]


class CapacityScaling:
    """Plans on one control plane node which machines are active and which are on standby.

    Attributes:
        context: The state and services of this node.
        view: The machines, sites and voters as this node knows them.
        standby_delay_seconds: For how long nothing must have changed before a machine goes on standby.
        last_planned_at: When `work` last planned, by this node's clock.
        changed_at: When a machine last went on standby or was activated, or when this node became the holder.
        standby_since: By machine, the time from which its seconds on standby are not yet added to the ledger.
        must_plan_now: Whether a member was suspected since the last plan, so the next one must not wait.
    """

    def __init__(
        self, context: node_context.NodeContext, standby_delay_seconds: float = STANDBY_DELAY_SECONDS
    ) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        self.standby_delay_seconds = standby_delay_seconds
        self.last_planned_at = -1e9
        self.changed_at: float = context.clock.now()
        self.standby_since: dict[str, float] = {}
        self.must_plan_now = False
        context.detector.listeners.append(self.on_update)

    def on_update(self, update: updates.Update) -> None:
        """Request a plan at once after a suspicion: the machines must be able to survive yet another loss."""
        self.must_plan_now = self.must_plan_now or update.state is not updates.MemberState.ALIVE

    async def work(self, task: lease.SingletonTask) -> None:
        """Plan which machines are on standby, once per interval or at once after a suspicion."""
        now = self.context.clock.now()
        if now - self.last_planned_at < INTERVAL_SECONDS and not self.must_plan_now:
            return
        self.must_plan_now = False
        if now - self.last_planned_at > NEW_HOLDER_SECONDS:
            # A new lease holder waits for the standby delay before it puts any machine on standby.
            self.changed_at = now
        self.last_planned_at = now
        rows = await self.plan(now)
        if rows and task.holds_lease():
            await task.write_fenced(rows)

    async def plan(self, now: float) -> list[lease.Row]:
        """Measure the load of all roles and return the rows of the resulting plan."""
        roles = list(fleet_view.DEFAULT_CAPACITY_BY_ROLE)
        # The calls run concurrently: the lease is short, so the timeouts of dead nodes must not add up.
        answers: list[typing.Any] = await asyncio.gather(
            self.view.survives_any_loss(), *(self.view.measure_load(role) for role in roles)
        )
        voters_survive_loss: bool = answers[0]
        loads: list[fleet_view.MeasuredLoad] = answers[1:]
        rows: list[lease.Row] = []
        reasons: dict[str, str] = {}
        for role, load in zip(roles, loads, strict=True):
            # A machine that does not report its load may have a high load.
            may_scale_down = voters_survive_loss and load.all_answered
            plan = self.plan_role(role, now, load.rate_by_machine, may_scale_down=may_scale_down)
            rows += plan.rows
            reasons.update(plan.reasons)
        rows += self.savings_rows(now)
        if self.context.ledger.value(REASONS_KEY) != {"why": reasons}:
            rows.append((REASONS_KEY, {"why": reasons}))
        return rows

    def plan_role(self, role: str, now: float, rates: dict[str, float], *, may_scale_down: bool) -> RolePlan:
        """Return the plan of which machines of a role are on standby.

        Args:
            role: The role, a key of `DEFAULT_CAPACITY_BY_ROLE`.
            now: The time by this node's monotonic clock, in seconds.
            rates: The requests per second of the machines that have just replied. The plan uses only these
                machines: the member list keeps a dead machine for some seconds.
            may_scale_down: Whether any machine may be on standby at all.
        """
        machines = self.view.machines(role, rates)
        names = {machine.name for machine in machines}
        current_standby = {name for name in names if self.view.is_on_standby(name)}
        planned_standby, reasons = standby_planning.plan(
            machines, current_standby, sum(rates.values()), may_enter_standby=may_scale_down
        )
        added = planned_standby - current_standby
        if added and now - self.changed_at < self.standby_delay_seconds:
            for name in added:
                reasons[name] = "awake: it is to rest when things have been quiet for a while"
            planned_standby &= current_standby
        rows = self.standby_rows(role, current_standby, planned_standby) + self.rows_of_gone_machines(
            role, names
        )
        if rows:
            self.changed_at = now
        return RolePlan(rows, reasons)

    def standby_rows(
        self, role: str, current_standby: set[str], planned_standby: set[str]
    ) -> list[lease.Row]:
        """Return the rows that put machines on standby, followed by those that activate machines."""
        rows: list[lease.Row] = [
            (f"{STANDBY_PREFIX}{name}", {"role": role}) for name in sorted(planned_standby - current_standby)
        ]
        rows += [(f"{STANDBY_PREFIX}{name}", None) for name in sorted(current_standby - planned_standby)]
        return rows

    def rows_of_gone_machines(self, role: str, names: set[str]) -> list[lease.Row]:
        """Return the rows that end the standby of machines that are down or evacuated, to plan it anew."""
        return [
            (item.key, None)
            for item in self.context.ledger.items_with_prefix(STANDBY_PREFIX)
            if item.value.get("role") == role and item.key.removeprefix(STANDBY_PREFIX) not in names
        ]

    def savings_rows(self, now: float) -> list[lease.Row]:
        """Return the rows with each machine's total seconds on standby.

        The ledger keeps the totals, and each lease holder adds only differences of its own clock, as two
        holders have no clock in common.
        """
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
