"""Evidence that the core can confirm nothing: asked of its voters one by one, never read from a silence."""

import asyncio

from irisstand import errors, node_context
from irisstand.state import items, quorum, replica, versions

# Seconds that one voter is waited for.
PATIENCE = 0.4
# Seconds between rounds while a table is in doubt.
PAUSE = 0.1
# Of the freshness bound, the age from which a table is in doubt.
DOUBT = 0.6


class QuorumLossDetector:
    """Asks the voters of a table that grows old, and notes when more than half cannot confirm anything.

    A voter counts if its port refuses connections, so that it does not run; or if it answers that it has no
    majority either, and knows of nothing newer than this node has, decided or pending. A voter that is
    silent, frozen or not reached does not count: that may as well be this node's own trouble.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def run(self) -> None:
        while True:
            doubtful = [copy for copy in self.context.replicas.values() if self.is_doubtful(copy)]
            await asyncio.gather(*(self.probe(copy) for copy in doubtful))
            await asyncio.sleep(PAUSE)

    def is_doubtful(self, copy: replica.Replica) -> bool:
        age = copy.age(self.context.clock.now())
        return age is not None and age > DOUBT * self.context.settings.freshness_bound

    async def probe(self, copy: replica.Replica) -> None:
        """One round of questions about one table."""
        # The evidence counts from here: a voter may have come back after it was asked.
        started = self.context.clock.now()
        voters = quorum.voters_from_wire(copy.value(items.VOTERS_KEY))
        loop = asyncio.get_running_loop()
        asking = {loop.create_task(self.cannot_confirm(voter, copy)): voter for voter in voters}
        unable: set[str] = set()
        left = set(asking)
        try:
            # Those that are silent are not waited for once the others are enough.
            while left and not quorum.is_majority(voters, unable):
                done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
                unable |= {asking[task].disk_id for task in done if task.result()}
        finally:
            for task in left:
                task.cancel()
        if quorum.is_majority(voters, unable):
            self.context.quorum_lost_as_of[copy.name] = started
            self.context.counters.add("core_found_out", table=copy.name)

    async def cannot_confirm(self, voter: quorum.Voter, copy: replica.Replica) -> bool:
        address, transport = (voter.host, voter.port), self.context.transport
        try:
            told = await transport.call(address, voter.name, "tips", (), PATIENCE)
            stand = await transport.call(address, voter.name, "stand", (copy.name,), PATIENCE)
            return self.is_without_majority(voter, copy, told, stand)
        except errors.NotSentError:
            return await self.is_refused(voter)
        except (errors.IrisError, ValueError, TypeError, IndexError):
            return False

    def is_without_majority(
        self, voter: quorum.Voter, copy: replica.Replica, told: list, stand: list
    ) -> bool:
        """By its own words; and nothing that it knows of has passed this node by."""
        # One that says nothing about the table may well be able to confirm it.
        is_current = {name: current for name, _, current in told}.get(copy.name, True)
        disk_id, applied, pending, _ = stand
        if disk_id != voter.disk_id or is_current or versions.Version.from_wire(applied) > copy.applied:
            return False
        # A yes may have been given for what is pending.
        return pending is None or versions.Version.from_wire(pending) < copy.applied

    async def is_refused(self, voter: quorum.Voter) -> bool:
        """Its machine answers that nobody listens there: the process does not run, and so accepts nothing."""
        try:
            async with asyncio.timeout(PATIENCE):
                stream = await self.context.net.connect((voter.host, voter.port))
        except (ConnectionRefusedError, ConnectionResetError):
            return True
        except OSError:
            return False
        stream.close()
        return False
