"""The fleet as the duties see it: the ledger's decisions beside SWIM's list."""

import asyncio
import collections.abc

from irisstand import errors, node_context
from irisstand.balancing import rendezvous, slot_assignment, standby_planning
from irisstand.state import items, quorum

# Who does not answer within this time is not counted on.
CALL_TIMEOUT_SECONDS = 0.5
DEFAULT_CAPACITY_BY_ROLE = {"shield": 100.0, "edge": 200.0}


class FleetView:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    def is_evacuated(self, site: str) -> bool:
        return self.context.is_evacuated(site)

    def is_resting(self, machine: str) -> bool:
        return self.context.is_standby(machine)

    def is_out(self, machine: str) -> bool:
        """Out of work by a recorded decision."""
        sites = {
            update.node_info.machine: update.node_info.site for update in self.context.members_of("shield")
        }
        return self.is_resting(machine) or (machine in sites and self.is_evacuated(sites[machine]))

    def row(self, kind: str, name: str) -> dict:
        return self.context.configuration.value(f"{kind}/{name}") or {}

    def shield_weights(self) -> dict[str, float]:
        """Shield machines that may be given work, with their weights."""
        found = {}
        for update in self.context.members_of("shield"):
            machine, site = update.node_info.machine, update.node_info.site
            weight = self.row("shield", machine).get("weight", 1) * self.row("site", site).get("weight", 1)
            if weight > 0 and not self.is_resting(machine) and not self.is_evacuated(site):
                found[machine] = weight
        return found

    def slot_owners(self) -> list[str]:
        owners: list[str] = []
        for number in range(0, rendezvous.SLOT_COUNT, slot_assignment.SLOTS_PER_ITEM):
            row = self.context.ledger.value(slot_assignment.item_key(number))
            owners += row["owners"] if row else [""] * slot_assignment.SLOTS_PER_ITEM
        return owners

    def shares(self) -> dict[str, dict[str, list[int]]]:
        return {
            item.key.removeprefix("share/"): item.value
            for item in self.context.ledger.items_with_prefix("share/")
        }

    def machines(
        self, role: str, heard: collections.abc.Container[str] | None = None
    ) -> list[standby_planning.Machine]:
        """Machines of a role that are up and not evacuated, resting or not; only those heard, if given."""
        found = []
        for update in self.context.members_of(role):
            machine = update.node_info.machine
            if update.state or self.is_evacuated(update.node_info.site):
                continue
            if heard is not None and machine not in heard:
                continue
            row = self.row("shield", machine) if role == "shield" else {}
            limit = row.get("limit", DEFAULT_CAPACITY_BY_ROLE[role])
            pinned = bool(self.row("machine", machine).get("awake"))
            found.append(standby_planning.Machine(machine, update.node_info.site, limit, pinned))
        return found

    async def core_carries(self) -> bool:
        """Asked of the voters themselves: the list holds a dead one for seconds."""
        return all(await asyncio.gather(*(self.voters_carry(table) for table in items.TABLES)))

    async def voters_carry(self, table: str) -> bool:
        voters = quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))
        heard = await asyncio.gather(*(self.stands(voter, table) for voter in voters))
        up = {voter.name for voter, stands in zip(voters, heard, strict=True) if stands}
        return bool(voters) and standby_planning.core_survives_any_loss(quorum.placements(voters), up)

    async def stands(self, voter: quorum.Voter, table: str) -> bool:
        try:
            reply = await self.context.transport.call(
                (voter.host, voter.port), voter.name, "stand", (table,), CALL_TIMEOUT_SECONDS
            )
            return reply[0] == voter.disk_id
        except errors.IrisError:
            return False

    async def gauges(self, role: str) -> tuple[dict[str, float], bool]:
        """Requests a second by machine, and whether every member of the role answered."""
        members = self.context.members_of(role)

        async def ask(update: object) -> float | None:
            try:
                return await self.context.transport.call(
                    update.node_info.address, update.identity.name, "gauge", (), CALL_TIMEOUT_SECONDS
                )
            except errors.IrisError:
                return None

        found = await asyncio.gather(*(ask(update) for update in members))
        rates = {
            update.node_info.machine: rate
            for update, rate in zip(members, found, strict=True)
            if rate is not None
        }
        return rates, len(rates) == len(members)
