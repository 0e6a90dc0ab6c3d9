"""Keeps the voters as good as the machines that are up allow, and hands a vote over before a shutdown.

Every voter plans; the version of the voter set that a plan was made from settles the races.
"""

import asyncio
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import node_messages, participant, request, submitter, voter_target
from irisstand.membership import updates
from irisstand.state import items, quorum

# Between plans, times a random factor.
INTERVAL_SECONDS = 0.25
INTERVAL_FACTORS = (0.5, 1.0)
# After a change of the set, while it is not changed again without need.
MIN_CHANGE_INTERVAL_SECONDS = 1.0
# A set that needs nothing is planned all the same after so long, and at once if a voter is silent.
REPLAN_SECONDS = 2.0
MISSING_REPLY_SECONDS = 0.6
# For an answer from memory, for all tables to be on a newcomer's disk, for the voters to decide.
REPLY_TIMEOUT_SECONDS = 0.4
DURABILITY_TIMEOUT_SECONDS = 1.5
ORDER_TIMEOUT_SECONDS = 2.0
# Of handing a vote over; it ends when so much of the drain is left.
HANDOVER_ATTEMPTS_LIMIT = 3
HANDOVER_RESERVE_SECONDS = 0.4

# An IndexError, ValueError or TypeError comes of a malformed reply.
PLAN_ERRORS = (errors.IrisError, ValueError, TypeError, IndexError)


class PlanInputs(typing.NamedTuple):
    """What a target depends on, as far as it is known here without calling anybody."""

    members: tuple[tuple[updates.Identity, updates.MemberState], ...]
    voters_by_table: tuple[tuple[quorum.Voter, ...], ...]


