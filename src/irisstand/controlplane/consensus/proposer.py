"""The Paxos proposer of one table: queues orders, and has the voters decide them in one batch per ballot.

A ballot has the two phases of Paxos: first, a majority promises to accept no lower ballot number; then, a
durable majority accepts the batch. See docs/architecture.md.
"""

import asyncio
import collections.abc

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders, table_overlay
from irisstand.controlplane.consensus import ballot_plan, messages, order_messages, participant, vote_counting
from irisstand.state import items, quorum, versions

ORDER_TIMEOUT_SECONDS = 4.0
BATCH_ORDERS_LIMIT = 64
# A lost ballot is retried after a random pause in this range, times the number of attempts up to the limit.
LOST_BALLOT_PAUSE_SECONDS = (0.01, 0.03)
LOST_BALLOT_FACTOR_LIMIT = 8
FAILED_BALLOT_PAUSE_SECONDS = 0.05


class BallotLostError(Exception):
    """Raised when a ballot decides nothing, or not the given orders; a later ballot may still decide them."""


class Proposer:
    """Proposes the orders that were submitted to this node for one table."""

    def __init__(self, node_participant: participant.Participant, table: str) -> None:
        self.participant = node_participant
        self.context = node_participant.context
        self.table = table
        self.replica = self.context.replicas[table]
        self.queue: asyncio.Queue[ballot_plan.PendingOrder] = asyncio.Queue()
        # The highest version that this node has chosen as a ballot number or that a voter reported.
        self.highest_ballot = versions.NONE
        # Only one ballot runs at a time, as concurrent ballots of this node would preempt each other.
        self.ballot_lock = asyncio.Lock()

    async def submit(
        self, order: orders.Order, timeout_seconds: float = ORDER_TIMEOUT_SECONDS
    ) -> order_messages.OrderResult:
        """Have an order decided and return its result.

        Raises:
            irisstand.errors.NoQuorumError: The timeout expired, and the order was sent to no voter.
            irisstand.errors.ChangeOutcomeUnknownError: The timeout expired, and a voter may have the order.
            irisstand.errors.IrisError: The order was refused.
        """
        future: asyncio.Future[order_messages.OrderResult] = asyncio.get_running_loop().create_future()
        give_up_at = self.context.clock.now() + timeout_seconds
        self.queue.put_nowait(ballot_plan.PendingOrder(order, future, give_up_at, []))
        return await future

    async def run(self) -> None:
        """Take orders from the queue and have them decided in batches, until cancelled."""
        while True:
            pending_orders = [await self.queue.get()]
            while not self.queue.empty() and len(pending_orders) < BATCH_ORDERS_LIMIT:
                pending_orders.append(self.queue.get_nowait())
            await self._run_ballots(pending_orders)

    async def _run_ballots(self, pending_orders: list[ballot_plan.PendingOrder]) -> None:
        attempts = 0
        while pending_orders := [entry for entry in pending_orders if not entry.future.done()]:
            attempts += 1
            try:
                await self.run_ballot(pending_orders)
            except BallotLostError as reason:
                self.context.counters.add("ballots_lost", table=self.table)
                event_log.record("ballot-lost", table=self.table, reason=str(reason))
                # The pause is random and grows, so that competing proposers do not collide again.
                pause = self.context.randomness.uniform(*LOST_BALLOT_PAUSE_SECONDS)
                await asyncio.sleep(pause * min(attempts, LOST_BALLOT_FACTOR_LIMIT))
            except errors.IrisError as error:
                event_log.record("ballot-failed", table=self.table, error=str(error))
                if isinstance(error, errors.DiskFullError):
                    self._refuse_unproposed(pending_orders, error)
                await asyncio.sleep(FAILED_BALLOT_PAUSE_SECONDS)
            self._give_up_expired(pending_orders)

    def _give_up_expired(self, pending_orders: list[ballot_plan.PendingOrder]) -> None:
        now = self.context.clock.now()
        for entry in pending_orders:
            if now < entry.give_up_at:
                continue
            # An order that was sent to a voter may still be decided, so it must not be reported as refused.
            if entry.proposals:
                entry.fail(errors.ChangeOutcomeUnknownError("the voters did not decide the order in time"))
            else:
                entry.fail(errors.NoQuorumError("no majority of the voters replied in time"))

    def _refuse_unproposed(
        self, pending_orders: list[ballot_plan.PendingOrder], error: errors.IrisError
    ) -> None:
        # A full disk is not expected to be freed within the timeout of an order.
        for entry in pending_orders:
            if not entry.proposals:
                entry.fail(error)

    async def finish_pending(self) -> None:
        """Run a ballot without orders, which decides a batch that was accepted and not yet committed."""
        await self.run_ballot([])

    async def run_ballot(self, pending_orders: list[ballot_plan.PendingOrder]) -> None:
        """Run one ballot, which completes a pending batch if there is one, and else proposes the orders.

        Raises:
            BallotLostError: The ballot decided nothing, or a pending batch instead of the orders.
            irisstand.errors.IrisError: The ballot could not be run.
        """
        async with self.ballot_lock:
            voters = self.participant.voters(self.table)
            if not voters:
                raise errors.NotBootstrappedError("the control plane has not been bootstrapped yet")
            if not self.participant.is_voter(self.table):
                raise BallotLostError("this node has no vote yet")
            ballot = self._choose_ballot_number()
            pending = await self.prepare(voters, ballot)
            self.context.counters.add("ballots_held", table=self.table)
            if pending is not None:
                # The pending batch may have been confirmed to a client, so it is decided before new orders.
                await self.propose(voters, ballot, pending)
                if pending_orders:
                    raise BallotLostError("the ballot completed a pending batch instead of the orders")
                return
            await self._propose_orders(voters, ballot, pending_orders)

    async def _propose_orders(
        self,
        voters: list[quorum.Voter],
        ballot: versions.Version,
        pending_orders: list[ballot_plan.PendingOrder],
    ) -> None:
        overlay = table_overlay.Overlay(self.replica, ballot)
        plan = ballot_plan.plan_ballot(overlay, self.replica, pending_orders)
        # Even an empty batch advances the applied version, after which no earlier proposal can be decided.
        if overlay.rows or plan.is_base_undecided:
            plan.record_proposals(self.replica.applied, ballot)
            await self.propose(voters, ballot, overlay.batch())
        plan.publish_results()

    def _choose_ballot_number(self) -> versions.Version:
        record = self.participant.store.records[self.table]
        highest_known = max(self.highest_ballot, record.promised, self.replica.applied)
        # As it contains the disk id, a node with a new disk never reuses a ballot number of its earlier disk.
        self.highest_ballot = highest_known.successor(
            f"{self.context.settings.name}~{self.participant.store.disk_id}"
        )
        return self.highest_ballot

    # -- phase 1 -----------------------------------------------------------------------------------------
    async def prepare(self, voters: list[quorum.Voter], ballot: versions.Version) -> items.Batch | None:
        """Collect promises of a majority, catch up to its newest version, and return the batch pending on it.

        Raises:
            BallotLostError: No majority promised, or the voters or the applied version changed meanwhile.
        """
        promises = await self._collect_promises(voters, ballot)
        await self._catch_up_to_newest(voters, ballot, promises)
        pending = [
            promise
            for promise in promises.values()
            if promise.pending is not None and promise.pending.base == self.replica.applied
        ]
        if not pending:
            return None
        return max(pending, key=lambda promise: promise.accepted).pending

    async def _collect_promises(
        self, voters: list[quorum.Voter], ballot: versions.Version
    ) -> dict[str, messages.Promised]:
        def request_to(voter: quorum.Voter) -> messages.PrepareRequest:
            return messages.PrepareRequest(self.table, ballot, voter.disk_id)

        own = next(voter for voter in voters if voter.disk_id == self.participant.store.disk_id)
        # This node syncs its own promise first, so that it does not reuse the ballot number after a crash.
        own_reply = await self.participant.call_voter(own, request_to(own))
        if not isinstance(own_reply, messages.Promised):
            raise BallotLostError("this node has already promised a ballot at least as high")
        replies = await self.participant.gather_replies(
            [voter for voter in voters if voter is not own],
            request_to,
            lambda replies: quorum.is_majority(voters, {*vote_counting.promises_of(replies), own.disk_id}),
        )
        replies[own.disk_id] = own_reply
        self._record_higher_versions(replies)
        promises = vote_counting.promises_of(replies)
        if not quorum.is_majority(voters, set(promises)):
            raise BallotLostError("no majority of the voters promised the ballot")
        return promises

    async def _catch_up_to_newest(
        self, voters: list[quorum.Voter], ballot: versions.Version, promises: dict[str, messages.Promised]
    ) -> None:
        applied, disk_id = max((promise.applied, disk_id) for disk_id, promise in promises.items())
        if self.replica.applied < applied:
            name = next(voter.name for voter in voters if voter.disk_id == disk_id)
            await self.participant.catch_up(self.table, name)
        if self.replica.applied < applied or self.participant.voters(self.table) != voters:
            raise BallotLostError("this node's replica is behind the voters, or its voter set has changed")
        # The applied version may have passed the ballot number while the promises arrived. A batch with a
        # version below its own base would be taken for older data wherever versions are compared.
        if ballot <= self.replica.applied:
            raise BallotLostError("the applied version is at least as high as the ballot number")

    # -- phase 2 -----------------------------------------------------------------------------------------
    async def propose(self, voters: list[quorum.Voter], ballot: versions.Version, batch: items.Batch) -> None:
        """Have a durable majority accept a batch, apply the batch and send commits to all voters.

        Raises:
            BallotLostError: No durable majority accepted; the batch may still be decided by another proposer.
        """
        voter_sets = vote_counting.voter_sets_of(voters, batch)
        all_voters = list({voter.disk_id: voter for members in voter_sets for voter in members}.values())
        replies = await self.participant.gather_replies(
            all_voters,
            lambda voter: messages.AcceptRequest(self.table, ballot, batch, voter.disk_id),
            lambda replies: vote_counting.is_decided(voter_sets, replies),
        )
        self._record_higher_versions(replies)
        if not vote_counting.is_decided(voter_sets, replies):
            raise BallotLostError("no durable majority of the voters accepted the batch")
        if self.replica.applied == batch.base:
            self.replica.apply(batch)
        self.context.counters.add("batches_confirmed", table=self.table)
        commit = messages.CommitRequest(self.table, batch)
        # The commits are sent without waiting for the replies.
        await self.participant.gather_replies(all_voters, lambda _voter: commit, lambda _replies: True)

    def _record_higher_versions(self, replies: collections.abc.Mapping[str, object]) -> None:
        for reply in replies.values():
            if isinstance(reply, messages.Rejected):
                self.highest_ballot = max(self.highest_ballot, reply.version)
