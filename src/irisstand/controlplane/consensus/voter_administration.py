"""Changes of voters by operators, who replace a voter by a spare node or retire it if that is safe."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import standby_planning
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import node_messages, request, submitter
from irisstand.controlplane.singletons import fleet_view
from irisstand.state import items, quorum

# Timeout for a spare node to save all tables to its disk.
DURABILITY_TIMEOUT_SECONDS = 5.0


class VoterAdministration:
    """Retires, replaces and describes voters on behalf of operators."""

    def __init__(self, context: node_context.NodeContext, node_submitter: submitter.Submitter) -> None:
        self.context = context
        self.submitter = node_submitter
        self.view = fleet_view.FleetView(context)

    def voters_of(self, table: str) -> list[quorum.Voter]:
        """Return the voters of a table according to this node's replica."""
        return quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))

    async def describe(self) -> dict[str, typing.Any]:
        """Return, as JSON, the voters of each table, whether each is up, and the spare nodes."""
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
        """Check that a majority of the next voters is up, and survives a loss if the current one does.

        Args:
            table: The table whose voters are to be changed.
            next_voters: The voters of the table after the change.

        Raises:
            irisstand.errors.InsufficientCapacityError: No majority of the next voters is up, or the loss of
                one machine or site would end the majority though the current voters would survive it.
        """
        current_voters = self.voters_of(table)
        checked_voters = list({voter.disk_id: voter for voter in [*current_voters, *next_voters]}.values())
        names_up = await self._names_up(checked_voters, table)
        is_majority = 2 * sum(voter.name in names_up for voter in next_voters) > len(next_voters)
        survives_now = standby_planning.voters_survive_any_loss(quorum.placements(current_voters), names_up)
        is_worse = survives_now and not standby_planning.voters_survive_any_loss(
            quorum.placements(next_voters), names_up
        )
        if not is_majority or is_worse or not next_voters:
            raise _insufficient(table, next_voters, names_up, is_majority=is_majority)

    async def retire(self, name: str) -> dict[str, typing.Any]:
        """Remove a voter from all tables, after checking that each table allows it.

        Raises:
            irisstand.errors.UnknownNameError: There is no control plane node of that name.
            irisstand.errors.InsufficientCapacityError: `check` rejects the remaining voters of a table.
        """
        members = {update.identity.name for update in self.context.members_of("agency")}
        known_names = self._voter_names() | members | {self.context.settings.name}
        if name not in known_names:
            raise errors.UnknownNameError(
                f"there is no control plane node {name!r}", f"use one of {', '.join(sorted(known_names))}"
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
        """Replace a voter in all tables by a spare node, which first saves all tables to its disk.

        If a replacement fails midway, repeating it changes the remaining tables.

        Args:
            old_name: The name of the voter to replace.
            new_name: The name of the spare node.

        Raises:
            irisstand.errors.UnknownNameError: The spare is not up, or `old_name` is not a voter.
            irisstand.errors.BadRequestError: Both nodes are voters.
            irisstand.errors.InsufficientCapacityError: `check` rejects the new voters of a table.
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
            raise errors.UnknownNameError(f"no control plane node {name!r} is up", remedy)
        message = node_messages.DurabilityCheck()
        address = spare.node_info.address
        return await request.call(self.context.transport, address, name, message, DURABILITY_TIMEOUT_SECONDS)

    async def _check_replacement(
        self, table: str, old_name: str, new_name: str, newcomer: quorum.Voter
    ) -> list[str]:
        """Check that a voter of one table may be replaced, and return the names of the current voters."""
        known_names = [voter.name for voter in self.voters_of(table)]
        if new_name in known_names and old_name in known_names:
            raise errors.BadRequestError(
                f"{new_name} is already a voter", f"retire {old_name} instead of replacing it"
            )
        if new_name not in known_names and old_name not in known_names:
            raise errors.UnknownNameError(
                f"{old_name!r} is not a voter of the {table} table", f"use one of {', '.join(known_names)}"
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
    reason = "the loss of a machine or site would end the majority" if is_majority else "no majority is up"
    error = errors.InsufficientCapacityError(f"with the new voters of the {table} table, {reason}", figures)
    error.remedy = "bring back the voters that are down, or put a spare in the place of the one"
    return error
