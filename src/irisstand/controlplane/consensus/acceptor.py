"""The acceptor: the single writer of one table's record on a voter's disk.

One task carries out the commands of a queue in order. A vote is synced to the disk before it is returned.
"""

import abc
import asyncio
import collections.abc
import dataclasses
import typing

from irisstand import errors, event_log
from irisstand.controlplane.consensus import messages
from irisstand.state import items, replica, versions
from irisstand.state.storage import durable_store, records

# A slower command is logged: it delays every ballot on the table.
SLOW_COMMAND_SECONDS = 0.2

# Takes a table and the name of the node to learn it from.
CatchUp: typing.TypeAlias = collections.abc.Callable[[str, str], collections.abc.Awaitable[None]]
ResultT = typing.TypeVar("ResultT")


class Command(abc.ABC, typing.Generic[ResultT]):
    """Something for an acceptor to do; `name` stands in log events."""

    name: typing.ClassVar[str]

    @abc.abstractmethod
    async def execute(self, acceptor: "Acceptor") -> ResultT:
        """Carry out the command; called by the acceptor's task alone."""


@dataclasses.dataclass(frozen=True)
class Prepare(Command[messages.PrepareReply]):
    """Promise to take no lower ballot."""

    name = "promise"
    ballot: versions.Version

    async def execute(self, acceptor: "Acceptor") -> messages.PrepareReply:
        """Return the promise or the rejection."""
        return await acceptor.handle_prepare(self.ballot)


@dataclasses.dataclass(frozen=True)
class Accept(Command[messages.AcceptReply]):
    """Accept a batch that the node `sender` proposes."""

    name = "accept"
    ballot: versions.Version
    batch: items.Batch
    sender: str

    async def execute(self, acceptor: "Acceptor") -> messages.AcceptReply:
        """Return the acceptance or the rejection."""
        return await acceptor.handle_accept(self.ballot, self.batch, self.sender)


@dataclasses.dataclass(frozen=True)
class Commit(Command[None]):
    """Apply a decided batch."""

    name = "commit"
    batch: items.Batch

    async def execute(self, acceptor: "Acceptor") -> None:
        """Apply the batch to the replica and the disk."""
        await acceptor.handle_commit(self.batch)


@dataclasses.dataclass(frozen=True)
class Persist(Command[None]):
    """Bring the disk up to the replica in memory."""

    name = "keep"

    async def execute(self, acceptor: "Acceptor") -> None:
        """Save the replica if the disk is behind."""
        await acceptor.persist()


@dataclasses.dataclass(frozen=True)
class InstallFirstBatch(Command[versions.Version]):
    """Apply the first batch of an empty table."""

    name = "found"
    batch: items.Batch

    async def execute(self, acceptor: "Acceptor") -> versions.Version:
        """Return the version that the disk holds afterwards."""
        return await acceptor.install_first_batch(self.batch)


