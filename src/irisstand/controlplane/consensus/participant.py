"""A control plane node's part in consensus: its durable store, its acceptors and its calls to the voters."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.controlplane.consensus import acceptor, messages, node_messages, request
from irisstand.state import items, quorum
from irisstand.state.replication import refresher, replicator
from irisstand.state.storage import disk, durable_store

CALL_TIMEOUT_SECONDS = 1.0
# Without a call made or answered for so long, this process was paused.
PAUSE_DETECTION_SECONDS = 0.8

ReplyT = typing.TypeVar("ReplyT")
Replies: typing.TypeAlias = dict[str, ReplyT]


class Participant:
    """Answers and makes the calls of consensus.

    Attributes:
        acceptors: By table.
        last_replies: By disk id of a voter, when it last reported its state, or was first called. In seconds
            of the node's clock.
    """

    def __init__(self, context: node_context.NodeContext, node_disk: disk.Disk) -> None:
        self.context = context
        self.store = durable_store.DurableStore(node_disk, context.randomness)
        self.replicator = replicator.Replicator(context)
        self.refresher = refresher.Refresher(context, self.replicator)
        self.acceptors: dict[str, acceptor.Acceptor] = {}
        self.calls_in_flight: set[asyncio.Task[typing.Any]] = set()
        self.last_replies: dict[str, float] = {}
        self.last_activity_at = 0.0
        handlers = context.transport.handlers
        handlers[request.MessageKind.PREPARE] = self.handle_prepare
        handlers[request.MessageKind.ACCEPT] = self.handle_accept
        handlers[request.MessageKind.COMMIT] = self.handle_commit
        handlers[request.MessageKind.BOOTSTRAP] = self.handle_bootstrap
        handlers[request.MessageKind.VOTER_STATE] = self.handle_voter_state
        handlers[request.MessageKind.REACHABILITY] = self.handle_reachability

    async def open(self) -> None:
        """Read the disk and start an acceptor for each table."""
        await self.store.open()
        for table in items.TABLES:
            table_replica = self.context.replicas[table]
            # Damaged files are not read from, and so do not spread.
            if self.store.intact[table]:
                table_replica.replace_content(self.store.replicas[table].clone())
            self.acceptors[table] = acceptor.Acceptor(self.store, table_replica, self.catch_up)
            self.context.start_task(self.acceptors[table].run(), f"owner of {table}")

    async def catch_up(self, table: str, name: str) -> None:
        """Learn a table from the node of that name, if its address is known."""
        addresses = {voter.name: (voter.host, voter.port) for voter in self.voters(table)}
        for update in self.context.members_of("agency"):
            addresses[update.identity.name] = update.node_info.address
        if name in addresses:
            await self.replicator.pull(addresses[name], name, (table,))

    def voters(self, table: str) -> list[quorum.Voter]:
        """Return the voters of a table as this node's replica has them."""
        return quorum.voters_from_wire(self.context.replicas[table].value(items.VOTERS_KEY))

    def own_voter(self) -> quorum.Voter:
        """Return this node as a voter."""
        settings = self.context.settings
        return quorum.Voter(
            settings.name, self.store.disk_id, settings.site, settings.host, settings.port, settings.machine
        )

    def is_voter(self, table: str) -> bool:
        """Return whether this node's disk has a vote on a table."""
        return any(voter.disk_id == self.store.disk_id for voter in self.voters(table))

    # -- answers to peers --------------------------------------------------------------------------------
    async def handle_prepare(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Answer a prepare request."""
        prepare = messages.PrepareRequest.from_wire(body)
        self._check_disk_id(prepare.disk_id)
        reply = await self.acceptors[prepare.table].submit(acceptor.Prepare(prepare.ballot))
        return reply.to_wire()

    async def handle_accept(self, sender: str, body: typing.Any) -> request.WireBody:
        """Answer an accept request."""
        accept = messages.AcceptRequest.from_wire(body)
        self._check_disk_id(accept.disk_id)
        command = acceptor.Accept(accept.ballot, accept.batch, sender)
        reply = await self.acceptors[accept.table].submit(command)
        return reply.to_wire()

    def _check_disk_id(self, disk_id: str) -> None:
        # A wiped node does not know what its earlier disk promised.
        if disk_id != self.store.disk_id:
            raise errors.NotBootstrappedError("the disk that was asked for is not this node's any more")

    async def handle_commit(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Apply a decided batch; the reply is empty."""
        commit = messages.CommitRequest.from_wire(body)
        await self.acceptors[commit.table].submit(acceptor.Commit(commit.batch))
        return ()

    async def handle_bootstrap(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Install the first batches of empty tables."""
        bootstrap = node_messages.BootstrapRequest.from_wire(body)
        applied = [
            await self.acceptors[table].submit(acceptor.InstallFirstBatch(batch))
            for table, batch in bootstrap.batches
        ]
        return node_messages.BootstrapReply(tuple(applied)).to_wire()

    async def handle_voter_state(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Answer from memory with what this node knows of a table: its disk may be stalled."""
        self._detect_pause()
        table = messages.VoterStateRequest.from_wire(body).table
        record = self.store.records[table]
        pending_base = None if record.pending is None else record.pending.base
        applied = max(record.applied, self.context.replicas[table].applied)
        return messages.VoterState(self.store.disk_id, applied, pending_base, record.promised).to_wire()

    async def handle_reachability(self, _sender: str, _body: typing.Any) -> request.WireBody:
        """Answer with how long each other voter's disk has been silent towards this node."""
        self._detect_pause()
        now = self.context.clock.now()
        own = self.store.disk_id
        voter_disk_ids = {voter.disk_id for table in items.TABLES for voter in self.voters(table)}
        reply_ages = tuple(
            node_messages.ReplyAge(disk_id, now - last_reply_at)
            for disk_id, last_reply_at in self.last_replies.items()
            if disk_id in voter_disk_ids and disk_id != own
        )
        return node_messages.ReachabilityReport(own, reply_ages).to_wire()

    def _detect_pause(self) -> None:
        """Count silence anew after a pause: a process that did not run could not receive replies."""
        now = self.context.clock.now()
        if now - self.last_activity_at > PAUSE_DETECTION_SECONDS:
            self.last_replies = dict.fromkeys(self.last_replies, now)
        self.last_activity_at = now

    # -- calls to the voters -----------------------------------------------------------------------------
    async def call_voter(self, voter: quorum.Voter, message: request.Request[ReplyT]) -> ReplyT:
        """Send a request to a voter, which may be this node, and return its reply.

        Raises:
            irisstand.errors.IrisError: The voter could not be called, did not answer or refused.
            ValueError: The reply is malformed; TypeError likewise.
        """
        if voter.disk_id == self.store.disk_id:
            handler = self.context.transport.handlers[message.kind]
            return message.decode_reply(await handler(self.context.settings.name, list(message.to_wire())))
        self._detect_pause()
        self.last_replies.setdefault(voter.disk_id, self.context.clock.now())
        address = (voter.host, voter.port)
        reply = await request.call(self.context.transport, address, voter.name, message, CALL_TIMEOUT_SECONDS)
        if isinstance(reply, messages.VoterState) and reply.disk_id == voter.disk_id:
            self.last_replies[voter.disk_id] = self.context.clock.now()
        return reply

    async def gather_replies(
        self,
        voters: list[quorum.Voter],
        request_to: collections.abc.Callable[[quorum.Voter], request.Request[ReplyT]],
        are_enough: collections.abc.Callable[[Replies[ReplyT]], bool],
    ) -> Replies[ReplyT]:
        """Call voters side by side until there are enough replies.

        Calls that are still in flight then are not cancelled; a voter whose call failed has no reply.

        Args:
            voters: Whom to call.
            request_to: Returns the request for a voter.
            are_enough: Is given the replies so far.

        Returns:
            The replies by disk id.
        """
        replies: Replies[ReplyT] = {}
        tasks = {self._start_call(voter, request_to(voter)): voter for voter in voters}
        waiting = set(tasks)
        while waiting and not are_enough(replies):
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED, timeout=CALL_TIMEOUT_SECONDS
            )
            if not done:
                break
            # In the order of the calls: a set has none of its own, and a run must be repeatable.
            for task, voter in tasks.items():
                if task in done and not task.cancelled() and task.exception() is None:
                    replies[voter.disk_id] = task.result()
        return replies

    def _start_call(self, voter: quorum.Voter, message: request.Request[ReplyT]) -> asyncio.Task[ReplyT]:
        task = asyncio.get_running_loop().create_task(self.call_voter(voter, message))
        self.calls_in_flight.add(task)
        task.add_done_callback(self._on_call_done)
        return task

    def _on_call_done(self, task: asyncio.Task[typing.Any]) -> None:
        self.calls_in_flight.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            code = error.code if isinstance(error, errors.IrisError) else type(error).__name__
            self.context.counters.add("voter_asks_failed", code=code)
