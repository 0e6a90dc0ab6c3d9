"""The proposer: queues orders for one table and has the voters decide them by ballot, batch by batch."""

import asyncio
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import order_planning, orders, table_overlay
from irisstand.controlplane.consensus import participant as cores
from irisstand.state import items, quorum, versions

ORDER_TIMEOUT_SECONDS = 4.0
BATCH_ORDERS_LIMIT = 64
BATCH_BYTES_LIMIT = 2 * 1024 * 1024


class PendingOrder(typing.NamedTuple):
    order: orders.Order
    future: asyncio.Future
    give_up_at: float
    proposed: list


class BallotPlan(typing.NamedTuple):
    """What one ballot can settle, and `undecided`: whether a refusal has to wait for this base to be decided.

    `refused` was judged with rows of this very batch in place, and is told only once these are decided.
    """

    accepted: list[tuple[PendingOrder, order_planning.PlannedOrder]]
    refused: list[tuple[PendingOrder, errors.IrisError]]
    undecided: bool


class BallotLostError(Exception):
    """This ballot did not decide; another has to be held."""


class Proposer:
    def __init__(self, core: cores.Participant, table: str) -> None:
        self.participant, self.table, self.context = core, table, core.context
        self.replica = core.context.replicas[table]
        self.queue: asyncio.Queue[PendingOrder] = asyncio.Queue()
        self.highest = versions.NONE
        self.ballot_lock = asyncio.Lock()

    async def submit(self, order: orders.Order, patience: float = ORDER_TIMEOUT_SECONDS) -> dict:
        """The order's result once it is confirmed, or the typed error that says what is known."""
        future = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(PendingOrder(order, future, self.context.clock.now() + patience, []))
        return await future

    async def run(self) -> None:
        while True:
            waiting = [await self.queue.get()]
            while not self.queue.empty() and len(waiting) < BATCH_ORDERS_LIMIT:
                waiting.append(self.queue.get_nowait())
            await self.work_through(waiting)

    async def work_through(self, waiting: list[PendingOrder]) -> None:
        attempts = 0
        while waiting := [entry for entry in waiting if not entry.future.done()]:
            attempts += 1
            try:
                await self.hold_ballot(waiting)
            except BallotLostError as reason:
                self.context.counters.add("ballots_lost", table=self.table)
                event_log.record("ballot-lost", table=self.table, reason=str(reason))
                # Random and growing, or two proposers would meet again at the same moment.
                await asyncio.sleep(self.context.randomness.uniform(0.01, 0.03) * min(attempts, 8))
            except errors.IrisError as error:
                event_log.record("ballot-failed", table=self.table, error=str(error))
                if isinstance(error, errors.DiskFullError):
                    self.refuse_unproposed(waiting, error)
                await asyncio.sleep(0.05)
            self.give_up(waiting)

    def give_up(self, waiting: list[PendingOrder]) -> None:
        now = self.context.clock.now()
        for entry in waiting:
            if not entry.future.done() and now >= entry.give_up_at:
                # Once any voter was sent the batch nobody may call it refused.
                if entry.proposed:
                    entry.future.set_exception(
                        errors.ChangeOutcomeUnknownError("the voters have not settled it in time")
                    )
                else:
                    entry.future.set_exception(errors.NoQuorumError("no majority of the voters answered"))

    def refuse_unproposed(self, waiting: list[PendingOrder], error: errors.IrisError) -> None:
        """A full disk will not empty within the order's patience: say so at once."""
        for entry in waiting:
            if not entry.future.done() and not entry.proposed:
                entry.future.set_exception(error)

    async def finish_pending(self) -> None:
        """Hold a ballot with no orders: what is half accepted gets decided, one way or the other."""
        await self.hold_ballot([])

    async def hold_ballot(self, waiting: list[PendingOrder]) -> None:
        async with self.ballot_lock:
            voters = self.participant.voters(self.table)
            if not voters:
                raise errors.NotBootstrappedError("no core has been founded yet")
            if not self.participant.is_voter(self.table):
                raise BallotLostError("this node has no vote yet")
            ballot = self.draw()
            pending = await self.prepare(voters, ballot)
            self.context.counters.add("ballots_held", table=self.table)
            if pending is not None:
                # A yes may already have been given for it, so it is finished before anything new.
                await self.propose(voters, ballot, pending)
                if waiting:
                    raise BallotLostError("finished a pending batch first")
                return
            overlay = table_overlay.Overlay(self.replica, ballot)
            plan = self.plan(overlay, waiting)
            # A batch without rows moves the applied version, which settles that an earlier proposal never
            # counts.
            if overlay.rows or plan.undecided:
                for entry, (_, keys) in plan.accepted:
                    entry.proposed.append((self.replica.applied, ballot, keys))
                await self.propose(voters, ballot, overlay.batch())
            self.tell(plan)

    def tell(self, plan: BallotPlan) -> None:
        """The results of a batch that is decided, or that needed no rows."""
        for entry, (version, keys) in plan.accepted:
            if not entry.future.done():
                entry.future.set_result({"serial": str(version), "rows": keys})
        for entry, error in plan.refused:
            if not entry.future.done():
                entry.future.set_exception(error)

    def draw(self) -> versions.Version:
        record = self.participant.store.records[self.table]
        seen = max(self.highest, record.promised, self.replica.applied)
        # The durable store's id is in the name: a wiped disk must not draw its predecessor's numbers again.
        self.highest = seen.successor(f"{self.context.settings.name}~{self.participant.store.disk_id}")
        return self.highest

    def plan(self, overlay: table_overlay.Overlay, waiting: list[PendingOrder]) -> BallotPlan:
        """Put on the overlay what can be proposed; refuse at once only what the decided base refuses."""
        accepted, refused, undecided = [], [], False
        for entry in waiting:
            # What is too much for one frame is left for the next ballot.
            if entry.future.done() or overlay.size > BATCH_BYTES_LIMIT:
                continue
            # Another proposer may have finished an earlier proposal of it: then it is done, not stale.
            for _, version, keys in entry.proposed:
                if any(self.replica.version(key) == version for key in keys):
                    entry.future.set_result({"serial": str(version), "rows": keys})
            if entry.future.done():
                continue
            try:
                accepted.append((entry, order_planning.plan(overlay, entry.order)))
            except errors.IrisError as error:
                # Proposed on this very base, it may lie accepted with a voter that did not answer, and
                # another proposer may yet finish it: only a decision on the base makes a refusal true.
                if any(base == self.replica.applied for base, _, _ in entry.proposed):
                    undecided = True
                elif overlay.rows:
                    # It may rest on rows of this very batch, which count only once they are decided.
                    refused.append((entry, error))
                else:
                    entry.future.set_exception(error)
        return BallotPlan(accepted, refused, undecided)

    async def prepare(self, voters: list[quorum.Voter], ballot: versions.Version) -> items.Batch | None:
        """Promises from a majority; brings the copy to the newest applied version and returns what is
        pending on it.
        """
        own = next(voter for voter in voters if voter.disk_id == self.participant.store.disk_id)
        body = (self.table, tuple(ballot))
        # Its own promise is synced first: after a crash this number must not be drawn again.
        first = await self.participant.ask_voter(own, "promise", (*body, own.disk_id))
        if first[0] != "promised":
            raise BallotLostError("promised higher itself")
        replies = await self.participant.gather(
            [voter for voter in voters if voter is not own],
            "promise",
            lambda voter: (*body, voter.disk_id),
            lambda replies: quorum.is_majority(voters, self.won(replies, "promised") | {own.disk_id}),
        )
        replies[own.disk_id] = first
        self.note_higher(replies)
        if not quorum.is_majority(voters, self.won(replies, "promised")):
            raise BallotLostError("no majority promised")
        promised = {disk_id: reply for disk_id, reply in replies.items() if reply[0] == "promised"}
        applied, holder = max(
            (versions.Version.from_wire(reply[1]), disk_id) for disk_id, reply in promised.items()
        )
        if self.replica.applied < applied:
            name = next(voter.name for voter in voters if voter.disk_id == holder)
            await self.participant.catch_up(self.table, name)
        if self.replica.applied < applied or self.participant.voters(self.table) != voters:
            raise BallotLostError("was behind the voters")
        # The applied version may have moved past this ballot's number while the promises came in. A batch
        # numbered below
        # its own base would be taken for an older table by everybody who compares applied versions.
        if ballot <= self.replica.applied:
            raise BallotLostError("the tip overtook the ballot")
        pending = []
        for reply in promised.values():
            if reply[3] is not None:
                batch = items.Batch.from_wire(reply[3])
                if batch.base == self.replica.applied:
                    pending.append((versions.Version.from_wire(reply[2]), batch))
        return max(pending, key=lambda entry: entry[0])[1] if pending else None

    async def propose(self, voters: list[quorum.Voter], ballot: versions.Version, batch: items.Batch) -> None:
        body = (self.table, tuple(ballot), batch.to_wire())
        sets = [voters]
        for key, value, _ in batch.rows:
            # A new voter set must hold the change too, or it could lose what the old one confirmed.
            if key == items.VOTERS_KEY:
                sets.append(quorum.voters_from_wire(value))
        everyone = list({voter.disk_id: voter for members in sets for voter in members}.values())
        replies = await self.participant.gather(
            everyone,
            "accept",
            lambda voter: (*body, voter.disk_id),
            lambda replies: all(
                quorum.is_durable(members, self.won(replies, "accepted")) for members in sets
            ),
        )
        self.note_higher(replies)
        if not all(quorum.is_durable(members, self.won(replies, "accepted")) for members in sets):
            raise BallotLostError("no durable majority accepted")
        if self.replica.applied == batch.base:
            self.replica.apply(batch)
        self.context.counters.add("batches_confirmed", table=self.table)
        commit = (self.table, batch.to_wire())
        await self.participant.gather(everyone, "commit", lambda voter: commit, lambda replies: True)

    def won(self, replies: dict, word: str) -> set[str]:
        return {disk_id for disk_id, reply in replies.items() if reply[0] == word}

    def note_higher(self, replies: dict) -> None:
        for reply in replies.values():
            if reply[0] in ("lost", "moved"):
                self.highest = max(self.highest, versions.Version.from_wire(reply[1]))
