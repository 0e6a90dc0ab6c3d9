"""Heartbeats to a majority of voters, by which a control plane node proves that its replicas are current.

Heartbeat rounds also serve as a read index (Raft, section 8): a read that waits for a round that began after
the read arrived sees every change that was confirmed to any client before.
"""

import asyncio
import collections.abc

from irisstand import errors
from irisstand.controlplane.consensus import acceptor, messages, participant, proposer, vote_counting
from irisstand.state import quorum, versions

ATTEMPTS_LIMIT = 5
# From this attempt on, this node completes a pending batch itself; before, it leaves that to the proposer.
FINISH_PENDING_ATTEMPT = 2
ATTEMPT_PAUSE_SECONDS = 0.04
# The minimum pause between two heartbeats.
SHORTEST_PAUSE_SECONDS = 0.01
# Timeout of a heartbeat round that reads wait for, so that an unreachable voter does not delay them more.
READ_ROUND_TIMEOUT_SECONDS = 0.6
# Timeout of a read, which may first have to wait for the round that was in flight when it arrived.
READ_TIMEOUT_SECONDS = 0.75

MALFORMED_REPLY_ERRORS = (ValueError, TypeError)


class Heartbeat:
    """Proves, at intervals and for reads, that this node's replica of one table is current."""

    def __init__(self, node_participant: participant.Participant, table_proposer: proposer.Proposer) -> None:
        self.participant = node_participant
        self.proposer = table_proposer
        self.context = node_participant.context
        self.table = table_proposer.table
        self.replica = table_proposer.replica
        # The round in flight for reads, and the next one, which has not begun and which new reads join.
        self.read_round: asyncio.Task[bool] | None = None
        self.next_read_round: asyncio.Task[bool] | None = None

    async def run(self) -> None:
        """Run a heartbeat round in each freshness interval until cancelled."""
        while True:
            started = self.context.clock.now()
            try:
                await self.run_round()
            except (errors.IrisError, proposer.BallotLostError, *MALFORMED_REPLY_ERRORS):
                self.context.counters.add("pulse_failed", table=self.table)
            pause = self.context.settings.freshness_interval - (self.context.clock.now() - started)
            await asyncio.sleep(max(SHORTEST_PAUSE_SECONDS, pause))

    async def confirm_read(self) -> None:
        """Return once a heartbeat round that began after this call has proved the replica current.

        Reads that arrive while a round is in flight share the next round.

        Raises:
            irisstand.errors.StaleConfigurationError: No round succeeded in time.
        """
        is_confirmed = False
        # A node that has had no majority for the freshness bound will not find one within the timeout.
        if self.context.is_fresh(self.replica):
            if self.next_read_round is None:
                self.next_read_round = asyncio.get_running_loop().create_task(self._run_read_round())
            joined = self.next_read_round
            done, _ = await asyncio.wait([joined], timeout=READ_TIMEOUT_SECONDS)
            is_confirmed = bool(done) and joined.result()
        if not is_confirmed:
            self.context.counters.add("reads_put_off", table=self.table)
            raise errors.StaleConfigurationError(
                f"no majority of the voters confirmed in time that this node's {self.table} table is current"
            )

    async def _run_read_round(self) -> bool:
        if self.read_round is not None:
            await asyncio.wait([self.read_round])
        # From here on this round is in flight: a read that arrives later has to wait for the next one.
        self.read_round = self.next_read_round
        self.next_read_round = None
        try:
            async with asyncio.timeout(READ_ROUND_TIMEOUT_SECONDS):
                return await self.run_round()
        except (TimeoutError, errors.IrisError, proposer.BallotLostError, *MALFORMED_REPLY_ERRORS):
            return False

    async def run_round(self) -> bool:
        """Run one round, and return whether the replica holds all changes confirmed before the round began.

        Raises:
            irisstand.errors.IrisError: The newest replica could not be fetched, or a ballot failed.
            irisstand.controlplane.consensus.proposer.BallotLostError: A pending batch could not be completed.
        """
        voters = self.participant.voters(self.table)
        if not voters:
            return False
        started = self.context.clock.now()
        states = await self._collect_states(voters)
        if not quorum.is_majority(voters, set(states)):
            return False
        applied, disk_id = max((state.applied, disk_id) for disk_id, state in states.items())
        is_pending = any(state.pending_base == applied for state in states.values())
        name = next(voter.name for voter in voters if voter.disk_id == disk_id)
        for attempt in range(ATTEMPTS_LIMIT):
            if self.replica.applied < applied or attempt:
                await self.participant.catch_up(self.table, name)
            # If catching up changed the voter set, the replies came from the wrong voters.
            if self.participant.voters(self.table) != voters:
                return False
            if self._is_proved_current(applied, is_pending=is_pending):
                self.replica.confirm_current(started)
                self._start_persisting()
                return True
            await asyncio.sleep(ATTEMPT_PAUSE_SECONDS)
            if attempt >= FINISH_PENDING_ATTEMPT and self.participant.is_voter(self.table):
                await self.proposer.finish_pending()
        return False

    async def _collect_states(self, voters: list[quorum.Voter]) -> dict[str, messages.VoterState]:
        state_request = messages.VoterStateRequest(self.table)

        def are_enough(replies: collections.abc.Mapping[str, messages.VoterState]) -> bool:
            return quorum.is_majority(voters, set(vote_counting.voter_states_of(replies)))

        replies = await self.participant.gather_replies(voters, lambda _voter: state_request, are_enough)
        return vote_counting.voter_states_of(replies)

    def _is_proved_current(self, applied: versions.Version, *, is_pending: bool) -> bool:
        # A pending batch may have been confirmed to a client; only a newer applied version shows its outcome.
        return self.replica.applied > applied or (self.replica.applied == applied and not is_pending)

    def _start_persisting(self) -> None:
        """Start saving the replica if the disk holds an older or damaged one; readers do not wait for it."""
        record = self.participant.store.records[self.table]
        is_behind = record.applied < self.replica.applied or not self.participant.store.intact[self.table]
        if is_behind and self.participant.acceptors[self.table].queue.empty():
            self.context.start_task(self._persist(), f"persist {self.table}")

    async def _persist(self) -> None:
        try:
            await self.participant.acceptors[self.table].submit(acceptor.Persist())
        except errors.IrisError:
            self.context.counters.add("keep_failed", table=self.table)


class ReadIndex:
    """Proves that the tables which a read uses are current, by one heartbeat round for each table."""

    def __init__(self, heartbeats: dict[str, Heartbeat]) -> None:
        self.heartbeats = heartbeats

    async def confirm(self, *tables: str) -> None:
        """Return once this node's replicas of the tables hold all changes confirmed before this call.

        Raises:
            irisstand.errors.StaleConfigurationError: A replica could not be proved current in time.
        """
        await asyncio.gather(*(self.heartbeats[table].confirm_read() for table in tables))
