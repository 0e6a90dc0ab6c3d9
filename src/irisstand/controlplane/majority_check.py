"""The core's own freshness: each core node confirms its applied version with a majority of the voters."""

import asyncio

from irisstand import errors
from irisstand.controlplane import core as cores
from irisstand.controlplane import proposer as proposers
from irisstand.state import quorum, versions

TRIES = 5


class MajorityCheck:
    def __init__(self, core: cores.Core, proposer: proposers.Proposer) -> None:
        self.core, self.proposer, self.context = core, proposer, core.context
        self.table, self.copy = proposer.table, proposer.copy

    async def run(self) -> None:
        while True:
            started = self.context.clock.now()
            try:
                await self.beat()
            except (errors.IrisError, proposers.Lost, ValueError, TypeError):
                self.context.counters.add("pulse_failed", table=self.table)
            pause = self.context.settings.freshness_interval - (self.context.clock.now() - started)
            await asyncio.sleep(max(0.01, pause))

    async def beat(self) -> None:
        voters = self.core.voters(self.table)
        if not voters:
            return
        asked_at = self.context.clock.now()
        replies = await self.core.gather(
            voters, "stand", lambda voter: (self.table,), lambda replies: self.is_enough(voters, replies)
        )
        if not self.is_enough(voters, replies):
            return
        true = {disk_id: reply for disk_id, reply in replies.items() if reply[0] == disk_id}
        applied, holder = max((versions.decode(reply[1]), disk_id) for disk_id, reply in true.items())
        pending = any(
            reply[2] is not None and versions.decode(reply[2]) == applied for reply in true.values()
        )
        name = next(voter.name for voter in voters if voter.disk_id == holder)
        for attempt in range(TRIES):
            if self.copy.applied < applied or attempt:
                await self.core.catch_up(self.table, name)
            # The voters may have been changed by what was just learnt: then another set must be asked.
            if self.core.voters(self.table) != voters:
                return
            # A yes may have been given for a batch seen pending: only an applied version beyond it proves the
            # outcome.
            if self.copy.applied > applied or (self.copy.applied == applied and not pending):
                self.copy.confirm_current(asked_at)
                await self.keep_up()
                return
            await asyncio.sleep(0.04)
            # Its proposer had time to finish; perhaps it died, so finish in its place.
            if attempt >= 2 and self.core.votes(self.table):
                await self.proposer.finish_pending()

    def is_enough(self, voters: list[quorum.Voter], replies: dict) -> bool:
        return quorum.is_majority(
            voters, {disk_id for disk_id, reply in replies.items() if reply[0] == disk_id}
        )

    async def keep_up(self) -> None:
        """A voter that missed commits brings its disk up to what it knows; readers do not wait for it."""
        owner = self.core.owners[self.table]
        record = self.core.store.records[self.table]
        if owner.queue.empty() and (
            record.applied < self.copy.applied or not self.core.store.sound[self.table]
        ):
            self.context.start(self.keep(), f"keep {self.table}")

    async def keep(self) -> None:
        try:
            await self.core.owners[self.table].order("keep")
        except errors.IrisError:
            self.context.counters.add("keep_failed", table=self.table)
