"""Checks before a site is evacuated: whether the other sites carry the load and keep a voter majority."""

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
    """The load on all machines of a role, and the capacity of those that an evacuation would leave.

    Attributes:
        load: The measured load of the role, in requests per second.
        capacity_left: The capacity of the role's machines at the other sites, standby machines included, in
            requests per second.
        machines_left: The number of the role's machines at the other sites.
    """

    load: float
    capacity_left: float
    machines_left: int

    def is_sufficient(self) -> bool:
        """Return whether the machines at the other sites have enough capacity for the load."""
        return self.machines_left > 0 and self.capacity_left >= self.load

    def to_json_object(self) -> dict[str, typing.Any]:
        """Return the figures as the JSON object that operators read."""
        return {**self._asdict(), "load": round(self.load, 1)}


class EvacuationCheck:
    """Checks evacuations against what this node and the other voters know about sites, load and capacity."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.view = fleet_view.FleetView(context)
        context.transport.handlers["sites"] = self.on_sites

    def sites(self) -> set[str]:
        """Return the names of the sites in this node's settings, member list and configuration rows."""
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
        """Reply to another voter with the names of the sites that this node knows."""
        return tuple(sorted(self.sites()))

    async def check_site(self, site: str) -> None:
        """Raise an error if a site does not exist.

        This node's member list may lack the newest members, so a site exists if any voter knows it.

        Raises:
            UnknownNameError: The site is unknown, and either the settings list all sites or a majority of the
                voters replied.
            SiteUnknownError: Too few voters replied to decide whether the site exists.
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
            # This node is a voter too: it counts as one more reply.
            if 2 * (1 + len(answers)) <= len(voters) + 1:
                remedy = f"ask another node; known here are {', '.join(sorted(known))}"
                raise control_errors.SiteUnknownError(f"this node does not know the site {site!r}", remedy)
        raise errors.UnknownNameError(
            f"the site {site!r} does not exist", f"use one of {', '.join(sorted(known))}"
        )

    def other_voters(self) -> list[quorum.Voter]:
        """Return the voters of the ledger table except this node."""
        voters = quorum.voters_from_wire(self.context.ledger.value(items.VOTERS_KEY))
        return [voter for voter in voters if voter.name != self.context.settings.name]

    async def ask_sites(self, voter: quorum.Voter) -> collections.abc.Iterable[str] | None:
        """Return the names of the sites that a voter knows, None if the voter does not reply."""
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

        The evacuation is refused only after a majority has confirmed this node's ledger since the call began:
        a node whose replica lacks an earlier evacuation of the site must not refuse the repeated order.

        Raises:
            InsufficientCapacityError: The other sites have too little capacity for the load.
            NoQuorumError: No majority confirmed the ledger within `CONFIRM_TIMEOUT_SECONDS`.
        """
        requested_at = self.context.clock.now()
        if self.view.is_evacuated(site):
            return []
        try:
            return await self.check_capacity(site, insist=insist)
        except errors.InsufficientCapacityError:
            await self.confirm_ledger_since(requested_at)
        if self.view.is_evacuated(site):
            return []
        return await self.check_capacity(site, insist=insist)

    async def confirm_ledger_since(self, since: float) -> None:
        """Wait until a majority has confirmed that this node's ledger was current at or after a time.

        Args:
            since: The time by this node's monotonic clock, in seconds.

        Raises:
            NoQuorumError: No majority confirmed it within `CONFIRM_TIMEOUT_SECONDS`.
        """
        clock = self.context.clock
        while (self.context.ledger.current_as_of or 0.0) < since:
            if clock.now() - since > CONFIRM_TIMEOUT_SECONDS:
                raise errors.NoQuorumError(
                    "no majority of the voters has confirmed this node's ledger since the request arrived"
                )
            await asyncio.sleep(CONFIRM_POLL_SECONDS)

    async def check_capacity(self, site: str, *, insist: bool) -> list[str]:
        """Check whether the other sites have enough capacity for the load, and return notes for the operator.

        Args:
            site: The site to evacuate.
            insist: Whether a lack of capacity only adds a note instead of refusing the evacuation.

        Raises:
            InsufficientCapacityError: The other sites have too little capacity; with the figures.
        """
        figures = {
            role: await self.figures_without(site, role) for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE
        }
        overloaded_roles = [role for role, found in figures.items() if not found.is_sufficient()]
        if overloaded_roles and not insist:
            raise errors.InsufficientCapacityError(
                f"without {site} the capacity of {' and '.join(overloaded_roles)} machines is below the load",
                {role: found.to_json_object() for role, found in figures.items()},
            )
        notes = [
            f"allowed by insist, though the remaining {role} machines cannot carry the load"
            for role in overloaded_roles
        ]
        return notes + self.voter_notes(site)

    async def figures_without(self, site: str, role: str) -> RoleFigures:
        """Return a role's load and its capacity outside a site, counting standby machines as available."""
        measured = await self.view.measure_load(role)
        left = [machine for machine in self.view.machines(role) if machine.site != site]
        capacity = sum(machine.capacity for machine in left)
        return RoleFigures(sum(measured.rate_by_machine.values()), capacity, len(left))

    def voter_notes(self, site: str) -> list[str]:
        """Return a note if the voters that are up outside the evacuated sites would be no majority.

        An evacuation moves traffic and leaves the voters where they are, but an operator who evacuates a site
        may be about to switch its machines off.
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
            f"outside the evacuated sites only {left} of {len(voters)} voters are up, which is no majority: "
            "if the machines of the evacuated sites are switched off, no change can be confirmed"
        ]
