"""What an evacuation would mean, before it is decided: whether the rest can carry the load, and the core."""

import asyncio
import typing

from irisstand import control_errors, errors, node_context, node_settings
from irisstand.controlplane import fleet_view
from irisstand.state import items, quorum

CONFIRM_PATIENCE = 0.8


class Evacuation:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)

    def check_site(self, site: str) -> None:
        """Refused for good only by settings that name all sites: a member list alone may lack the newest."""
        named = set(node_settings.pairs(self.context.settings.region_by_site))
        known = {update.card.site for update in self.context.detector.roster.members.values()}
        known |= {self.context.settings.site, *named}
        known |= {item.key.split("/", 1)[1] for item in self.context.configuration.under("site/")}
        if site in known:
            return
        if named:
            raise errors.Unknown(f"no site {site!r}", f"use one of {', '.join(sorted(known))}")
        remedy = f"ask another node; known here are {', '.join(sorted(known))}"
        raise control_errors.SiteNotHeard(f"no site {site!r} is known to this node", remedy)

    async def judge(self, site: str, insist: bool) -> list[str]:
        """Notes as `check` has them; refused only on a ledger that a majority confirmed since this was asked.

        Ordered twice is the same as ordered once: what has been judged and decided is not judged again, also
        where this node has not heard of the decision yet.
        """
        asked_at = self.context.clock.now()
        if self.view.is_evacuated(site):
            return []
        try:
            return await self.check(site, insist)
        except errors.CannotCarry:
            await self.confirm_since(asked_at)
        return [] if self.view.is_evacuated(site) else await self.check(site, insist)

    async def confirm_since(self, moment: float) -> None:
        """Until this node's ledger is known to be what a majority had at a later moment."""
        clock = self.context.clock
        while (self.context.ledger.current_as_of or 0.0) < moment:
            if clock.now() - moment > CONFIRM_PATIENCE:
                raise errors.NoMajority(
                    "this node has not heard a majority of the voters since this was asked"
                )
            await asyncio.sleep(0.02)

    async def check(self, site: str, insist: bool) -> list[str]:
        """Notes for the operator; CannotCarry with figures if the other sites are too small for the load."""
        figures: dict[str, typing.Any] = {}
        short = []
        for role in fleet_view.DEFAULT_LIMITS:
            rates, _ = await self.view.gauges(role)
            # Resting machines count: they are woken for this.
            left = [machine for machine in self.view.machines(role) if machine.site != site]
            load, capacity = sum(rates.values()), sum(machine.capacity for machine in left)
            figures[role] = {
                "load": round(load, 1),
                "capacity_left": capacity,
                "machines_left": len(left),
            }
            if not left or capacity < load:
                short.append(role)
        if short and not insist:
            raise errors.CannotCarry(
                f"without {site} the load on {' and '.join(short)} machines could not be carried", figures
            )
        notes = [f"insisted on, though {role} machines cannot carry the load" for role in short]
        return notes + self.core_notes(site)

    def core_notes(self, site: str) -> list[str]:
        """An evacuation moves work, not voters; but whoever evacuates may be about to switch off."""
        voters = quorum.decode(self.context.ledger.value(items.VOTERS))
        up = {update.identity.name for update in self.context.peers("agency") if not update.state}
        up.add(self.context.settings.name)
        gone = {item.key.split("/", 1)[1] for item in self.context.ledger.under("evacuated/")} | {site}
        left = sum(voter.name in up and voter.site not in gone for voter in voters)
        if 2 * left > len(voters):
            return []
        return [
            f"outside the evacuated sites {left} of {len(voters)} voters are up, which is no majority: "
            "do not switch these machines off, or no change can be confirmed"
        ]
