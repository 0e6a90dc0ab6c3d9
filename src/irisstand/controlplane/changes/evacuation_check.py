"""What the evacuation of a site would mean, before it is decided: for the load, and for the voters."""

import asyncio
import collections.abc
import typing

from irisstand import control_errors, errors, node_context, node_tables, setting_parsers
from irisstand.controlplane.singletons import fleet_view
from irisstand.state import items, quorum

CONFIRM_TIMEOUT_SECONDS = 0.8
CONFIRM_POLL_SECONDS = 0.02
SITES_TIMEOUT_SECONDS = 0.5


class RoleFigures(typing.NamedTuple):
    """The load on the machines of a role, and what the machines of the other sites could carry.

    Attributes:
        load: Requests a second.
        capacity_left: Requests a second that the other sites' machines may get, those on standby included.
        machines_left: How many machines the other sites have.
    """

    load: float
    capacity_left: float
    machines_left: int

    def is_sufficient(self) -> bool:
        """Return whether the other sites carry the load."""
        return self.machines_left > 0 and self.capacity_left >= self.load

    def to_json_object(self) -> dict[str, typing.Any]:
        """Return the figures as operators read them."""
        return {**self._asdict(), "load": round(self.load, 1)}


class EvacuationCheck:
    """Checks evacuations by what this node and the other voters know of the fleet."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        context.transport.handlers["sites"] = self.on_sites

    def sites(self) -> set[str]:
        """Return the sites that this node knows from settings, members and rows."""
        members = self.context.detector.member_list.members.values()
        found = {update.node_info.site for update in members}
        found |= {
            self.context.settings.site,
            *setting_parsers.region_by_site(self.context.settings.region_by_site),
        }
        return found | {
            item.key.split("/", 1)[1] for item in self.context.configuration.items_with_prefix("site/")
        }

    async def on_sites(self, _: str, body: list[typing.Any]) -> tuple[str, ...]:
        """Answer a voter that asks for the sites known here."""
        return tuple(sorted(self.sites()))

    async def check_site(self, site: str) -> None:
        """Refuse a site that does not exist.

        This node's member list may lack the newest members: a site that any voter knows exists.

        Raises:
            UnknownNameError: Settings name all sites, or a majority of the voters answered, and none is it.
            SiteUnknownError: Too few voters answered to know.
        """
        known = self.sites()
        if site in known:
            return
        if not setting_parsers.region_by_site(self.context.settings.region_by_site):
            voters = self.other_voters()
            replies = await asyncio.gather(*(self.ask_sites(voter) for voter in voters))
            answers = [reply for reply in replies if reply is not None]
            known = known.union(*answers)
            if site in known:
                return
            # This node counts, too.
            if 2 * (1 + len(answers)) <= len(voters) + 1:
                remedy = f"ask another node; known here are {', '.join(sorted(known))}"
                raise control_errors.SiteUnknownError(f"no site {site!r} is known to this node", remedy)
        raise errors.UnknownNameError(f"no site {site!r}", f"use one of {', '.join(sorted(known))}")

    def other_voters(self) -> list[quorum.Voter]:
        """Return the ledger's voters without this node."""
        voters = quorum.voters_from_wire(self.context.ledger.value(items.VOTERS_KEY))
        return [voter for voter in voters if voter.name != self.context.settings.name]

    async def ask_sites(self, voter: quorum.Voter) -> collections.abc.Iterable[str] | None:
        """Return the sites that a voter knows, None if it does not answer."""
        address = (voter.host, voter.port)
        try:
            reply: collections.abc.Iterable[str] = await self.context.transport.call(
                address, voter.name, "sites", (), SITES_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            return None
        return reply

    async def check_unless_evacuated(self, site: str, *, insist: bool) -> list[str]:
        """Check an evacuation unless the site is evacuated already; return the notes of `check_capacity`.

        It is refused only on a ledger that a majority confirmed after this call began: where the site was
        evacuated before, and this node has not heard of it yet, the order is the same order again.

        Raises:
            InsufficientCapacityError: The other sites are too small for the load.
            NoQuorumError: No majority confirmed the ledger in time.
        """
        asked_at = self.context.clock.now()
        if self.view.is_evacuated(site):
            return []
        try:
            return await self.check_capacity(site, insist=insist)
        except errors.InsufficientCapacityError:
            await self.confirm_ledger_since(asked_at)
        if self.view.is_evacuated(site):
            return []
        return await self.check_capacity(site, insist=insist)

    async def confirm_ledger_since(self, moment: float) -> None:
        """Wait until this node's ledger is known to be what a majority had at a later moment.

        Raises:
            NoQuorumError: That takes longer than `CONFIRM_TIMEOUT_SECONDS`.
        """
        clock = self.context.clock
        while (self.context.ledger.current_as_of or 0.0) < moment:
            if clock.now() - moment > CONFIRM_TIMEOUT_SECONDS:
                raise errors.NoQuorumError(
                    "this node has not heard a majority of the voters since this was asked"
                )
            await asyncio.sleep(CONFIRM_POLL_SECONDS)

    async def check_capacity(self, site: str, *, insist: bool) -> list[str]:
        """Check whether the other sites carry the load, and return notes for the operator.

        Args:
            site: The site to evacuate.
            insist: Whether a lack of capacity is a note only.

        Raises:
            InsufficientCapacityError: The other sites are too small for the load; with the figures.
        """
        figures = {
            role: await self.figures_without(site, role) for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE
        }
        short = [role for role, found in figures.items() if not found.is_sufficient()]
        if short and not insist:
            raise errors.InsufficientCapacityError(
                f"without {site} the load on {' and '.join(short)} machines could not be carried",
                {role: found.to_json_object() for role, found in figures.items()},
            )
        notes = [f"insisted on, though {role} machines cannot carry the load" for role in short]
        return notes + self.voter_notes(site)

    async def figures_without(self, site: str, role: str) -> RoleFigures:
        """Return the figures of a role without the machines of a site; those on standby can be woken."""
        measured = await self.view.measure_load(role)
        left = [machine for machine in self.view.machines(role) if machine.site != site]
        capacity = sum(machine.capacity for machine in left)
        return RoleFigures(sum(measured.rate_by_machine.values()), capacity, len(left))

    def voter_notes(self, site: str) -> list[str]:
        """Return a note if no majority of the voters would be up outside the evacuated sites.

        An evacuation moves work and not voters, but who evacuates may be about to switch machines off.
        """
        voters = quorum.voters_from_wire(self.context.ledger.value(items.VOTERS_KEY))
        up = {
            update.identity.name
            for update in self.context.members_of(node_tables.CONTROL_PLANE_ROLE)
            if not update.state
        }
        up.add(self.context.settings.name)
        evacuated = {
            item.key.split("/", 1)[1] for item in self.context.ledger.items_with_prefix("evacuated/")
        }
        evacuated.add(site)
        left = sum(voter.name in up and voter.site not in evacuated for voter in voters)
        if 2 * left > len(voters):
            return []
        return [
            f"outside the evacuated sites {left} of {len(voters)} voters are up, which is no majority: "
            "do not switch these machines off, or no change can be confirmed"
        ]
