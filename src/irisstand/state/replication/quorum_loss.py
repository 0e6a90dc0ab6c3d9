"""Detection of quorum loss: evidence, asked of each voter, that most of them cannot confirm anything.

Nodes of the data plane may then use tables that are older than the freshness
bound, up to a second bound. Silence is never taken for evidence.
"""

import asyncio

from irisstand import errors, node_context
from irisstand.state import items, quorum, replica
from irisstand.state.replication import messages, status_messages

REPLY_TIMEOUT_SECONDS = 0.4
ROUND_PAUSE_SECONDS = 0.1
# The age, as a fraction of the freshness bound, from which a table is doubtful.
DOUBTFUL_FRACTION = 0.6


class QuorumLossDetector:
    """Asks the voters of a table that grows old, and records when more than half cannot confirm anything.

    A voter counts if its port refuses connections, so that it does not run; or if it answers that it has no
    majority either, and knows of nothing newer than this node has, decided or pending. A voter that is
    silent, frozen or not reached does not count: that may as well be a fault of this node.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def run(self) -> None:
        """Check all doubtful tables, round after round, for as long as the node runs."""
        while True:
            doubtful = [local for local in self.context.replicas.values() if self.is_doubtful(local)]
            await asyncio.gather(*(self.check_voters(local) for local in doubtful))
            await asyncio.sleep(ROUND_PAUSE_SECONDS)

    def is_doubtful(self, local: replica.Replica) -> bool:
        """Return whether a table that was confirmed once is near the freshness bound or beyond."""
        age = local.age(self.context.clock.now())
        return age is not None and age > DOUBTFUL_FRACTION * self.context.settings.freshness_bound

    async def check_voters(self, local: replica.Replica) -> None:
        """Ask all voters of one table at once, and record a loss if a majority of them counts as lost."""
        # The evidence counts from here: a voter may have come back after it was asked.
        started_at = self.context.clock.now()
        voters = quorum.voters_from_wire(local.value(items.VOTERS_KEY))
        unable_disk_ids = await self.unable_voters(voters, local)
        if quorum.is_majority(voters, unable_disk_ids):
            self.context.quorum_lost_as_of[local.name] = started_at
            self.context.counters.add("core_found_out", table=local.name)

    async def unable_voters(self, voters: list[quorum.Voter], local: replica.Replica) -> set[str]:
        """Return the disk ids of voters that cannot confirm anything; stop once they are a majority."""
        loop = asyncio.get_running_loop()
        voter_by_task = {loop.create_task(self.cannot_confirm(voter, local)): voter for voter in voters}
        unable_disk_ids: set[str] = set()
        pending = set(voter_by_task)
        try:
            while pending and not quorum.is_majority(voters, unable_disk_ids):
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                unable_disk_ids |= {voter_by_task[task].disk_id for task in done if task.result()}
        finally:
            for task in pending:
                task.cancel()
        return unable_disk_ids

    async def cannot_confirm(self, voter: quorum.Voter, local: replica.Replica) -> bool:
        """Return whether there is evidence that one voter cannot confirm anything."""
        address = (voter.host, voter.port)
        transport = self.context.transport
        try:
            statuses = await transport.call(
                address, voter.name, messages.MessageKind.APPLIED_VERSIONS, (), REPLY_TIMEOUT_SECONDS
            )
            state = await transport.call(
                address, voter.name, messages.MessageKind.VOTER_STATE, (local.name,), REPLY_TIMEOUT_SECONDS
            )
            return is_without_majority(
                voter,
                local,
                [status_messages.TableStatus.from_wire(fields) for fields in statuses],
                status_messages.VoterState.from_wire(state),
            )
        except errors.NotSentError:
            return await self.is_connection_refused(voter)
        except (errors.IrisError, ValueError, TypeError, IndexError):
            return False

    async def is_connection_refused(self, voter: quorum.Voter) -> bool:
        """Return whether the voter's machine answers that no process listens, so none accepts batches."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                stream = await self.context.net.connect((voter.host, voter.port))
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        except OSError:
            return False
        stream.close()
        return False


def is_without_majority(
    voter: quorum.Voter,
    local: replica.Replica,
    statuses: list[status_messages.TableStatus],
    state: status_messages.VoterState,
) -> bool:
    """Return whether a voter says that it has no majority, and knows of nothing that this node lacks."""
    # A voter that says nothing about the table may well be able to confirm it.
    is_current = {status.table: status.is_current for status in statuses}.get(local.name, True)
    if state.disk_id != voter.disk_id or is_current or state.applied > local.applied:
        return False
    # A pending batch on this node's applied version may have been confirmed to a client.
    return state.pending_base is None or state.pending_base < local.applied
