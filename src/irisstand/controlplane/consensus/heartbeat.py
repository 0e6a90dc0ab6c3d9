"""The core's own freshness: each core node confirms its applied version with a majority of the voters.

The same round serves as a read index: a read that waits for a round begun after it came in sees every change
that was confirmed to anybody before.
"""

import asyncio

from irisstand import errors
from irisstand.controlplane.consensus import participant as cores
from irisstand.controlplane.consensus import proposer as proposers
from irisstand.state import quorum, versions

TRIES = 5
# Seconds for a round that reads wait for: a voter that is cut off is not waited for any longer.
READ_ROUND = 0.6
# Seconds that a read waits at the most, one round under way before its own included.
READ_PATIENCE = 0.75


class Heartbeat:
    def __init__(self, core: cores.Participant, proposer: proposers.Proposer) -> None:
        self.participant, self.proposer, self.context = core, proposer, core.context
        self.table, self.replica = proposer.table, proposer.replica
        # Of the rounds for reads: the one under way, and the one that has not begun, which reads may join.
        self.read_round: asyncio.Task | None = None
        self.next_read_round: asyncio.Task | None = None

    async def run(self) -> None:
        while True:
            started = self.context.clock.now()
            try:
                await self.beat()
            except (errors.IrisError, proposers.BallotLostError, ValueError, TypeError):
                self.context.counters.add("pulse_failed", table=self.table)
            pause = self.context.settings.freshness_interval - (self.context.clock.now() - started)
            await asyncio.sleep(max(0.01, pause))

    async def confirm_read(self) -> None:
        """Return once a round that began after this call has proved the copy, else StaleConfiguration.

        Reads that come while a round is under way share the next one.
        """
        # Without the voters for longer than the bound, this node will not find them within any patience.
        is_confirmed = False
        if self.context.is_fresh(self.replica):
            if self.next_read_round is None:
                self.next_read_round = asyncio.get_running_loop().create_task(self.run_read_round())
            joined = self.next_read_round
            done, _ = await asyncio.wait([joined], timeout=READ_PATIENCE)
            is_confirmed = bool(done) and joined.result()
        if not is_confirmed:
            self.context.counters.add("reads_put_off", table=self.table)
            raise errors.StaleConfigurationError(
                f"no majority confirms the {self.table} table to this node now"
            )

    async def run_read_round(self) -> bool:
        if self.read_round is not None:
            await asyncio.wait([self.read_round])
        # From here on the round is under way: a read that comes later needs another.
        self.read_round, self.next_read_round = self.next_read_round, None
        try:
            async with asyncio.timeout(READ_ROUND):
                return await self.beat()
        except (TimeoutError, errors.IrisError, proposers.BallotLostError, ValueError, TypeError):
            return False

    async def beat(self) -> bool:
        """One round; whether it proved that the copy holds all that was confirmed before the round began."""
        voters = self.participant.voters(self.table)
        if not voters:
            return False
        asked_at = self.context.clock.now()
        replies = await self.participant.gather(
            voters, "stand", lambda voter: (self.table,), lambda replies: self.is_enough(voters, replies)
        )
        if not self.is_enough(voters, replies):
            return False
        true = {disk_id: reply for disk_id, reply in replies.items() if reply[0] == disk_id}
        applied, holder = max(
            (versions.Version.from_wire(reply[1]), disk_id) for disk_id, reply in true.items()
        )
        pending = any(
            reply[2] is not None and versions.Version.from_wire(reply[2]) == applied
            for reply in true.values()
        )
        name = next(voter.name for voter in voters if voter.disk_id == holder)
        for attempt in range(TRIES):
            if self.replica.applied < applied or attempt:
                await self.participant.catch_up(self.table, name)
            # The voters may have been changed by what was just learnt: then another set must be asked.
            if self.participant.voters(self.table) != voters:
                return False
            # A yes may have been given for a batch seen pending: only an applied version beyond it proves the
            # outcome.
            if self.replica.applied > applied or (self.replica.applied == applied and not pending):
                self.replica.confirm_current(asked_at)
                await self.keep_up()
                return True
            await asyncio.sleep(0.04)
            # Its proposer had time to finish; perhaps it died, so finish in its place.
            if attempt >= 2 and self.participant.is_voter(self.table):
                await self.proposer.finish_pending()
        return False

    def is_enough(self, voters: list[quorum.Voter], replies: dict) -> bool:
        return quorum.is_majority(
            voters, {disk_id for disk_id, reply in replies.items() if reply[0] == disk_id}
        )

    async def keep_up(self) -> None:
        """A voter that missed commits brings its disk up to what it knows; readers do not wait for it."""
        owner = self.participant.acceptors[self.table]
        record = self.participant.store.records[self.table]
        if owner.queue.empty() and (
            record.applied < self.replica.applied or not self.participant.store.intact[self.table]
        ):
            self.context.start_task(self.keep(), f"keep {self.table}")

    async def keep(self) -> None:
        try:
            await self.participant.acceptors[self.table].order("keep")
        except errors.IrisError:
            self.context.counters.add("keep_failed", table=self.table)


class ReadIndex:
    """Proves tables current for one read, by a round to a majority for each."""

    def __init__(self, checks: dict[str, Heartbeat]) -> None:
        self.heartbeats = checks

    async def confirm(self, *tables: str) -> None:
        """StaleConfiguration unless every table holds all that was confirmed before this call."""
        await asyncio.gather(*(self.heartbeats[table].confirm_read() for table in tables))
