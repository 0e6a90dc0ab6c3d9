"""Keeps the voter set as fault-tolerant as the available nodes allow, and hands over votes before shutdowns.

All voters plan concurrently. A change names the version of the voter set that it was planned from and is
refused if that is no longer current, so that concurrent plans cannot conflict.
"""

import asyncio
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import node_messages, participant, request, submitter, voter_target
from irisstand.membership import updates
from irisstand.state import items, quorum

# The interval between plans, which is multiplied by a random factor in the range below.
INTERVAL_SECONDS = 0.25
INTERVAL_FACTORS = (0.5, 1.0)
# After a change, the voter set is not changed again for this long, except to replace a lost voter.
MIN_CHANGE_INTERVAL_SECONDS = 1.0
# The voters are planned again after this time even if nothing has changed.
REPLAN_SECONDS = 2.0
# The voters are planned again immediately if one of them has not replied for this time.
MISSING_REPLY_SECONDS = 0.6
# Timeouts: for a reply from memory, for saving all tables to a new voter's disk, for deciding an order.
REPLY_TIMEOUT_SECONDS = 0.4
DURABILITY_TIMEOUT_SECONDS = 1.5
ORDER_TIMEOUT_SECONDS = 2.0
# The attempts of a node that shuts down to hand its vote over, and how long before the drain ends they stop.
HANDOVER_ATTEMPTS_LIMIT = 3
HANDOVER_RESERVE_SECONDS = 0.4

# Malformed replies raise a ValueError, a TypeError or an IndexError.
PLAN_ERRORS = (errors.IrisError, ValueError, TypeError, IndexError)


class PlanInputs(typing.NamedTuple):
    """The inputs of a plan that this node knows without calling other nodes."""

    members: tuple[tuple[updates.Identity, updates.MemberState], ...]
    voters_by_table: tuple[tuple[quorum.Voter, ...], ...]


class VoterPlanner:
    """Changes the voters of all tables to the most fault-tolerant set that is available."""

    def __init__(
        self, node_participant: participant.Participant, node_submitter: submitter.Submitter
    ) -> None:
        self.participant = node_participant
        self.context = node_participant.context
        self.submitter = node_submitter
        self.last_voters_version = ""
        self.voters_changed_at = 0.0
        # The time and the inputs of the last plan.
        self.planned_at = 0.0
        self.planned_inputs: PlanInputs | None = None
        # During a shutdown: whether the vote has been handed over, or the attempts to do so have ended.
        self.has_handed_over = False
        if self.is_enabled:
            self.context.pending_work_checks.append(self.is_handing_over)

    @property
    def is_enabled(self) -> bool:
        """Whether voters are planned automatically; a fixed number of voters is changed by operators only."""
        return self.context.settings.found_by_seeds

    def is_handing_over(self) -> bool:
        """Return whether a shutdown still has to wait for this node's vote to be handed over."""
        return not self.has_handed_over

    async def run(self) -> None:
        """Plan at intervals until this node shuts down, then hand its vote over."""
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
        """Return whether all voters reply, and the last plan is recent and was made from the same inputs."""
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
        """Have another control plane node, which has saved all tables, replace this node as a voter."""
        deadline = self.context.clock.now() + self.context.settings.drain - HANDOVER_RESERVE_SECONDS
        try:
            for _ in range(HANDOVER_ATTEMPTS_LIMIT):
                seconds_left = deadline - self.context.clock.now()
                if seconds_left <= 0 or await self._try_handing_over(seconds_left):
                    break
        finally:
            self.has_handed_over = True

    async def _try_handing_over(self, timeout_seconds: float) -> bool:
        """Try once to hand this node's vote over, and return whether no other attempt is needed."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._apply_target(frozenset({self.participant.store.disk_id}))
        except (*PLAN_ERRORS, TimeoutError) as error:
            event_log.record("vote-not-handed-over", error=str(error))
            return False
        if any(self.participant.is_voter(table) for table in items.TABLES):
            event_log.record("vote-kept", why="no other control plane node can take it over")
        return True

    # -- plans -------------------------------------------------------------------------------------------
    async def _apply_target(self, leaving: frozenset[str] = frozenset()) -> None:
        """Change the voters of all tables to one target set, which is derived from the ledger's voters.

        Args:
            leaving: Disk ids of voters that are to be replaced although they are up.
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
        # Change the tables concurrently, as a voter that shuts down has only seconds for all of them.
        await asyncio.gather(*(self._change_voters(table, target) for table in items.TABLES))

    def _was_changed_recently(
        self, current: list[quorum.Voter], target: list[quorum.Voter], missing: set[str]
    ) -> bool:
        """Return whether the target must wait as the set was just changed; a repair never has to wait."""
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
            # Forwarded to the voter that all nodes prefer, the order does not compete with other ballots.
            await self.submitter.submit(order)
        else:
            # This node proposes the order itself, as the voter that all nodes prefer may be the lost one.
            await self.submitter.proposers[table].submit(order, ORDER_TIMEOUT_SECONDS)
        event_log.record("voters-changed", table=table, voters=[voter.name for voter in target])

    async def _check_durability(self, voter: quorum.Voter) -> None:
        """Have a new voter save all tables, as new as they are here, before it gets a vote."""
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
            raise errors.NotBootstrappedError(f"{voter.name} is no longer the node or disk that was planned")

    # -- state of other nodes ----------------------------------------------------------------------------
    async def _candidates(self) -> list[quorum.Voter]:
        """Return the control plane nodes that hold the tables and are not shutting down, this node last."""
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
        """Return the disks from which a majority has long had no reply: one broken link must not count."""
        reports = await asyncio.gather(*(self._reachability_report(voter) for voter in voters))
        replace_after_seconds = self.context.settings.replace_after
        credible_reports = [
            report
            for voter, report in zip(voters, reports, strict=True)
            # A voter without a reply from any other was itself partitioned or paused: ignore its report.
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
