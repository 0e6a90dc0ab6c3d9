"""Keeping a node's tables current: whom to ask, and how often."""

import asyncio

from irisstand import errors, node_context
from irisstand.state.replication import quorum_loss
from irisstand.state.replication import replicator as replicators
from irisstand.transport import network

# Seconds after which the next peer is asked beside one that has not answered yet.
STAGGER = 0.12
# Seconds after which a round has found nobody.
ROUND = 1.1
# Seconds between rounds while a table is not fresh.
STARTING = 0.06


class Refresher:
    """Asks other nodes, round after round, for what this node's tables lack."""

    def __init__(self, context: node_context.NodeContext, replicator: replicators.Replicator) -> None:
        self.context, self.replicator = context, replicator
        self.answered_last: tuple[network.Address, str] | None = None

    def sources(self) -> list[tuple[network.Address, str]]:
        """Whom to ask, in order: the core, but soon also who answered last, and a few others.

        A node that is cut off from the core, though not from its peers, learns through one of them.
        """
        context = self.context
        core, others = [], []
        for update in context.detector.member_list.members.values():
            (core if update.node_info.role == "agency" else others).append(update)
        context.randomness.shuffle(core)
        context.randomness.shuffle(others)
        core.sort(key=lambda update: (update.state, update.node_info.site != context.settings.site))
        found = [(update.node_info.address, update.identity.name) for update in core]
        aside = [(update.node_info.address, update.identity.name) for update in others[:2]]
        if self.answered_last in found[1:]:
            found.remove(self.answered_last)
            found.insert(1, self.answered_last)
        elif self.answered_last is not None and self.answered_last not in found:
            aside.insert(0, self.answered_last)
        # Between the core nodes, so that a node cut off from all of them has not to wait for each in vain.
        for place, source in enumerate(dict.fromkeys(aside)):
            found.insert(1 + 2 * place, source)
        return found

    async def try_source(self, address: network.Address, name: str) -> bool:
        try:
            if await self.replicator.pull(address, name):
                self.answered_last = (address, name)
                return True
        except (errors.IrisError, ValueError, TypeError, KeyError, IndexError):
            self.context.counters.add("sync_failed")
        return False

    async def refresh(self) -> None:
        """One round of questions, each begun a little after the last, until one has been answered."""
        asking: set[asyncio.Task] = set()
        started = self.context.clock.now()
        try:
            for address, name in self.sources():
                asking.add(asyncio.get_running_loop().create_task(self.try_source(address, name)))
                done, asking = await asyncio.wait(
                    asking, timeout=STAGGER, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return
            # A wait too short to move the clock would never end.
            while asking and (left := started + ROUND - self.context.clock.now()) > 0.001:
                done, asking = await asyncio.wait(asking, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                if any(task.result() for task in done):
                    return
        finally:
            for task in asking:
                task.cancel()

    async def run(self) -> None:
        context = self.context
        if context.settings.outage_bound:
            context.start_task(quorum_loss.QuorumLossDetector(context).run(), "outage watch")
        while True:
            started = context.clock.now()
            await self.refresh()
            interval = context.settings.freshness_interval
            # A node that cannot serve yet asks at once again: the core may be back at this moment.
            if not all(map(context.is_fresh, context.replicas.values())):
                interval = min(interval, STARTING)
            pause = interval - (context.clock.now() - started)
            await asyncio.sleep(max(0.01, pause))
