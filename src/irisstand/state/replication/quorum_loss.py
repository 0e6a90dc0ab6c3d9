"""Detection of quorum loss: each voter is asked for evidence that most voters cannot confirm anything.

On such evidence, data plane nodes may use tables that are older than the freshness bound, up to a second
bound. A voter that does not reply is never taken as evidence.
"""

import asyncio

from irisstand import errors, node_context
from irisstand.state import items, quorum, replica
from irisstand.state.replication import messages, status_messages

# How long a node waits for a reply from a voter, and for a connection to it.
REPLY_TIMEOUT_SECONDS = 0.4
# The pause between two rounds of questions to the voters.
ROUND_PAUSE_SECONDS = 0.1
# The voters are asked about a table once its age exceeds this fraction of the freshness bound.
DOUBTFUL_FRACTION = 0.6


class QuorumLossDetector:
    """Asks the voters of an ageing table, and records if more than half cannot confirm anything.

    A voter is counted as unable if its port refuses connections, which shows that it does not run, or if it
    replies that it has no majority and knows of no newer batch than this node, decided or pending. A voter
    that does not reply, is frozen or is not reachable is not counted: the fault may be this node's own.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def run(self) -> None:
        """Ask the voters of all ageing tables, round after round, for as long as the node runs."""
        while True:
            doubtful = [local for local in self.context.replicas.values() if self.is_doubtful(local)]
            await asyncio.gather(*(self.check_voters(local) for local in doubtful))
            await asyncio.sleep(ROUND_PAUSE_SECONDS)

    def is_doubtful(self, local: replica.Replica) -> bool:
        """Return whether a table that was once confirmed is now near the freshness bound or past it."""
        age = local.age(self.context.clock.now())
        return age is not None and age > DOUBTFUL_FRACTION * self.context.settings.freshness_bound

    async def check_voters(self, local: replica.Replica) -> None:
        """Ask all voters of a table at once, and record a quorum loss if most cannot confirm anything."""
        # The evidence is as old as the start of the round: a voter may have recovered after it was asked.
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
        """Return whether there is evidence that one voter cannot confirm any changes of a table."""
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
        """Return whether a voter's machine refuses connections, which shows that the voter does not run."""
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
    """Return whether a voter reports that it has no majority and knows of nothing that this node lacks."""
    # A voter that does not report the table is assumed to be able to confirm it.
    is_current = {status.table: status.is_current for status in statuses}.get(local.name, True)
    if state.disk_id != voter.disk_id or is_current or state.applied > local.applied:
        return False
    # A pending batch on top of this node's applied version may have been confirmed to a client already.
    return state.pending_base is None or state.pending_base < local.applied
