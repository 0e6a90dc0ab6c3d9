"""A core node's share in deciding: its durable store, the owners of its tables, and asking the voters."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.controlplane.consensus import acceptor
from irisstand.state import items, quorum, versions
from irisstand.state.replication import refresher
from irisstand.state.replication import replicator as replicators
from irisstand.state.storage import disk as disks
from irisstand.state.storage import durable_store

PATIENCE = 1.0
# Seconds without any question, asked or answered, after which this process itself stood still.
STOOD_STILL = 0.8


class Participant:
    def __init__(self, context: node_context.NodeContext, disk: disks.Disk) -> None:
        self.context = context
        self.store = durable_store.DurableStore(disk, context.randomness)
        self.replicator = replicators.Replicator(context)
        self.refresher = refresher.Refresher(context, self.replicator)
        self.acceptors: dict[str, acceptor.Acceptor] = {}
        self.asking: set[asyncio.Task] = set()
        # When each voter's disk last said where it stands, or was first asked.
        self.heard: dict[str, float] = {}
        self.awake_at = 0.0
        for kind in ("promise", "accept", "commit", "found"):
            context.transport.handlers[kind] = getattr(self, f"on_{kind}")
        context.transport.handlers["stand"] = self.on_stand
        context.transport.handlers["hears"] = self.on_hears

    async def open(self) -> None:
        await self.store.open()
        for table in items.TABLES:
            live = self.context.replicas[table]
            # A copy whose files do not add up is not read from, and so never spreads.
            if self.store.intact[table]:
                live.replace_content(self.store.replicas[table].clone())
            self.acceptors[table] = acceptor.Acceptor(self.store, live, self.catch_up)
            self.context.start_task(self.acceptors[table].run(), f"owner of {table}")

    async def catch_up(self, table: str, name: str) -> None:
        """Take the table from that very peer."""
        places = {voter.name: (voter.host, voter.port) for voter in self.voters(table)}
        for update in self.context.members_of("agency"):
            places[update.identity.name] = update.node_info.address
        if name in places:
            await self.replicator.pull(places[name], name, (table,))

    def voters(self, table: str) -> list[quorum.Voter]:
        return quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))

    def own_voter(self) -> quorum.Voter:
        settings = self.context.settings
        return quorum.Voter(
            settings.name, self.store.disk_id, settings.site, settings.host, settings.port, settings.machine
        )

    def is_voter(self, table: str) -> bool:
        return any(voter.disk_id == self.store.disk_id for voter in self.voters(table))

    # -- what peers ask -------------------------------------------------------------------------
    async def on_promise(self, _: str, body: list) -> tuple:
        table, ballot, disk_id = body
        self.check_disk_id(disk_id)
        return await self.acceptors[table].order("promise", versions.Version.from_wire(ballot))

    async def on_accept(self, sender: str, body: list) -> tuple:
        table, ballot, batch, disk_id = body
        self.check_disk_id(disk_id)
        decoded = items.Batch.from_wire(batch)
        return await self.acceptors[table].order(
            "accept", versions.Version.from_wire(ballot), decoded, sender
        )

    def check_disk_id(self, disk_id: str) -> None:
        if disk_id != self.store.disk_id:
            raise errors.NotBootstrappedError("the disk that was asked for is not this node's any more")

    async def on_commit(self, _: str, body: list) -> tuple:
        table, batch = body
        return await self.acceptors[table].order("commit", items.Batch.from_wire(batch))

    async def on_found(self, _: str, body: list) -> tuple:
        return tuple(
            [await self.acceptors[table].order("found", items.Batch.from_wire(b)) for table, b in body]
        )

    async def on_stand(self, _: str, body: list) -> tuple:
        """Where this node stands, from memory: it must answer even while its disk is stalled."""
        self.note_awake()
        (table,) = body
        record = self.store.records[table]
        pending = None if record.pending is None else tuple(record.pending.base)
        applied = max(record.applied, self.context.replicas[table].applied)
        return (self.store.disk_id, tuple(applied), pending, tuple(record.promised))

    async def on_hears(self, _: str, body: list) -> tuple:
        """Its disk, and for how many seconds each voter's disk has not been heard here."""
        self.note_awake()
        now, own = self.context.clock.now(), self.store.disk_id
        voting = {voter.disk_id for table in items.TABLES for voter in self.voters(table)}
        silent = [(disk_id, now - since) for disk_id, since in self.heard.items() if disk_id in voting]
        return (own, tuple(entry for entry in silent if entry[0] != own))

    def note_awake(self) -> None:
        """Silence counts only while this process runs: one that stood still has heard nobody, and says
        nothing by that."""
        now = self.context.clock.now()
        if now - self.awake_at > STOOD_STILL:
            self.heard = dict.fromkeys(self.heard, now)
        self.awake_at = now

    # -- asking the voters ---------------------------------------------------------------------------
    async def ask_voter(self, voter: quorum.Voter, kind: str, body: tuple) -> typing.Any:
        if voter.disk_id == self.store.disk_id:
            handler = self.context.transport.handlers[kind]
            return await handler(self.context.settings.name, list(body))
        self.note_awake()
        self.heard.setdefault(voter.disk_id, self.context.clock.now())
        address = (voter.host, voter.port)
        reply = await self.context.transport.call(address, voter.name, kind, body, PATIENCE)
        if kind == "stand" and reply[0] == voter.disk_id:
            self.heard[voter.disk_id] = self.context.clock.now()
        return reply

    async def gather(
        self,
        voters: list[quorum.Voter],
        kind: str,
        body: collections.abc.Callable[[quorum.Voter], tuple],
        enough: collections.abc.Callable[[dict[str, typing.Any]], bool],
    ) -> dict[str, typing.Any]:
        """Replies by durable store until there are enough; the rest are left to arrive, not called back."""
        replies: dict[str, typing.Any] = {}
        tasks: dict[asyncio.Task, quorum.Voter] = {}
        for voter in voters:
            task = asyncio.get_running_loop().create_task(self.ask_voter(voter, kind, body(voter)))
            tasks[task] = voter
            self.asking.add(task)
            task.add_done_callback(self.settle)
        left = set(tasks)
        while left and not enough(replies):
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED, timeout=PATIENCE)
            if not done:
                break
            # In the order of asking, as a set has none of its own and a run must be repeatable.
            for task in [task for task in tasks if task in done]:
                if not task.cancelled() and task.exception() is None:
                    replies[tasks[task].disk_id] = task.result()
        return replies

    def settle(self, task: asyncio.Task) -> None:
        self.asking.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            code = error.code if isinstance(error, errors.IrisError) else type(error).__name__
            self.context.counters.add("voter_asks_failed", code=code)
