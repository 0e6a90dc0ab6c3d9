"""Keeping the tables of a node current: which peers it asks, and how often."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.membership import updates
from irisstand.state.replication import quorum_loss, replicator
from irisstand.transport import network

# The time after which the next peer is asked beside one that has not answered yet.
STAGGER_SECONDS = 0.12
ROUND_TIMEOUT_SECONDS = 1.1
# The longest time from the start of one round to the next while a table is not fresh.
UNFRESH_INTERVAL_SECONDS = 0.06
MIN_PAUSE_SECONDS = 0.01
# A wait shorter than this might not move the clock, and a loop of such waits would never end.
MIN_WAIT_SECONDS = 0.001
# The role of control plane nodes, as members tell it.
CONTROL_PLANE_ROLE = "agency"
# Peers outside the control plane that are asked in one round, beside the one that answered last.
OTHER_SOURCES_LIMIT = 2


class Source(typing.NamedTuple):
    """A peer to ask."""

    address: network.Address
    name: str


class Refresher:
    """Asks other nodes, round after round, for what the tables of this node lack."""

    def __init__(self, context: node_context.NodeContext, table_replicator: replicator.Replicator) -> None:
        self.context = context
        self.replicator = table_replicator
        self.answered_last: Source | None = None

    def sources(self) -> list[Source]:
        """Return the peers to ask, in order: the control plane first, but early on also some others.

        A node that is cut off from the control plane, though not from its peers, learns through one of them.
        """
        members = list(self.context.detector.member_list.members.values())
        own_site = self.context.settings.site
        nodes = self.shuffled(update for update in members if update.node_info.role == CONTROL_PLANE_ROLE)
        nodes.sort(key=lambda update: (update.state, update.node_info.site != own_site))
        control_plane = [source_of(update) for update in nodes]
        nodes = self.shuffled(update for update in members if update.node_info.role != CONTROL_PLANE_ROLE)
        others = [source_of(update) for update in nodes[:OTHER_SOURCES_LIMIT]]
        if self.answered_last in control_plane[1:]:
            control_plane.remove(self.answered_last)
            control_plane.insert(1, self.answered_last)
        elif self.answered_last is not None and self.answered_last not in control_plane:
            others.insert(0, self.answered_last)
        # Alternate, so that a node cut off from the control plane need not wait for all of its nodes.
        for number, source in enumerate(dict.fromkeys(others)):
            control_plane.insert(1 + 2 * number, source)
        return control_plane

    def shuffled(self, members: collections.abc.Iterable[updates.Update]) -> list[updates.Update]:
        """Return members in random order."""
        shuffled = list(members)
        self.context.randomness.shuffle(shuffled)
        return shuffled

    async def try_source(self, source: Source) -> bool:
        """Ask one peer. Return whether all tables are now known to be current."""
        try:
            if await self.replicator.pull(source.address, source.name):
                self.answered_last = source
                return True
        except (errors.IrisError, ValueError, TypeError, KeyError, IndexError):
            self.context.counters.add("sync_failed")
        return False

    async def refresh(self) -> None:
        """Ask one peer after the other, each a little after the last, until one answer makes all current."""
        pending: set[asyncio.Task[bool]] = set()
        ends_at = self.context.clock.now() + ROUND_TIMEOUT_SECONDS
        try:
            for source in self.sources():
                pending.add(asyncio.get_running_loop().create_task(self.try_source(source)))
                done, pending = await asyncio.wait(
                    pending, timeout=STAGGER_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return
            while pending and (remaining_seconds := ends_at - self.context.clock.now()) > MIN_WAIT_SECONDS:
                done, pending = await asyncio.wait(
                    pending, timeout=remaining_seconds, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return
        finally:
            for task in pending:
                task.cancel()

    async def run(self) -> None:
        """Refresh the tables for as long as the node runs."""
        context = self.context
        if context.settings.outage_bound:
            context.start_task(quorum_loss.QuorumLossDetector(context).run(), "outage watch")
        while True:
            started_at = context.clock.now()
            await self.refresh()
            interval = context.settings.freshness_interval
            # A node that cannot serve yet asks again at once: the control plane may be back at this moment.
            if not all(map(context.is_fresh, context.replicas.values())):
                interval = min(interval, UNFRESH_INTERVAL_SECONDS)
            pause = interval - (context.clock.now() - started_at)
            await asyncio.sleep(max(MIN_PAUSE_SECONDS, pause))


def source_of(update: updates.Update) -> Source:
    """Return a member as a peer to ask."""
    return Source(update.node_info.address, update.identity.name)