class VoterPlanner:
    """Changes the voters of all tables to the set that survives most losses."""

    def __init__(
        self, node_participant: participant.Participant, node_submitter: submitter.Submitter
    ) -> None:
        self.participant = node_participant
        self.context = node_participant.context
        self.submitter = node_submitter
        self.last_voters_version = ""
        self.voters_changed_at = 0.0
        # When it was last planned, and from what.
        self.planned_at = 0.0
        self.planned_inputs: PlanInputs | None = None
        # At a shutdown: whether the vote was handed over, or cannot be.
        self.has_handed_over = False
        if self.is_enabled:
            self.context.pending_work_checks.append(self.is_handing_over)

    @property
    def is_enabled(self) -> bool:
        """Whether voters are planned: those of a fixed number are changed by operators alone."""
        return self.context.settings.found_by_seeds

    def is_handing_over(self) -> bool:
        """Return whether a shutdown has to wait for the vote to be handed over."""
        return not self.has_handed_over

    async def run(self) -> None:
        """Plan at intervals until the node shuts down, then hand the vote over."""
        while self.is_enabled and not self.context.is_lame_duck:
            try:
                if not self._is_plan_current():
                    await self._apply_target()
            except PLAN_ERRORS as error:
                event_log.record("voters-not-changed", error=str(error))
            await asyncio.sleep(self.context.randomness.uniform(*INTERVAL_FACTORS) * INTERVAL_SECONDS)
        if self.is_enabled:
            await self._hand_over()

    def _plan_inputs(self) -> PlanInputs:
        members = tuple((update.identity, update.state) for update in self.context.members_of("agency"))
        return PlanInputs(members, tuple(tuple(self.participant.voters(table)) for table in items.TABLES))

    def _is_plan_current(self) -> bool:
        """Return whether all voters reply and nothing has changed since the last plan."""
        now = self.context.clock.now()
        voter_disk_ids = {voter.disk_id for voter in self.participant.voters(items.LEDGER)}
        other_disk_ids = voter_disk_ids - {self.participant.store.disk_id}
        last_replies = self.participant.last_replies
        are_replying = all(
            now - last_replies.get(disk_id, now) < MISSING_REPLY_SECONDS for disk_id in other_disk_ids
        )
        is_planned = now - self.planned_at < REPLAN_SECONDS and self.planned_inputs == self._plan_inputs()
        return are_replying and is_planned

    # -- handover ----------------------------------------------------------------------------------------
    async def _hand_over(self) -> None:
        """Have another control plane node that holds everything take this one's vote."""
        deadline = self.context.clock.now() + self.context.settings.drain - HANDOVER_RESERVE_SECONDS
        try:
            for _ in range(HANDOVER_ATTEMPTS_LIMIT):
                seconds_left = deadline - self.context.clock.now()
                if seconds_left <= 0 or await self._try_handing_over(seconds_left):
                    break
        finally:
            self.has_handed_over = True

    async def _try_handing_over(self, timeout_seconds: float) -> bool:
        """Return whether there is nothing more to be done."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._apply_target(frozenset({self.participant.store.disk_id}))
        except (*PLAN_ERRORS, TimeoutError) as error:
            event_log.record("vote-not-handed-over", error=str(error))
            return False
        if any(self.participant.is_voter(table) for table in items.TABLES):
            event_log.record("vote-kept", why="no other core node can take it")
        return True

    # -- plans -------------------------------------------------------------------------------------------
    async def _apply_target(self, leaving: frozenset[str] = frozenset()) -> None:
        """Change all tables to one target, worked out from the ledger's voters.

        Args:
            leaving: Disk ids of voters that are to be replaced though they are up.
        """
        if not any(self.participant.is_voter(table) for table in items.TABLES):
            return
        current = self.participant.voters(items.LEDGER)
        missing = await self._missing_disks(current) | leaving
        candidates = [voter for voter in await self._candidates() if voter.disk_id not in missing]
        wanted_voters = self.context.settings.voters
        target = voter_target.target_voters(candidates, current, missing, wanted_voters)
        if self._was_changed_recently(current, target, missing):
            return
        self.planned_at = self.context.clock.now()
        self.planned_inputs = self._plan_inputs()
        # Side by side: a voter that shuts down has seconds for all of them.
        await asyncio.gather(*(self._change_voters(table, target) for table in items.TABLES))

    def _was_changed_recently(
        self, current: list[quorum.Voter], target: list[quorum.Voter], missing: set[str]
    ) -> bool:
        """Return whether a set just changed is to be left alone; never if a lost voter is to be replaced."""
        now = self.context.clock.now()
        version = str(self.context.replicas[items.LEDGER].version(items.VOTERS_KEY))
        if version != self.last_voters_version:
            self.last_voters_version = version
            self.voters_changed_at = now
        target_disk_ids = {voter.disk_id for voter in target}
        current_disk_ids = {voter.disk_id for voter in current}
        names_with_new_disk = {voter.name for voter in target if voter.disk_id not in current_disk_ids}
        is_repair = any(
            voter.disk_id not in target_disk_ids
            and (voter.disk_id in missing or voter.name in names_with_new_disk)
            for voter in current
        )
        return (
            not is_repair and target != current and now - self.voters_changed_at < MIN_CHANGE_INTERVAL_SECONDS
        )

    async def _change_voters(self, table: str, target: list[quorum.Voter]) -> None:
        current = self.participant.voters(table)
        current_disk_ids = {voter.disk_id for voter in current}
        if current_disk_ids == {voter.disk_id for voter in target} or not self.participant.is_voter(table):
            return
        expected = str(self.context.replicas[table].version(items.VOTERS_KEY))
        newcomers = [voter for voter in target if voter.disk_id not in current_disk_ids]
        await asyncio.gather(*(self._check_durability(voter) for voter in newcomers))
        payload = (expected, tuple(tuple(voter) for voter in target))
        order = orders.Order(f"voters-{table}", "", payload)
        if self.context.is_lame_duck:
            # Where orders gather, none loses its ballot to another.
            await self.submitter.submit(order)
        else:
            # Proposed here, as the last winner may be the very voter that is gone.
            await self.submitter.proposers[table].submit(order, ORDER_TIMEOUT_SECONDS)
        event_log.record("voters-changed", table=table, voters=[voter.name for voter in target])

    async def _check_durability(self, voter: quorum.Voter) -> None:
        """Have a newcomer put all that is known here on its disk before it becomes a voter."""
        known_versions = tuple(
            node_messages.KnownVersion(table, self.context.replicas[table].applied) for table in items.TABLES
        )
        message = node_messages.DurabilityCheck(known_versions)
        transport = self.context.transport
        if voter.disk_id == self.participant.store.disk_id:
            reply = await transport.handlers[message.kind](voter.name, list(message.to_wire()))
            replying_voter = message.decode_reply(reply)
        else:
            address = (voter.host, voter.port)
            replying_voter = await request.call(
                transport, address, voter.name, message, DURABILITY_TIMEOUT_SECONDS
            )
        if replying_voter != voter:
            raise errors.NotBootstrappedError(f"{voter.name} has another disk than a moment ago")

    # -- what others report ------------------------------------------------------------------------------
    async def _candidates(self) -> list[quorum.Voter]:
        """Return the control plane nodes that know the tables and are not shutting down, this one last."""
        members = self.context.members_of("agency")
        candidates_found = await asyncio.gather(*(self._candidate(update) for update in members))
        return [voter for voter in [*candidates_found, self.participant.own_voter()] if voter is not None]

    async def _candidate(self, update: updates.Update) -> quorum.Voter | None:
        address = update.node_info.address
        message = node_messages.NodeStateRequest()
        try:
            state = await request.call(
                self.context.transport, address, update.identity.name, message, REPLY_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            return None
        return None if state.is_empty or state.is_leaving else state.voter

    async def _missing_disks(self, voters: list[quorum.Voter]) -> set[str]:
        """Return the disks that have long been silent towards a majority; one bad link proves nothing."""
        reports = await asyncio.gather(*(self._reachability_report(voter) for voter in voters))
        replace_after_seconds = self.context.settings.replace_after
        credible_reports = [
            report
            for voter, report in zip(voters, reports, strict=True)
            # A voter that reaches nobody at all reports on itself: it was cut off, or paused.
            if report is not None
            and report.disk_id == voter.disk_id
            and any(entry.seconds_since_reply < replace_after_seconds for entry in report.reply_ages)
        ]
        missing = set()
        for voter in voters:
            reports_without_reply = node_messages.count_unreachable_reports(
                credible_reports, voter.disk_id, replace_after_seconds
            )
            if 2 * reports_without_reply > len(voters):
                missing.add(voter.disk_id)
        return missing

    async def _reachability_report(self, voter: quorum.Voter) -> node_messages.ReachabilityReport | None:
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                return await self.participant.call_voter(voter, node_messages.ReachabilityRequest())
        except (errors.IrisError, TimeoutError):
            return None
