"""A control plane node as a participant in consensus: its durable store, acceptors and calls to voters."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.controlplane.consensus import acceptor, messages, node_messages, request
from irisstand.state import items, quorum
from irisstand.state.replication import refresher, replicator
from irisstand.state.storage import disk, durable_store

CALL_TIMEOUT_SECONDS = 1.0
# If the process neither made nor answered a call for this long, it is assumed to have been paused.
PAUSE_DETECTION_SECONDS = 0.8

ReplyT = typing.TypeVar("ReplyT")
Replies: typing.TypeAlias = dict[str, ReplyT]


class Participant:
    """Answers the consensus requests of other nodes, and calls the voters.

    Attributes:
        acceptors: The acceptor of each table.
        last_replies: For the disk id of each voter, when the voter last reported its state, or was first
            called if it never did. In seconds of the node's clock.
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
        """Load the tables from the disk, and start an acceptor for each table."""
        await self.store.open()
        for table in items.TABLES:
            table_replica = self.context.replicas[table]
            # Damaged data are not loaded, so that they are not replicated to other nodes.
            if self.store.intact[table]:
                table_replica.replace_content(self.store.replicas[table].clone())
            self.acceptors[table] = acceptor.Acceptor(self.store, table_replica, self.catch_up)
            self.context.start_task(self.acceptors[table].run(), f"acceptor of {table}")

    async def catch_up(self, table: str, name: str) -> None:
        """Copy newer data of a table from the node of that name, if the node's address is known."""
        addresses = {voter.name: (voter.host, voter.port) for voter in self.voters(table)}
        for update in self.context.members_of("agency"):
            addresses[update.identity.name] = update.node_info.address
        if name in addresses:
            await self.replicator.pull(addresses[name], name, (table,))

    def voters(self, table: str) -> list[quorum.Voter]:
        """Return the voters of a table according to this node's replica."""
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

    # -- requests of other nodes -------------------------------------------------------------------------
    async def handle_prepare(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Promise the ballot of a prepare request if possible, and return the reply."""
        prepare = messages.PrepareRequest.from_wire(body)
        self._check_disk_id(prepare.disk_id)
        reply = await self.acceptors[prepare.table].submit(acceptor.Prepare(prepare.ballot))
        return reply.to_wire()

    async def handle_accept(self, sender: str, body: typing.Any) -> request.WireBody:
        """Accept the batch of an accept request if possible, and return the reply."""
        accept = messages.AcceptRequest.from_wire(body)
        self._check_disk_id(accept.disk_id)
        command = acceptor.Accept(accept.ballot, accept.batch, sender)
        reply = await self.acceptors[accept.table].submit(command)
        return reply.to_wire()

    def _check_disk_id(self, disk_id: str) -> None:
        # A node with a new disk does not know what its earlier disk promised, so it must not vote for it.
        if disk_id != self.store.disk_id:
            raise errors.NotBootstrappedError("the request is addressed to an earlier disk of this node")

    async def handle_commit(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Apply a decided batch, and return an empty reply."""
        commit = messages.CommitRequest.from_wire(body)
        await self.acceptors[commit.table].submit(acceptor.Commit(commit.batch))
        return ()

    async def handle_bootstrap(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Apply the first batch to each empty table, and reply with the applied versions."""
        bootstrap = node_messages.BootstrapRequest.from_wire(body)
        applied = [
            await self.acceptors[table].submit(acceptor.InstallFirstBatch(batch))
            for table, batch in bootstrap.batches
        ]
        return node_messages.BootstrapReply(tuple(applied)).to_wire()

    async def handle_voter_state(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Reply with this node's state of a table, from memory, as its disk may be stalled."""
        self._detect_pause()
        table = messages.VoterStateRequest.from_wire(body).table
        record = self.store.records[table]
        pending_base = None if record.pending is None else record.pending.base
        applied = max(record.applied, self.context.replicas[table].applied)
        return messages.VoterState(self.store.disk_id, applied, pending_base, record.promised).to_wire()

    async def handle_reachability(self, _sender: str, _body: typing.Any) -> request.WireBody:
        """Reply with how long ago each other voter last replied to this node."""
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
        """Reset the times of the last replies after a pause: a paused process could not receive replies."""
        now = self.context.clock.now()
        if now - self.last_activity_at > PAUSE_DETECTION_SECONDS:
            self.last_replies = dict.fromkeys(self.last_replies, now)
        self.last_activity_at = now

    # -- calls to the voters -----------------------------------------------------------------------------
    async def call_voter(self, voter: quorum.Voter, message: request.Request[ReplyT]) -> ReplyT:
        """Send a request to a voter, which may be this node, and return its reply.

        Raises:
            irisstand.errors.IrisError: The voter could not be reached, did not reply or refused.
            ValueError: A field of the reply has a wrong type or value.
            TypeError: The reply does not have the structure of such a reply.
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
        """Call voters concurrently until there are enough replies.

        The remaining calls are not cancelled. A voter whose call failed has no entry in the result.

        Args:
            voters: The voters to call.
            request_to: Returns the request to send to a given voter.
            are_enough: Returns whether the replies received so far, by disk id, are enough.

        Returns:
            The replies received so far, by the disk id of the voter.
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
            # Iterate in the order of the calls: sets are unordered, and simulated runs must be repeatable.
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
