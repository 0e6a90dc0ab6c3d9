"""Periodic refresh of a node's tables: which peers the node asks for changes, and how often."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.membership import updates
from irisstand.state.replication import quorum_loss, replicator
from irisstand.transport import network

# If a peer has not replied after this time, the next peer is asked as well.
STAGGER_SECONDS = 0.12
# How long one round of requests to peers may take.
ROUND_TIMEOUT_SECONDS = 1.1
# The longest interval between the starts of two rounds while any table is not fresh.
UNFRESH_INTERVAL_SECONDS = 0.06
# The shortest pause between two rounds.
MIN_PAUSE_SECONDS = 0.01
# A shorter wait might not advance the clock, so a loop of such waits would never end.
MIN_WAIT_SECONDS = 0.001
# The role that control plane nodes have in the member list.
CONTROL_PLANE_ROLE = "agency"
# How many peers outside the control plane are asked in one round, not counting `answered_last`.
OTHER_SOURCES_LIMIT = 2


class Source(typing.NamedTuple):
    """A peer that can be asked for changes."""

    address: network.Address
    name: str


class Refresher:
    """Asks peers, round after round, for the changes that the tables of this node lack.

    Attributes:
        answered_last: The peer whose reply last made all tables current; None at the start.
    """

    def __init__(self, context: node_context.NodeContext, table_replicator: replicator.Replicator) -> None:
        self.context = context
        self.replicator = table_replicator
        self.answered_last: Source | None = None

    def sources(self) -> list[Source]:
        """Return the peers to ask, in order: mostly the control plane first, but some other nodes early on.

        A node that cannot reach the control plane, but can reach other nodes, gets the changes through those.
        """
        members = list(self.context.detector.member_list.members.values())
        own_site = self.context.settings.site
        nodes = self.shuffled(update for update in members if update.node_info.role == CONTROL_PLANE_ROLE)
        nodes.sort(key=lambda update: (update.state, update.node_info.site != own_site))
        sources = [source_of(update) for update in nodes]
        nodes = self.shuffled(update for update in members if update.node_info.role != CONTROL_PLANE_ROLE)
        others = [source_of(update) for update in nodes[:OTHER_SOURCES_LIMIT]]
        if self.answered_last in sources[1:]:
            sources.remove(self.answered_last)
            sources.insert(1, self.answered_last)
        elif self.answered_last is not None and self.answered_last not in sources:
            others.insert(0, self.answered_last)
        # Alternate between both groups, so a node without the control plane need not try all of it first.
        for number, source in enumerate(dict.fromkeys(others)):
            sources.insert(1 + 2 * number, source)
        return sources

    def shuffled(self, members: collections.abc.Iterable[updates.Update]) -> list[updates.Update]:
        """Return the given members in random order."""
        shuffled = list(members)
        self.context.randomness.shuffle(shuffled)
        return shuffled

    async def try_source(self, source: Source) -> bool:
        """Request the changes of all tables from one peer. Return whether all are now known to be current."""
        try:
            if await self.replicator.pull(source.address, source.name):
                self.answered_last = source
                return True
        except (errors.IrisError, ValueError, TypeError, KeyError, IndexError):
            self.context.counters.add("sync_failed")
        return False

    async def refresh(self) -> None:
        """Ask peer after peer at short intervals, until one reply makes all tables current."""
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
        """Refresh the tables periodically for as long as the node runs."""
        context = self.context
        if context.settings.outage_bound:
            context.start_task(quorum_loss.QuorumLossDetector(context).run(), "outage watch")
        while True:
            started_at = context.clock.now()
            await self.refresh()
            interval = context.settings.freshness_interval
            # A node that cannot serve yet asks again soon: the control plane may just have become reachable.
            if not all(map(context.is_fresh, context.replicas.values())):
                interval = min(interval, UNFRESH_INTERVAL_SECONDS)
            pause = interval - (context.clock.now() - started_at)
            await asyncio.sleep(max(MIN_PAUSE_SECONDS, pause))


def source_of(update: updates.Update) -> Source:
    """Return the member that an update describes as a peer that can be asked for changes."""
    return Source(update.node_info.address, update.identity.name)
