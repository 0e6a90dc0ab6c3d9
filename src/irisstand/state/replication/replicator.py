"""Replication of tables between nodes: a node asks a peer for changes, and repairs replicas that differ.

A request names the applied version and the root digest of each table. The peer answers with the changes
above that version. If they are too large for one reply they are transferred in chunks; if the outcome does
not equal the peer's replica, the two are compared range by range (anti-entropy).
"""

import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.state import digests, items, replica, versions
from irisstand.state.replication import chunk_transfer, messages
from irisstand.transport import network

REPLY_TIMEOUT_SECONDS = 0.6
# Approximate size of the changes in one reply. Several peers are asked within one round, and each answers:
# large replies together fill a slow link, none comes in time, and the next round asks for all of them again.
CHANGES_LIMIT_BYTES = 32 * 1024
# Approximate size of a reply with whole ranges.
RANGES_LIMIT_BYTES = 1024 * 1024
RANGES_REQUESTS_LIMIT = 1000
# How often a repair asks again because commits have carried the replica past the answer.
OVERTAKEN_LIMIT = 20
# The age, as a fraction of the freshness bound, above which the answer of a peer does not end a round.
RECENT_FRACTION = 0.6
# What msgpack and the version add to a key and a value, approximately.
ITEM_OVERHEAD_BYTES = 60


class Replicator:
    """Answers requests for the tables of this node, and requests those of a peer."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        # Tables under repair: a second repair at the same time would only transfer the same items twice.
        self.repairing: set[str] = set()
        self.chunks = chunk_transfer.ChunkTransfer(context)
        context.transport.handlers[messages.MessageKind.CHANGES] = self.on_changes_request
        context.transport.handlers[messages.MessageKind.RANGES] = self.on_ranges_request

    # -- answering -----------------------------------------------------------------------------------
    async def on_changes_request(self, _: str, body: typing.Any) -> tuple[tuple[typing.Any, ...], ...]:
        """Answer a `ChangesRequest` for each of several tables with a `ChangesReply` for each."""
        now = self.context.clock.now()
        replies = []
        for fields in body:
            request = messages.ChangesRequest.from_wire(fields)
            replies.append(changes_reply(self.context.replicas[request.table], request, now).to_wire())
        return tuple(replies)

    async def on_ranges_request(self, _: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Answer a `RangesRequest` with a `RangesReply`."""
        request = messages.RangesRequest.from_wire(body)
        local = self.context.replicas[request.table]
        age = local.age(self.context.clock.now())
        ranges = differing_ranges(local, request.range_digests)
        return messages.RangesReply(local.applied, age, local.root_digest(), ranges).to_wire()

    # -- asking --------------------------------------------------------------------------------------
    async def pull(self, address: network.Address, name: str, tables: tuple[str, ...] = ()) -> bool:
        """Ask one peer, in one request, for the changes of all tables, and apply them.

        Args:
            address: The address of the peer.
            name: The node name of the peer.
            tables: The tables to ask for; all that this node holds if empty.

        Returns:
            Whether every table is now known to be current, well within the freshness bound.

        Raises:
            IrisError: The peer did not answer, or answered with an error.
            ValueError, TypeError: The reply is malformed.
        """
        replicas = [self.context.replicas[table] for table in tables or self.context.replicas]
        requests = [
            messages.ChangesRequest(local.name, local.applied, local.root_digest()) for local in replicas
        ]
        # The age counts from here: what changed after the request was sent is not confirmed.
        sent_at = self.context.clock.now()
        body = tuple(request.to_wire() for request in requests)
        replies = await self.context.transport.call(
            address, name, messages.MessageKind.CHANGES, body, REPLY_TIMEOUT_SECONDS
        )
        all_current = True
        for local, request, fields in zip(replicas, requests, replies, strict=True):
            reply = messages.ChangesReply.from_wire(fields)
            age = reply.age
            # A replica that changed meanwhile was sent the changes above a version that it has left.
            if local.applied == request.applied and not await self.apply_reply(address, name, local, reply):
                age = None
            if age is not None and reply.applied == local.applied:
                local.confirm_current(sent_at - age)
            is_recent = age is not None and self.is_recent(sent_at - age)
            all_current = all_current and is_recent and self.context.is_fresh(local)
        return all_current

    def is_recent(self, current_at: float) -> bool:
        """Return whether a peer that was current at `moment` need not be followed by another."""
        bound_seconds = self.context.settings.freshness_bound
        return current_at > self.context.clock.now() - RECENT_FRACTION * bound_seconds

    async def apply_reply(
        self, address: network.Address, name: str, local: replica.Replica, reply: messages.ChangesReply
    ) -> bool:
        """Apply a reply, or repair the replica.

        Returns:
            False after a repair: the replies of the repair confirm the age.
        """
        match reply.kind:
            case messages.ReplyKind.SAME | messages.ReplyKind.BEHIND:
                return True
            case messages.ReplyKind.CHANGES:
                changed = list(reply.changed)
                if local.apply_changes(reply.applied, reply.root_digest, changed, list(reply.removed_keys)):
                    self.context.counters.add("rows_carried", len(changed), table=local.name)
                    return True
                await self.repair(address, name, local, in_chunks=False)
            case messages.ReplyKind.REPAIR:
                await self.repair(address, name, local, in_chunks=reply.applied > local.applied)
        return False

    async def repair(
        self, address: network.Address, name: str, local: replica.Replica, *, in_chunks: bool
    ) -> None:
        """Make a replica equal to a peer's, chunk by chunk, or range by range where that does not succeed."""
        if local.name in self.repairing:
            return
        self.repairing.add(local.name)
        try:
            if not in_chunks or not await self.transfer_chunks(address, name, local):
                await self.repair_ranges(address, name, local)
        finally:
            self.repairing.discard(local.name)

    async def transfer_chunks(self, address: network.Address, name: str, local: replica.Replica) -> bool:
        """Return whether the replica was brought up to date in chunks."""
        try:
            return await self.chunks.transfer(address, name, local)
        except errors.UnknownNameError:
            # A peer of the version before sends no chunks.
            return False

    async def repair_ranges(self, address: network.Address, name: str, local: replica.Replica) -> None:
        """Make a clone equal to a peer's replica, range by range, then take it over at once."""
        repaired = local.clone()
        overtaken = 0
        for _ in range(RANGES_REQUESTS_LIMIT):
            sent_at = self.context.clock.now()
            reply = await self.request_ranges(address, name, repaired)
            repaired.replace_ranges({content.number: list(content.range_items) for content in reply.ranges})
            repaired.applied = reply.applied
            self.context.counters.add("ranges_mended", len(reply.ranges), table=local.name)
            if repaired.root_digest() != reply.root_digest:
                continue
            if local.replace_unless_older(repaired):
                if reply.age is not None:
                    local.confirm_current(sent_at - reply.age)
                return
            # A commit came in while the answer was on its way: the clone has nearly all of it.
            overtaken += 1
            if overtaken > OVERTAKEN_LIMIT:
                return

    async def request_ranges(
        self, address: network.Address, name: str, repaired: replica.Replica
    ) -> messages.RangesReply:
        """Ask a peer for the ranges in which its replica differs."""
        request = messages.RangesRequest(repaired.name, repaired.range_digests())
        fields = await self.context.transport.call(
            address, name, messages.MessageKind.RANGES, request.to_wire(), REPLY_TIMEOUT_SECONDS
        )
        return messages.RangesReply.from_wire(fields)


