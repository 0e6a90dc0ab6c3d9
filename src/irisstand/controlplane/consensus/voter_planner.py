"""Keeping the voters as good as the machines that are up allow, and handing a vote over before an end.

Every voter plans; the version of the set that a plan was made from settles the races.
"""

import asyncio

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import participant as cores
from irisstand.controlplane.consensus import submitter as submitting
from irisstand.controlplane.consensus import voter_target
from irisstand.state import items, quorum

# Seconds between looks; those after a change of the set in which it is not changed without need.
INTERVAL, SETTLING = 0.25, 1.0
# Seconds after which a set that needs nothing is looked at all the same; silence after which it is at once.
LOOK_ANYWAY, SILENCE = 2.0, 0.6
# Seconds: for an answer from memory, for all tables to be on a newcomer's disk, for the voters to decide.
HEARING, HOLDING, DECIDING = 0.4, 1.5, 2.0
# Tries to hand over; seconds of the drain that are left when they end.
TRIES, LAST_MOMENT = 3, 0.4


class VoterPlanner:
    def __init__(self, core: cores.Participant, submitter: submitting.Submitter) -> None:
        self.participant, self.context, self.submitter = core, core.context, submitter
        self.changed_at, self.seen = 0.0, ""
        # What was the case when nothing better was to be had, and when that was.
        self.best_of: tuple = ()
        self.looked_at = 0.0
        # At a planned end: whether the vote was handed over, or cannot be.
        self.has_handed_over = False
        if self.is_wanted:
            self.context.has_pending_work = self.is_handing_over

    @property
    def is_wanted(self) -> bool:
        """A core founded by a fixed number is changed by its operators alone."""
        return self.context.settings.found_by_seeds

    def is_handing_over(self) -> bool:
        return not self.has_handed_over

    async def run(self) -> None:
        while self.is_wanted and not self.context.is_lame_duck:
            try:
                if not self.is_quiet():
                    await self.improve()
            except (errors.IrisError, ValueError, TypeError, IndexError) as error:
                event_log.record("voters-not-changed", error=str(error))
            await asyncio.sleep(self.context.randomness.uniform(0.5, 1.0) * INTERVAL)
        if self.is_wanted:
            await self.hand_over()

    async def hand_over(self) -> None:
        """Before a planned end: the place goes to another core node that holds everything."""
        end = self.context.clock.now() + self.context.settings.drain - LAST_MOMENT
        try:
            for _ in range(TRIES):
                left = end - self.context.clock.now()
                if left <= 0 or await self.try_handing_over(left):
                    break
        finally:
            self.has_handed_over = True

    async def try_handing_over(self, patience: float) -> bool:
        """Whether there is nothing more to be done."""
        own = self.participant.store.disk_id
        try:
            async with asyncio.timeout(patience):
                await self.improve({own})
        except (errors.IrisError, ValueError, TypeError, IndexError, TimeoutError) as error:
            event_log.record("vote-not-handed-over", error=str(error))
            return False
        if any(self.participant.is_voter(table) for table in items.TABLES):
            event_log.record("vote-kept", why="no other core node can take it")
        return True

    def standing(self) -> tuple:
        """What a target hangs on, as far as it is known here without asking anybody."""
        members = tuple((update.identity, update.state) for update in self.context.members_of("agency"))
        return (members, tuple(tuple(self.participant.voters(table)) for table in items.TABLES))

    def is_quiet(self) -> bool:
        now = self.context.clock.now()
        voting = {voter.disk_id for voter in self.participant.voters(items.LEDGER)} - {
            self.participant.store.disk_id
        }
        heard = all(now - self.participant.heard.get(disk_id, now) < SILENCE for disk_id in voting)
        return heard and now - self.looked_at < LOOK_ANYWAY and self.best_of == self.standing()

    # -- one look ------------------------------------------------------------------------------------
    async def improve(self, leaving: frozenset[str] | set[str] = frozenset()) -> None:
        """One target for all tables, worked out from the ledger's set."""
        if not any(self.participant.is_voter(table) for table in items.TABLES):
            return
        current = self.participant.voters(items.LEDGER)
        gone = await self.missing(current) | set(leaving)
        candidates = [voter for voter in await self.candidates() if voter.disk_id not in gone]
        wanted = self.context.settings.voters
        target = voter_target.target_voters(candidates, current, gone, wanted)
        if self.is_settling(current, target, gone):
            return
        self.looked_at, self.best_of = self.context.clock.now(), self.standing()
        # Side by side: a voter that ends has seconds for all of them.
        await asyncio.gather(*(self.change(table, target) for table in items.TABLES))

    def is_settling(self, current: list[quorum.Voter], target: list[quorum.Voter], gone: set[str]) -> bool:
        """A set just changed is left alone for a moment, unless somebody of it is to be replaced."""
        now = self.context.clock.now()
        version = str(self.context.replicas[items.LEDGER].version(items.VOTERS_KEY))
        if version != self.seen:
            self.seen, self.changed_at = version, now
        taken = {voter.disk_id for voter in target}
        renewed = {voter.name for voter in target if voter.disk_id not in {v.disk_id for v in current}}
        is_repair = any(
            voter.disk_id not in taken and (voter.disk_id in gone or voter.name in renewed)
            for voter in current
        )
        return not is_repair and target != current and now - self.changed_at < SETTLING

    async def change(self, table: str, target: list[quorum.Voter]) -> None:
        current = self.participant.voters(table)
        known = {voter.disk_id for voter in current}
        if known == {voter.disk_id for voter in target} or not self.participant.is_voter(table):
            return
        expected = str(self.context.replicas[table].version(items.VOTERS_KEY))
        newcomers = [voter for voter in target if voter.disk_id not in known]
        await asyncio.gather(*(self.hold(voter) for voter in newcomers))
        payload = (expected, tuple(tuple(voter) for voter in target))
        order = orders.Order(f"voters-{table}", "", payload)
        if self.context.is_lame_duck:
            # Where orders gather, none loses its ballot to another.
            await self.submitter.submit(order)
        else:
            # Decided here, as who decided last may be the very voter that is gone.
            await self.submitter.proposers[table].submit(order, DECIDING)
        event_log.record("voters-changed", table=table, voters=[voter.name for voter in target])

    async def hold(self, voter: quorum.Voter) -> None:
        """Everything up to what is known here is on its disk before it is named."""
        tips = tuple((table, tuple(self.context.replicas[table].applied)) for table in items.TABLES)
        address = (voter.host, voter.port)
        if voter.disk_id == self.participant.store.disk_id:
            held = await self.context.transport.handlers["hold"](voter.name, tips)
        else:
            held = await self.context.transport.call(address, voter.name, "hold", tips, HOLDING)
        if quorum.Voter(*held) != voter:
            raise errors.NotBootstrappedError(f"{voter.name} has another disk than a moment ago")

    async def candidates(self) -> list[quorum.Voter]:
        """Core nodes that know the tables and are not about to end, each as it describes itself."""

        async def ask(update: object) -> quorum.Voter | None:
            try:
                reply = await self.context.transport.call(
                    update.node_info.address, update.identity.name, "core-state", (), HEARING
                )
            except errors.IrisError:
                return None
            voter, is_empty, *more = reply
            return None if is_empty or (more and more[0]) else quorum.Voter(*voter)

        told = await asyncio.gather(*(ask(update) for update in self.context.members_of("agency")))
        return [voter for voter in [*told, self.participant.own_voter()] if voter is not None]

    async def missing(self, voters: list[quorum.Voter]) -> set[str]:
        """Disks that a majority of the voters has not heard for the time; one bad link proves nothing."""

        async def ask(voter: quorum.Voter) -> tuple:
            try:
                async with asyncio.timeout(HEARING):
                    return tuple(await self.participant.ask_voter(voter, "hears", ()))
            except (errors.IrisError, TimeoutError):
                return ("", ())

        told = await asyncio.gather(*(ask(voter) for voter in voters))
        longest = self.context.settings.replace_after
        true = [
            reply[1]
            for voter, reply in zip(voters, told, strict=True)
            # One that hears nobody at all tells of itself: it was cut off, or stood still.
            if reply[0] == voter.disk_id and any(age < longest for _, age in reply[1])
        ]
        found = set()
        for voter in voters:
            says = sum(any(d == voter.disk_id and age >= longest for d, age in silent) for silent in true)
            if 2 * says > len(voters):
                found.add(voter.disk_id)
        return found
