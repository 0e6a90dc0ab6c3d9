"""The fleet as singleton tasks see it: the decisions stored in the ledger, combined with the member list."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.balancing import rendezvous, slot_assignment, standby_planning
from irisstand.membership import updates
from irisstand.state import items, quorum

# A node that does not reply within this time is treated as unavailable.
CALL_TIMEOUT_SECONDS = 0.5
SHIELD_ROLE = "shield"
EDGE_ROLE = "edge"
# By role, the requests per second that a machine may get if its configuration row sets no limit.
DEFAULT_CAPACITY_BY_ROLE = {SHIELD_ROLE: 100.0, EDGE_ROLE: 200.0}


class MeasuredLoad(typing.NamedTuple):
    """The load that the machines of a role report.

    Attributes:
        rate_by_machine: By machine that replied, its requests per second.
        all_answered: Whether every member of the role replied.
    """

    rate_by_machine: dict[str, float]
    all_answered: bool


class FleetView:
    """The machines, sites and voters of the fleet, as one control plane node knows or measures them."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    def is_evacuated(self, site: str) -> bool:
        """Return whether the ledger marks a site as evacuated."""
        return self.context.is_evacuated(site)

    def is_on_standby(self, machine: str) -> bool:
        """Return whether the ledger marks a machine as on standby."""
        return self.context.is_standby(machine)

    def is_out_of_work(self, machine: str) -> bool:
        """Return whether a shield machine is to have no work, being on standby or at an evacuated site."""
        sites = {
            update.node_info.machine: update.node_info.site for update in self.context.members_of(SHIELD_ROLE)
        }
        if self.is_on_standby(machine):
            return True
        return machine in sites and self.is_evacuated(sites[machine])

    def configuration_row(self, kind: str, name: str) -> dict[str, typing.Any]:
        """Return the value of a configuration row, an empty object if there is no such row."""
        return self.context.configuration.value(f"{kind}/{name}") or {}

    def shield_weights(self) -> dict[str, float]:
        """Return by machine the positive weights of shield machines that are active and not evacuated."""
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
        """Return the shield machine that owns each slot, an empty string for a slot without owner."""
        owners: list[str] = []
        for number in range(0, rendezvous.SLOT_COUNT, slot_assignment.SLOTS_PER_ITEM):
            row = self.context.ledger.value(slot_assignment.item_key(number))
            owners += row["owners"] if row else [""] * slot_assignment.SLOTS_PER_ITEM
        return owners

    def shares(self) -> dict[str, dict[str, list[int]]]:
        """Return the quota shares from the ledger, by shield machine and service."""
        return {
            item.key.removeprefix("share/"): item.value
            for item in self.context.ledger.items_with_prefix("share/")
        }

    def machines(
        self, role: str, among: collections.abc.Container[str] | None = None
    ) -> list[standby_planning.Machine]:
        """Return the machines of a role that are up and not evacuated, those on standby included.

        Args:
            role: The role, a key of `DEFAULT_CAPACITY_BY_ROLE`.
            among: The names of the machines to choose from; None for all machines.
        """
        return [
            self.planned_machine(role, update)
            for update in self.context.members_of(role)
            if not update.state
            and not self.is_evacuated(update.node_info.site)
            and (among is None or update.node_info.machine in among)
        ]

    def planned_machine(self, role: str, update: updates.Update) -> standby_planning.Machine:
        """Return a member's machine with its capacity, and whether operators pinned it as active."""
        machine = update.node_info.machine
        row = self.configuration_row("shield", machine) if role == SHIELD_ROLE else {}
        capacity = row.get("limit", DEFAULT_CAPACITY_BY_ROLE[role])
        is_pinned = bool(self.configuration_row("machine", machine).get("awake"))
        return standby_planning.Machine(machine, update.node_info.site, capacity, is_pinned)

    async def survives_any_loss(self) -> bool:
        """Return whether the voters of every table keep a majority after the loss of any machine or site.

        The voters are called directly, as the member list keeps a dead voter for some seconds.
        """
        return all(await asyncio.gather(*(self.voters_survive_any_loss(table) for table in items.TABLES)))

    async def voters_survive_any_loss(self, table: str) -> bool:
        """Return whether the voters of a table that reply keep a majority after any one such loss."""
        voters = quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))
        answers = await asyncio.gather(*(self.is_voting(voter, table) for voter in voters))
        up = {voter.name for voter, answer in zip(voters, answers, strict=True) if answer}
        return bool(voters) and standby_planning.voters_survive_any_loss(quorum.placements(voters), up)

    async def is_voting(self, voter: quorum.Voter, table: str) -> bool:
        """Return whether a voter replies in time, with the id of the disk that the set of voters lists."""
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
        """Ask every member of a role for its load in requests per second."""
        members = self.context.members_of(role)
        rates = await asyncio.gather(*(self.ask_load(member) for member in members))
        rate_by_machine = {
            member.node_info.machine: rate
            for member, rate in zip(members, rates, strict=True)
            if rate is not None
        }
        return MeasuredLoad(rate_by_machine, len(rate_by_machine) == len(members))

    async def ask_load(self, member: updates.Update) -> float | None:
        """Return a member's load in requests per second, None if it does not reply."""
        try:
            rate: float = await self.context.transport.call(
                member.node_info.address, member.identity.name, "gauge", (), CALL_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            return None
        return rate
