"""The fleet as singleton tasks see it: decisions recorded in the ledger beside the member list."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.balancing import rendezvous, slot_assignment, standby_planning
from irisstand.membership import updates
from irisstand.state import items, quorum

# A node that does not answer within this time is not counted on.
CALL_TIMEOUT_SECONDS = 0.5
SHIELD_ROLE = "shield"
EDGE_ROLE = "edge"
# Requests a second that a machine may get where its row sets no limit.
DEFAULT_CAPACITY_BY_ROLE = {SHIELD_ROLE: 100.0, EDGE_ROLE: 200.0}


class MeasuredLoad(typing.NamedTuple):
    """The load of a role's machines as they report it.

    Attributes:
        rate_by_machine: Requests a second of the machines that answered.
        all_answered: Whether every member of the role answered.
    """

    rate_by_machine: dict[str, float]
    all_answered: bool


class FleetView:
    """Answers questions on machines, sites and voters for one node."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    def is_evacuated(self, site: str) -> bool:
        """Return whether a site is evacuated."""
        return self.context.is_evacuated(site)

    def is_on_standby(self, machine: str) -> bool:
        """Return whether a machine is on standby."""
        return self.context.is_standby(machine)

    def is_out_of_work(self, machine: str) -> bool:
        """Return whether a shield machine has no work by a recorded decision: standby or evacuation."""
        sites = {
            update.node_info.machine: update.node_info.site for update in self.context.members_of(SHIELD_ROLE)
        }
        if self.is_on_standby(machine):
            return True
        return machine in sites and self.is_evacuated(sites[machine])

    def configuration_row(self, kind: str, name: str) -> dict[str, typing.Any]:
        """Return the value of a configuration row, empty if there is none."""
        return self.context.configuration.value(f"{kind}/{name}") or {}

    def shield_weights(self) -> dict[str, float]:
        """Return the weights of the shield machines that may be given work."""
        weights = {}
        for update in self.context.members_of(SHIELD_ROLE):
            machine = update.node_info.machine
            site = update.node_info.site
            machine_weight = self.configuration_row("shield", machine).get("weight", 1)
            weight = machine_weight * self.configuration_row("site", site).get("weight", 1)
            if weight > 0 and not self.is_on_standby(machine) and not self.is_evacuated(site):
                weights[machine] = weight
        return weights

    def slot_owners(self) -> list[str]:
        """Return the shield machine of each slot, empty for a slot that has none."""
        owners: list[str] = []
        for number in range(0, rendezvous.SLOT_COUNT, slot_assignment.SLOTS_PER_ITEM):
            row = self.context.ledger.value(slot_assignment.item_key(number))
            owners += row["owners"] if row else [""] * slot_assignment.SLOTS_PER_ITEM
        return owners

    def shares(self) -> dict[str, dict[str, list[int]]]:
        """Return the quota shares by shield machine and service."""
        return {
            item.key.removeprefix("share/"): item.value
            for item in self.context.ledger.items_with_prefix("share/")
        }

    def machines(
        self, role: str, among: collections.abc.Container[str] | None = None
    ) -> list[standby_planning.Machine]:
        """Return the machines of a role that are up and not evacuated, those on standby included.

        Args:
            role: The role, with an entry in `DEFAULT_CAPACITY_BY_ROLE`.
            among: The names to choose from; all if not given.
        """
        return [
            self.planned_machine(role, update)
            for update in self.context.members_of(role)
            if not update.state
            and not self.is_evacuated(update.node_info.site)
            and (among is None or update.node_info.machine in among)
        ]

    def planned_machine(self, role: str, update: updates.Update) -> standby_planning.Machine:
        """Return a member's machine with its capacity, and whether operators keep it awake."""
        machine = update.node_info.machine
        row = self.configuration_row("shield", machine) if role == SHIELD_ROLE else {}
        capacity = row.get("limit", DEFAULT_CAPACITY_BY_ROLE[role])
        is_pinned = bool(self.configuration_row("machine", machine).get("awake"))
        return standby_planning.Machine(machine, update.node_info.site, capacity, is_pinned)

    async def survives_any_loss(self) -> bool:
        """Return whether the voters of every table keep a majority after the loss of any machine or site.

        The voters are asked themselves: the member list holds a dead one for seconds.
        """
        return all(await asyncio.gather(*(self.voters_survive_any_loss(table) for table in items.TABLES)))

    async def voters_survive_any_loss(self, table: str) -> bool:
        """Return whether the voters of a table that answer keep a majority after any such loss."""
        voters = quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))
        answers = await asyncio.gather(*(self.is_voting(voter, table) for voter in voters))
        up = {voter.name for voter, answer in zip(voters, answers, strict=True) if answer}
        return bool(voters) and standby_planning.voters_survive_any_loss(quorum.placements(voters), up)

    async def is_voting(self, voter: quorum.Voter, table: str) -> bool:
        """Return whether a voter answers at once, with the disk by which it votes on a table."""
        address = (voter.host, voter.port)
        try:
            reply = await self.context.transport.call(
                address, voter.name, "stand", (table,), CALL_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            return False
        is_same_disk: bool = reply[0] == voter.disk_id
        return is_same_disk

    async def measure_load(self, role: str) -> MeasuredLoad:
        """Ask every member of a role for its load."""
        members = self.context.members_of(role)
        rates = await asyncio.gather(*(self.ask_load(member) for member in members))
        rate_by_machine = {
            member.node_info.machine: rate
            for member, rate in zip(members, rates, strict=True)
            if rate is not None
        }
        return MeasuredLoad(rate_by_machine, len(rate_by_machine) == len(members))

    async def ask_load(self, member: updates.Update) -> float | None:
        """Return a member's requests a second, None if it does not answer."""
        try:
            rate: float = await self.context.transport.call(
                member.node_info.address, member.identity.name, "gauge", (), CALL_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            return None
        return rate
