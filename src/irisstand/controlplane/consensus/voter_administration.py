"""Voters by hand: one replaced by a spare core node, or retired, and only if the core can bear it."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import standby_planning
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import submitter as submitting
from irisstand.controlplane.singletons import fleet_view
from irisstand.state import items, quorum

PATIENCE = 5.0


class VoterAdministration:
    def __init__(self, context: node_context.NodeContext, submitter: submitting.Submitter) -> None:
        self.context, self.submitter = context, submitter
        self.view = fleet_view.FleetView(context)

    def of(self, table: str) -> list[quorum.Voter]:
        return quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))

    async def describe(self) -> dict[str, typing.Any]:
        """Each table's voters, which of them answer now, and who could take a place."""
        found: dict[str, typing.Any] = {}
        for table in items.TABLES:
            up = await self.up(self.of(table), table)
            found[table] = [
                {"name": v.name, "vault": v.disk_id, "site": v.site, "machine": v.machine, "up": v.name in up}
                for v in self.of(table)
            ]
        known = {voter.name for table in items.TABLES for voter in self.of(table)}
        spares = [u.identity.name for u in self.context.members_of("agency") if u.identity.name not in known]
        return {"voters": found, "spares": sorted(spares)}

    async def up(self, voters: list[quorum.Voter], table: str) -> set[str]:
        heard = await asyncio.gather(*(self.view.is_voting(voter, table) for voter in voters))
        return {voter.name for voter, stands in zip(voters, heard, strict=True) if stands}

    async def check(self, table: str, following: list[quorum.Voter]) -> None:
        """Refused before anything is written, unless what is up bears a loss as well as it did before."""
        present = self.of(table)
        up = await self.up(list({v.disk_id: v for v in [*present, *following]}.values()), table)

        majority = 2 * sum(voter.name in up for voter in following) > len(following)
        carried = standby_planning.core_survives_any_loss(quorum.placements(present), up)
        worse = carried and not standby_planning.core_survives_any_loss(quorum.placements(following), up)
        if not majority or worse or not following:
            figures = {
                "table": table,
                "voters": len(following),
                "up": sorted(voter.name for voter in following if voter.name in up),
                "sites": sorted({voter.site for voter in following}),
            }
            why = "the loss of one machine or site could not be borne" if majority else "no majority is up"
            error = errors.InsufficientCapacityError(f"with these voters of {table}, {why}", figures)
            error.remedy = "bring back the voters that are down, or put a spare in the place of the one"
            raise error

    async def retire(self, name: str) -> dict[str, typing.Any]:
        known = {voter.name for table in items.TABLES for voter in self.of(table)}
        names = {update.identity.name for update in self.context.members_of("agency")} | {
            self.context.settings.name
        }
        if name not in known | names:
            raise errors.UnknownNameError(
                f"no core node {name!r}", f"use one of {', '.join(sorted(known | names))}"
            )
        # All tables are judged before the first is written.
        left = {table: [v for v in self.of(table) if v.name != name] for table in items.TABLES}
        for table, following in left.items():
            if len(following) < len(self.of(table)):
                await self.check(table, following)
        for table in items.TABLES:
            await self.submitter.submit_for_operator(orders.Order(f"retire-{table}", "", name))
        return {"retired": name, "voters": sorted(voter.name for voter in left[items.LEDGER])}

    async def replace(self, old: str, new: str) -> dict[str, typing.Any]:
        """The spare first holds all tables durably; ordered again after a fault, the rest is done."""
        spare = next((u for u in self.context.members_of("agency") if u.identity.name == new), None)
        if spare is None:
            names = sorted(update.identity.name for update in self.context.members_of("agency"))
            remedy = f"start it first; up are: {', '.join(names) or 'none'}"
            raise errors.UnknownNameError(f"no core node {new!r} is up", remedy)
        reply = await self.context.transport.call(spare.node_info.address, new, "hold", (), PATIENCE)
        newcomer = quorum.Voter(*reply)
        for table in items.TABLES:
            known = [voter.name for voter in self.of(table)]
            if new in known and old in known:
                raise errors.BadRequestError(f"{new} votes already", f"retire {old} instead of replacing it")
            if new not in known and old not in known:
                raise errors.UnknownNameError(
                    f"{old!r} is no voter of {table}", f"use one of {', '.join(known)}"
                )
            kept = [voter for voter in self.of(table) if voter.name not in (old, new)]
            await self.check(table, [*kept, newcomer])
        for table in items.TABLES:
            payload = (tuple(newcomer), old)
            await self.submitter.submit_for_operator(orders.Order(f"enrol-{table}", "", payload))
        return {"replaced": old, "by": new, "voters": sorted({*known, new} - {old})}
