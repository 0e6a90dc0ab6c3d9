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
            up = await self._names_up(self.voters_of(table), table)
            voters[table] = [_voter_to_json(voter, is_up=voter.name in up) for voter in self.voters_of(table)]
        known = self._voter_names()
        members = self.context.members_of("agency")
        spares = [update.identity.name for update in members if update.identity.name not in known]
        return {"voters": voters, "spares": sorted(spares)}

    def _voter_names(self) -> set[str]:
        return {voter.name for table in items.TABLES for voter in self.voters_of(table)}

    async def _names_up(self, voters: list[quorum.Voter], table: str) -> set[str]:
        answers = await asyncio.gather(*(self.view.is_voting(voter, table) for voter in voters))
        return {voter.name for voter, is_up in zip(voters, answers, strict=True) if is_up}

    async def check(self, table: str, following: list[quorum.Voter]) -> None:
        """Check that what is up survives a loss as well with the following voters as it does now.

        Raises:
            irisstand.errors.InsufficientCapacityError: It does not, or no majority of them is up.
        """
        present = self.voters_of(table)
        everyone = list({voter.disk_id: voter for voter in [*present, *following]}.values())
        up = await self._names_up(everyone, table)
        is_majority = 2 * sum(voter.name in up for voter in following) > len(following)
        survives_now = standby_planning.voters_survive_any_loss(quorum.placements(present), up)
        is_worse = survives_now and not standby_planning.voters_survive_any_loss(
            quorum.placements(following), up
        )
        if not is_majority or is_worse or not following:
            raise _insufficient(table, following, up, is_majority=is_majority)

    async def retire(self, name: str) -> dict[str, typing.Any]:
        """Take a voter out of all tables; all are checked before the first is written.

        Raises:
            irisstand.errors.UnknownNameError: There is no control plane node of that name.
            irisstand.errors.InsufficientCapacityError: The others could not bear a loss.
        """
        members = {update.identity.name for update in self.context.members_of("agency")}
        known = self._voter_names() | members | {self.context.settings.name}
        if name not in known:
            raise errors.UnknownNameError(f"no core node {name!r}", f"use one of {', '.join(sorted(known))}")
        left = {
            table: [voter for voter in self.voters_of(table) if voter.name != name] for table in items.TABLES
        }
        for table, following in left.items():
            if len(following) < len(self.voters_of(table)):
                await self.check(table, following)
        for table in items.TABLES:
            await self.submitter.submit_for_operator(orders.Order(f"retire-{table}", "", name))
        return {"retired": name, "voters": sorted(voter.name for voter in left[items.LEDGER])}

    async def replace(self, old: str, new: str) -> dict[str, typing.Any]:
        """Have a spare, which first puts all tables on its disk, replace a voter in all tables.

        Ordered again after a fault, the tables that are left are changed.

        Raises:
            irisstand.errors.UnknownNameError: The spare is not up, or `old` is no voter.
            irisstand.errors.BadRequestError: Both are voters.
            irisstand.errors.InsufficientCapacityError: The new set could not bear a loss.
        """
        newcomer = await self._durable_spare(new)
        names: list[str] = []
        for table in items.TABLES:
            names = await self._check_replacement(table, old, new, newcomer)
        for table in items.TABLES:
            order = orders.Order(f"enrol-{table}", "", (tuple(newcomer), old))
            await self.submitter.submit_for_operator(order)
        return {"replaced": old, "by": new, "voters": sorted({*names, new} - {old})}

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

    async def _check_replacement(self, table: str, old: str, new: str, newcomer: quorum.Voter) -> list[str]:
        """Check one table's replacement, and return the names of its present voters."""
        known = [voter.name for voter in self.voters_of(table)]
        if new in known and old in known:
            raise errors.BadRequestError(f"{new} votes already", f"retire {old} instead of replacing it")
        if new not in known and old not in known:
            raise errors.UnknownNameError(f"{old!r} is no voter of {table}", f"use one of {', '.join(known)}")
        kept = [voter for voter in self.voters_of(table) if voter.name not in (old, new)]
        await self.check(table, [*kept, newcomer])
        return known


def _voter_to_json(voter: quorum.Voter, *, is_up: bool) -> dict[str, typing.Any]:
    return {
        "name": voter.name,
        "vault": voter.disk_id,
        "site": voter.site,
        "machine": voter.machine,
        "up": is_up,
    }


def _insufficient(
    table: str, following: list[quorum.Voter], up: set[str], *, is_majority: bool
) -> errors.InsufficientCapacityError:
    figures = {
        "table": table,
        "voters": len(following),
        "up": sorted(voter.name for voter in following if voter.name in up),
        "sites": sorted({voter.site for voter in following}),
    }
    reason = "the loss of one machine or site could not be borne" if is_majority else "no majority is up"
    error = errors.InsufficientCapacityError(f"with these voters of {table}, {reason}", figures)
    error.remedy = "bring back the voters that are down, or put a spare in the place of the one"
    return error
