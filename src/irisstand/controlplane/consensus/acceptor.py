"""The Paxos acceptor of one table: the only code that writes the table's record on a voter's disk.

A single task executes queued commands in order. A vote is synced to the disk before it is returned.
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

# A command that takes longer than this is logged, as it delays every ballot on the table.
SLOW_COMMAND_SECONDS = 0.2

# A function that copies a table from another node; it takes the names of the table and of the node.
CatchUp: typing.TypeAlias = collections.abc.Callable[[str, str], collections.abc.Awaitable[None]]
ResultT = typing.TypeVar("ResultT")


class Command(abc.ABC, typing.Generic[ResultT]):
    """A command that an acceptor executes; its `name` is written to log events."""

    name: typing.ClassVar[str]

    @abc.abstractmethod
    async def execute(self, acceptor: "Acceptor") -> ResultT:
        """Execute the command; only the task of the acceptor may call this."""


@dataclasses.dataclass(frozen=True)
class Prepare(Command[messages.PrepareReply]):
    """Promise to accept no batch under a ballot lower than `ballot`."""

    name = "promise"
    ballot: versions.Version

    async def execute(self, acceptor: "Acceptor") -> messages.PrepareReply:
        """Return the promise, or a rejection if a ballot at least as high was promised before."""
        return await acceptor.handle_prepare(self.ballot)


@dataclasses.dataclass(frozen=True)
class Accept(Command[messages.AcceptReply]):
    """Accept a batch that the node named `sender` proposes under `ballot`."""

    name = "accept"
    ballot: versions.Version
    batch: items.Batch
    sender: str

    async def execute(self, acceptor: "Acceptor") -> messages.AcceptReply:
        """Return the acceptance of the batch, or a rejection with the reason."""
        return await acceptor.handle_accept(self.ballot, self.batch, self.sender)


@dataclasses.dataclass(frozen=True)
class Commit(Command[None]):
    """Apply a decided batch, which a durable majority of the voters has accepted."""

    name = "commit"
    batch: items.Batch

    async def execute(self, acceptor: "Acceptor") -> None:
        """Apply the batch to the replica in memory and to the one on the disk."""
        await acceptor.handle_commit(self.batch)


@dataclasses.dataclass(frozen=True)
class Persist(Command[None]):
    """Save the replica in memory to the disk."""

    name = "keep"

    async def execute(self, acceptor: "Acceptor") -> None:
        """Save the replica if the disk holds an older or a damaged one."""
        await acceptor.persist()


@dataclasses.dataclass(frozen=True)
class InstallFirstBatch(Command[versions.Version]):
    """Apply the first batch to an empty table."""

    name = "found"
    batch: items.Batch

    async def execute(self, acceptor: "Acceptor") -> versions.Version:
        """Return the applied version on the disk after the command."""
        return await acceptor.install_first_batch(self.batch)


class QueuedCommand(typing.NamedTuple):
    """A command in an acceptor's queue, and the future that receives its result."""

    command: Command[typing.Any]
    future: asyncio.Future[typing.Any]

    def resolve(self, result: object) -> None:
        """Set the result of the command, unless its caller has stopped waiting."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, error: errors.IrisError) -> None:
        """Make the command fail with an error, unless its caller has stopped waiting."""
        if not self.future.done():
            self.future.set_exception(error)


class Acceptor:
    """Executes the prepare, accept and commit commands of one table.

    Args:
        store: The voter's durable store.
        table_replica: The replica of the table in memory, to which only decided batches are applied.
        catch_up: Copies a newer state of the table from another node.
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
        """Queue a command, wait for its execution and return its result.

        Raises:
            irisstand.errors.NotBootstrappedError: The disk is empty or damaged, so it has no vote.
            irisstand.errors.DiskFullError: Writing to the disk failed.
        """
        future: asyncio.Future[ResultT] = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(QueuedCommand(command, future))
        return await future

    async def run(self) -> None:
        """Execute queued commands one after another until this task is cancelled."""
        while True:
            queued = await self.queue.get()
            # A caller that cancelled its command needs neither a result nor a vote for its ballot.
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
            queued.fail(errors.DiskFullError(f"writing to the disk failed: {error}"))

    @property
    def record(self) -> records.Record:
        """The table's record on the disk: its applied version, promised ballot and pending batch."""
        return self.store.records[self.table]

    def check_vote(self) -> None:
        """Check that the disk may vote: it must hold the table and be undamaged.

        Raises:
            irisstand.errors.NotBootstrappedError: The disk does not hold the table, or is damaged.
        """
        if self.record.applied == versions.NONE or not self.store.intact[self.table]:
            raise errors.NotBootstrappedError(
                "this node has no vote: its disk holds no intact replica of the table"
            )

    async def handle_prepare(self, ballot: versions.Version) -> messages.PrepareReply:
        """Promise a ballot number unless the same or a higher one was promised before."""
        self.check_vote()
        record = self.record
        if ballot <= record.promised:
            return messages.Rejected(messages.VoteStatus.HIGHER_BALLOT_PROMISED, record.promised)
        await self.store.save_record(self.table, record._replace(promised=ballot))
        return messages.Promised(record.applied, record.accepted, record.pending)

    async def handle_accept(
        self, ballot: versions.Version, batch: items.Batch, sender: str
    ) -> messages.AcceptReply:
        """Accept a batch based on the applied version, unless a higher ballot was promised."""
        # A batch must have a higher version than its base; a proposer of another release might not ensure it.
        if batch.version <= batch.base:
            return messages.Rejected(messages.VoteStatus.BASE_MISMATCH, batch.base)
        # A voter whose replica is older than the base catches up first: it must not skip a decided batch.
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
        """Apply a decided batch to the replica in memory, which readers use, and then save it to the disk."""
        if self.replica.applied == batch.base:
            self.replica.apply(batch)
        await self.persist()

    async def persist(self) -> None:
        """Save the replica if the disk holds an older or a damaged one."""
        is_behind = self.replica.applied > self.record.applied
        is_repairable = not self.store.intact[self.table] and self.replica.applied >= self.record.applied
        if not is_behind and not is_repairable:
            return
        record = self.record
        # A pending batch with a base older than the applied version was either decided or superseded.
        if record.pending is not None and record.pending.base < self.replica.applied:
            record = record._replace(pending=None, accepted=versions.NONE)
        await self.store.save_replica(self.table, self.replica, record)

    async def install_first_batch(self, batch: items.Batch) -> versions.Version:
        """Apply the first batch if the table is empty, and return the applied version on the disk."""
        if self.record.applied == versions.NONE and self.replica.applied == versions.NONE:
            self.replica.apply(batch)
            await self.persist()
        return self.record.applied
