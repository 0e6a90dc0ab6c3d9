"""What an evacuation would mean, before it is decided: whether the rest can carry the load, and the core."""

import asyncio
import typing

from irisstand import control_errors, errors, node_context, node_settings
from irisstand.controlplane.singletons import fleet_view
from irisstand.state import items, quorum

CONFIRM_TIMEOUT_SECONDS = 0.8
SITES_TIMEOUT_SECONDS = 0.5


class EvacuationCheck:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        context.transport.handlers["sites"] = self.on_sites

    def sites(self) -> set[str]:
        """Sites that this node has heard of: from settings, members and rows."""
        found = {update.node_info.site for update in self.context.detector.member_list.members.values()}
        found |= {self.context.settings.site, *node_settings.pairs(self.context.settings.region_by_site)}
        return found | {
            item.key.split("/", 1)[1] for item in self.context.configuration.items_with_prefix("site/")
        }

    async def on_sites(self, _: str, body: list) -> tuple:
        return tuple(sorted(self.sites()))

    async def check_site(self, site: str) -> None:
        """Refused for good only where settings name all sites, or a majority of the voters knows of none.

        This node's own member list may lack the newest; what any voter has heard of is a site.
        """
        known = self.sites()
        if site in known:
            return
        answered = 1
        if not node_settings.pairs(self.context.settings.region_by_site):
            heard = await asyncio.gather(*(self.ask_sites(voter) for voter in self.other_voters()))
            answered += sum(told is not None for told in heard)
            known |= {name for told in heard if told is not None for name in told}
            if site in known:
                return
            if 2 * answered <= len(self.other_voters()) + 1:
                remedy = f"ask another node; known here are {', '.join(sorted(known))}"
                raise control_errors.SiteUnknownError(f"no site {site!r} is known to this node", remedy)
        raise errors.UnknownNameError(f"no site {site!r}", f"use one of {', '.join(sorted(known))}")

    def other_voters(self) -> list[quorum.Voter]:
        voters = quorum.voters_from_wire(self.context.ledger.value(items.VOTERS_KEY))
        return [voter for voter in voters if voter.name != self.context.settings.name]

    async def ask_sites(self, voter: quorum.Voter) -> tuple | None:
        address = (voter.host, voter.port)
        try:
            return await self.context.transport.call(address, voter.name, "sites", (), SITES_TIMEOUT_SECONDS)
        except errors.IrisError:
            return None

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
        except errors.InsufficientCapacityError:
            await self.confirm_since(asked_at)
        return [] if self.view.is_evacuated(site) else await self.check(site, insist)

    async def confirm_since(self, moment: float) -> None:
        """Until this node's ledger is known to be what a majority had at a later moment."""
        clock = self.context.clock
        while (self.context.ledger.current_as_of or 0.0) < moment:
            if clock.now() - moment > CONFIRM_TIMEOUT_SECONDS:
                raise errors.NoQuorumError(
                    "this node has not heard a majority of the voters since this was asked"
                )
            await asyncio.sleep(0.02)

    async def check(self, site: str, insist: bool) -> list[str]:
        """Notes for the operator; CannotCarry with figures if the other sites are too small for the load."""
        figures: dict[str, typing.Any] = {}
        short = []
        for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE:
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
            raise errors.InsufficientCapacityError(
                f"without {site} the load on {' and '.join(short)} machines could not be carried", figures
            )
        notes = [f"insisted on, though {role} machines cannot carry the load" for role in short]
        return notes + self.core_notes(site)

    def core_notes(self, site: str) -> list[str]:
        """An evacuation moves work, not voters; but whoever evacuates may be about to switch off."""
        voters = quorum.voters_from_wire(self.context.ledger.value(items.VOTERS_KEY))
        up = {update.identity.name for update in self.context.members_of("agency") if not update.state}
        up.add(self.context.settings.name)
        gone = {item.key.split("/", 1)[1] for item in self.context.ledger.items_with_prefix("evacuated/")} | {
            site
        }
        left = sum(voter.name in up and voter.site not in gone for voter in voters)
        if 2 * left > len(voters):
            return []
        return [
            f"outside the evacuated sites {left} of {len(voters)} voters are up, which is no majority: "
            "do not switch these machines off, or no change can be confirmed"
        ]