class QueuedCommand(typing.NamedTuple):
    """A command and the future of its result."""

    command: Command[typing.Any]
    future: asyncio.Future[typing.Any]

    def resolve(self, result: object) -> None:
        """Return a result to whoever still waits for it."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, error: errors.IrisError) -> None:
        """Raise an error at whoever still waits for the result."""
        if not self.future.done():
            self.future.set_exception(error)


class Acceptor:
    """Promises, accepts and commits for one table.

    Args:
        store: The voter's durable store.
        table_replica: The table in memory, which only ever holds decided batches.
        catch_up: Learns the table from another node.
    """

    def __init__(
        self, store: durable_store.DurableStore, table_replica: replica.Replica, catch_up: CatchUp
    ) -> None:
        self.store = store
        self.replica = table_replica
        self.catch_up = catch_up
        self.table = table_replica.name
        self.queue: asyncio.Queue[QueuedCommand] = asyncio.Queue()

    async def submit(self, command: Command[ResultT]) -> ResultT:
        """Queue a command and return its result.

        Raises:
            irisstand.errors.NotBootstrappedError: The disk has no vote.
            irisstand.errors.DiskFullError: The disk takes no writes.
        """
        future: asyncio.Future[ResultT] = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(QueuedCommand(command, future))
        return await future

    async def run(self) -> None:
        """Carry out queued commands until cancelled."""
        while True:
            queued = await self.queue.get()
            # A caller that has gone needs no answer, and a ballot that it gave up needs no vote.
            if not queued.future.cancelled():
                await self._execute(queued)

    async def _execute(self, queued: QueuedCommand) -> None:
        started = asyncio.get_running_loop().time()
        try:
            result = await queued.command.execute(self)
            seconds = asyncio.get_running_loop().time() - started
            if seconds > SLOW_COMMAND_SECONDS:
                event_log.record(
                    "slow-command", table=self.table, command=queued.command.name, seconds=seconds
                )
            queued.resolve(result)
        except errors.IrisError as error:
            queued.fail(error)
        except OSError as error:
            event_log.record("disk-error", error=repr(error))
            queued.fail(errors.DiskFullError(f"the disk does not take writes: {error}"))

    @property
    def record(self) -> records.Record:
        """The table's record on the disk."""
        return self.store.records[self.table]

    def check_vote(self) -> None:
        """Refuse to vote from a disk that was wiped or is damaged.

        Raises:
            irisstand.errors.NotBootstrappedError: This disk has no vote.
        """
        if self.record.applied == versions.NONE or not self.store.intact[self.table]:
            raise errors.NotBootstrappedError("this node has not learnt the table yet and has no vote")

    async def handle_prepare(self, ballot: versions.Version) -> messages.PrepareReply:
        """Promise a ballot unless one as high was promised."""
        self.check_vote()
        record = self.record
        if ballot <= record.promised:
            return messages.Rejected(messages.VoteStatus.HIGHER_BALLOT_PROMISED, record.promised)
        await self.store.save_record(self.table, record._replace(promised=ballot))
        return messages.Promised(record.applied, record.accepted, record.pending)

    async def handle_accept(
        self, ballot: versions.Version, batch: items.Batch, sender: str
    ) -> messages.AcceptReply:
        """Accept a batch on the applied version unless a higher ballot was promised."""
        # Versions only rise along the chain of batches, whatever a proposer of another version may send.
        if batch.version <= batch.base:
            return messages.Rejected(messages.VoteStatus.BASE_MISMATCH, batch.base)
        # A voter behind the base learns the table first: it must never skip a decided batch.
        if self.record.applied < batch.base or not self.store.intact[self.table]:
            if self.replica.applied < batch.base:
                await self.catch_up(self.table, sender)
            await self.persist()
        self.check_vote()
        record = self.record
        if record.promised > ballot:
            return messages.Rejected(messages.VoteStatus.HIGHER_BALLOT_PROMISED, record.promised)
        if record.applied != batch.base:
            return messages.Rejected(messages.VoteStatus.BASE_MISMATCH, record.applied)
        changed = record._replace(promised=ballot, accepted=ballot, pending=batch)
        await self.store.save_record(self.table, changed)
        return messages.Accepted()

    async def handle_commit(self, batch: items.Batch) -> None:
        """Apply a decided batch: at once for readers, and on this disk as soon as possible."""
        if self.replica.applied == batch.base:
            self.replica.apply(batch)
        await self.persist()

    async def persist(self) -> None:
        """Save the replica if the disk is behind it or damaged."""
        is_behind = self.replica.applied > self.record.applied
        is_repairable = not self.store.intact[self.table] and self.replica.applied >= self.record.applied
        if not is_behind and not is_repairable:
            return
        record = self.record
        # A pending batch on an older base was decided or superseded on the way to the newer applied version.
        if record.pending is not None and record.pending.base < self.replica.applied:
            record = record._replace(pending=None, accepted=versions.NONE)
        await self.store.save_replica(self.table, self.replica, record)

    async def install_first_batch(self, batch: items.Batch) -> versions.Version:
        """Apply the first batch if the table is empty, and return the version on the disk."""
        if self.record.applied == versions.NONE and self.replica.applied == versions.NONE:
            self.replica.apply(batch)
            await self.persist()
        return self.record.applied
