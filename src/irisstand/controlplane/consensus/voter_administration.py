"""Voters changed by operators: replaced by a spare node or retired, and only if the core can bear it."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import standby_planning
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import node_messages, request, submitter
from irisstand.controlplane.singletons import fleet_view
from irisstand.state import items, quorum

# For all tables to be on the disk of a spare.
DURABILITY_TIMEOUT_SECONDS = 5.0


class VoterAdministration:
    """Carries out what operators order about voters, and shows them."""

    def __init__(self, context: node_context.NodeContext, node_submitter: submitter.Submitter) -> None:
        self.context = context
        self.submitter = node_submitter
        self.view = fleet_view.FleetView(context)

    def voters_of(self, table: str) -> list[quorum.Voter]:
        """Return the voters of a table as this node's replica has them."""
        return quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))

    async def describe(self) -> dict[str, typing.Any]:
        """Return each table's voters, which of them answer now, and who could replace one, as JSON."""
        voters: dict[str, typing.Any] = {}
        for table in items.TABLES:
            names_up = await self._names_up(self.voters_of(table), table)
            voters[table] = [
                _voter_to_json(voter, is_up=voter.name in names_up) for voter in self.voters_of(table)
            ]
        known_names = self._voter_names()
        members = self.context.members_of("agency")
        spares = [update.identity.name for update in members if update.identity.name not in known_names]
        return {"voters": voters, "spares": sorted(spares)}

    def _voter_names(self) -> set[str]:
        return {voter.name for table in items.TABLES for voter in self.voters_of(table)}

    async def _names_up(self, voters: list[quorum.Voter], table: str) -> set[str]:
        voting_flags = await asyncio.gather(*(self.view.is_voting(voter, table) for voter in voters))
        return {voter.name for voter, is_up in zip(voters, voting_flags, strict=True) if is_up}

    async def check(self, table: str, next_voters: list[quorum.Voter]) -> None:
        """Check that what is up survives a loss as well with the following voters as it does now.

        Raises:
            irisstand.errors.InsufficientCapacityError: It does not, or no majority of them is up.
        """
        current_voters = self.voters_of(table)
        checked_voters = list({voter.disk_id: voter for voter in [*current_voters, *next_voters]}.values())
        names_up = await self._names_up(checked_voters, table)
        is_majority = 2 * sum(voter.name in names_up for voter in next_voters) > len(next_voters)
        survives_now = standby_planning.core_survives_any_loss(quorum.placements(current_voters), names_up)
        is_worse = survives_now and not standby_planning.core_survives_any_loss(
            quorum.placements(next_voters), names_up
        )
        if not is_majority or is_worse or not next_voters:
            raise _insufficient(table, next_voters, names_up, is_majority=is_majority)

    async def retire(self, name: str) -> dict[str, typing.Any]:
        """Take a voter out of all tables; all are checked before the first is written.

        Raises:
            irisstand.errors.UnknownNameError: There is no control plane node of that name.
            irisstand.errors.InsufficientCapacityError: The others could not bear a loss.
        """
        members = {update.identity.name for update in self.context.members_of("agency")}
        known_names = self._voter_names() | members | {self.context.settings.name}
        if name not in known_names:
            raise errors.UnknownNameError(
                f"no core node {name!r}", f"use one of {', '.join(sorted(known_names))}"
            )
        remaining_voters = {
            table: [voter for voter in self.voters_of(table) if voter.name != name] for table in items.TABLES
        }
        for table, next_voters in remaining_voters.items():
            if len(next_voters) < len(self.voters_of(table)):
                await self.check(table, next_voters)
        for table in items.TABLES:
            await self.submitter.submit_for_operator(orders.Order(f"retire-{table}", "", name))
        return {"retired": name, "voters": sorted(voter.name for voter in remaining_voters[items.LEDGER])}

    async def replace(self, old_name: str, new_name: str) -> dict[str, typing.Any]:
        """Have a spare, which first puts all tables on its disk, replace a voter in all tables.

        Ordered again after a fault, the tables that are left are changed.

        Raises:
            irisstand.errors.UnknownNameError: The spare is not up, or `old` is no voter.
            irisstand.errors.BadRequestError: Both are voters.
            irisstand.errors.InsufficientCapacityError: The new set could not bear a loss.
        """
        newcomer = await self._durable_spare(new_name)
        names: list[str] = []
        for table in items.TABLES:
            names = await self._check_replacement(table, old_name, new_name, newcomer)
        for table in items.TABLES:
            order = orders.Order(f"enrol-{table}", "", (tuple(newcomer), old_name))
            await self.submitter.submit_for_operator(order)
        return {"replaced": old_name, "by": new_name, "voters": sorted({*names, new_name} - {old_name})}

    async def _durable_spare(self, name: str) -> quorum.Voter:
        members = self.context.members_of("agency")
        spare = next((update for update in members if update.identity.name == name), None)
        if spare is None:
            names = sorted(update.identity.name for update in members)
            remedy = f"start it first; up are: {', '.join(names) or 'none'}"
            raise errors.UnknownNameError(f"no core node {name!r} is up", remedy)
        message = node_messages.DurabilityCheck()
        address = spare.node_info.address
        return await request.call(self.context.transport, address, name, message, DURABILITY_TIMEOUT_SECONDS)

    async def _check_replacement(
        self, table: str, old_name: str, new_name: str, newcomer: quorum.Voter
    ) -> list[str]:
        """Check one table's replacement, and return the names of its present voters."""
        known_names = [voter.name for voter in self.voters_of(table)]
        if new_name in known_names and old_name in known_names:
            raise errors.BadRequestError(
                f"{new_name} votes already", f"retire {old_name} instead of replacing it"
            )
        if new_name not in known_names and old_name not in known_names:
            raise errors.UnknownNameError(
                f"{old_name!r} is no voter of {table}", f"use one of {', '.join(known_names)}"
            )
        kept = [voter for voter in self.voters_of(table) if voter.name not in (old_name, new_name)]
        await self.check(table, [*kept, newcomer])
        return known_names


def _voter_to_json(voter: quorum.Voter, *, is_up: bool) -> dict[str, typing.Any]:
    return {
        "name": voter.name,
        "vault": voter.disk_id,
        "site": voter.site,
        "machine": voter.machine,
        "up": is_up,
    }


def _insufficient(
    table: str, next_voters: list[quorum.Voter], names_up: set[str], *, is_majority: bool
) -> errors.InsufficientCapacityError:
    figures = {
        "table": table,
        "voters": len(next_voters),
        "up": sorted(voter.name for voter in next_voters if voter.name in names_up),
        "sites": sorted({voter.site for voter in next_voters}),
    }
    reason = "the loss of one machine or site could not be borne" if is_majority else "no majority is up"
    error = errors.InsufficientCapacityError(f"with these voters of {table}, {reason}", figures)
    error.remedy = "bring back the voters that are down, or put a spare in the place of the one"
    return error
