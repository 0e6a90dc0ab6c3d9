"""The owner of one table on a voter: one task that works through a queue of commands."""

import asyncio
import collections.abc
import typing

from irisstand import errors, event_log
from irisstand.state import items, replica, versions
from irisstand.state.storage import durable_store, records

SLOW_COMMAND_SECONDS = 0.2

CatchUp = collections.abc.Callable[[str, str], collections.abc.Awaitable[None]]


class Acceptor:
    """Promises, acceptances and commits, each synced before its reply goes out."""

    def __init__(self, store: durable_store.DurableStore, live: replica.Replica, catch_up: CatchUp) -> None:
        self.store, self.live, self.catch_up = store, live, catch_up
        self.table = live.name
        self.queue: asyncio.Queue = asyncio.Queue()
        self.registry = {
            "promise": self.promise,
            "accept": self.accept,
            "commit": self.commit,
            "keep": self.keep,
            "found": self.found,
        }

    async def order(self, command: str, *arguments: typing.Any) -> typing.Any:
        future = asyncio.get_running_loop().create_future()
        self.queue.put_nowait((command, arguments, future))
        return await future

    async def run(self) -> None:
        while True:
            command, arguments, future = await self.queue.get()
            # An asker that has gone away needs no answer, and a ballot it gave up on needs no vote.
            if future.cancelled():
                continue
            started = asyncio.get_running_loop().time()
            try:
                result = await self.registry[command](*arguments)
                took = asyncio.get_running_loop().time() - started
                # One slow command holds up every ballot on the table, so it is worth an event.
                if took > SLOW_COMMAND_SECONDS:
                    event_log.record("slow-command", table=self.table, command=command, seconds=took)
                if not future.done():
                    future.set_result(result)
            except errors.IrisError as error:
                if not future.done():
                    future.set_exception(error)
            except OSError as error:
                event_log.record("disk-error", error=repr(error))
                if not future.done():
                    future.set_exception(errors.DiskFullError(f"the disk does not take writes: {error}"))

    @property
    def record(self) -> records.Record:
        return self.store.records[self.table]

    def check_vote(self) -> None:
        """A disk that was wiped or found damaged does not vote."""
        if self.record.applied == versions.NONE or not self.store.intact[self.table]:
            raise errors.NotBootstrappedError("this node has not learnt the table yet and has no vote")

    async def promise(self, ballot: versions.Version) -> tuple:
        self.check_vote()
        record = self.record
        if ballot <= record.promised:
            return ("lost", tuple(record.promised))
        await self.store.save_record(self.table, record._replace(promised=ballot))
        pending = None if record.pending is None else record.pending.to_wire()
        return ("promised", tuple(record.applied), tuple(record.accepted), pending)

    async def accept(self, ballot: versions.Version, batch: items.Batch, sender: str) -> tuple:
        # Versions only rise along the chain of batches, whatever a proposer of another version may send.
        if batch.version <= batch.base:
            return ("moved", tuple(batch.base))
        # A voter behind the base learns the table first: it must never skip a decided batch.
        if self.record.applied < batch.base or not self.store.intact[self.table]:
            if self.live.applied < batch.base:
                await self.catch_up(self.table, sender)
            await self.keep()
        self.check_vote()
        record = self.record
        if record.promised > ballot:
            return ("lost", tuple(record.promised))
        if record.applied != batch.base:
            return ("moved", tuple(record.applied))
        changed = record._replace(promised=ballot, accepted=ballot, pending=batch)
        await self.store.save_record(self.table, changed)
        return ("accepted",)

    async def commit(self, batch: items.Batch) -> tuple:
        """The batch is decided: in force at once for readers, and on this disk as soon as it can be."""
        if self.live.applied == batch.base:
            self.live.apply(batch)
        await self.keep()
        return ()

    async def keep(self) -> tuple:
        """Bring the disk up to the live copy, which only ever holds decided batches."""
        sound = self.store.intact[self.table]
        if self.live.applied > self.record.applied or (
            not sound and self.live.applied >= self.record.applied
        ):
            record = self.record
            # A pending batch on an older applied version is settled by the newer applied version, whichever
            # way it went.
            if record.pending is not None and record.pending.base < self.live.applied:
                record = record._replace(pending=None, accepted=versions.NONE)
            await self.store.save_replica(self.table, self.live, record)
        return ()

    async def found(self, batch: items.Batch) -> tuple:
        """The first content of an empty table; a node that has any answers with what it has."""
        if self.record.applied == versions.NONE and self.live.applied == versions.NONE:
            self.live.apply(batch)
            await self.keep()
        return (tuple(self.record.applied),)