def changes_reply(
    local: replica.Replica, request: messages.ChangesRequest, now: float
) -> messages.ChangesReply:
    """Return the changes above the applied version of the node that asks, if they fit one reply."""
    root_digest = local.root_digest()
    reply = messages.ChangesReply(local.applied, local.age(now), root_digest, messages.ReplyKind.SAME)
    # A node that is ahead is sent nothing: it would have to throw it away.
    if local.applied < request.applied or local.applied == versions.NONE:
        return reply._replace(kind=messages.ReplyKind.BEHIND)
    if request.root_digest == root_digest and local.applied == request.applied:
        return reply
    changed, removed_keys = local.changes_since(request.applied)
    # Replicas that differ at the same applied version are damaged.
    if local.applied == request.applied or estimated_size(changed, CHANGES_LIMIT_BYTES) > CHANGES_LIMIT_BYTES:
        return reply._replace(kind=messages.ReplyKind.REPAIR)
    return reply._replace(
        kind=messages.ReplyKind.CHANGES, changed=tuple(changed), removed_keys=tuple(removed_keys)
    )


def differing_ranges(
    local: replica.Replica, range_digests: collections.abc.Sequence[bytes]
) -> tuple[messages.RangeContent, ...]:
    """Return the ranges whose digests differ from the given ones, as many as fit one reply."""
    own = local.range_digests()
    differing = {number for number in range(digests.RANGE_COUNT) if own[number] != range_digests[number]}
    grouped: dict[int, list[items.Item]] = {number: [] for number in differing}
    for item in local.items_in_ranges(differing):
        grouped[digests.range_number(item.key)].append(item)
    ranges = []
    size = 0
    for number, range_items in grouped.items():
        if size > RANGES_LIMIT_BYTES:
            break
        size += estimated_size(range_items, RANGES_LIMIT_BYTES)
        ranges.append(messages.RangeContent(number, tuple(range_items)))
    return tuple(ranges)


def estimated_size(counted_items: collections.abc.Iterable[items.Item], limit: int) -> int:
    """Return about how many bytes items take up in a frame, counted no further than just over the limit."""
    size = 0
    for item in counted_items:
        size += len(item.key) + ITEM_OVERHEAD_BYTES + len(repr(item.value))
        if size > limit:
            break
    return size
