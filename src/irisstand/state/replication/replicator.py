"""Replication of tables between nodes: a node requests changes from a peer and repairs differing replicas.

A request names the applied version and the root digest of each table. The peer replies with the changes
above that version. Changes that are too large for one reply are transferred in chunks. If the result does
not equal the peer's replica, the two replicas are compared range by range (anti-entropy).
"""

import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.state import digests, items, replica, versions
from irisstand.state.replication import chunk_transfer, messages
from irisstand.transport import network

# How long a node waits for a peer's reply before the request counts as failed.
REPLY_TIMEOUT_SECONDS = 0.6
# The approximate size limit of the changes in one reply. A node asks several peers in one round, and each
# replies: large replies would fill a slow link, all be late, and be requested again in the next round.
CHANGES_LIMIT_BYTES = 32 * 1024
# The approximate size limit of a reply that contains whole key ranges.
RANGES_LIMIT_BYTES = 1024 * 1024
# How many requests for ranges one repair may send.
RANGES_REQUESTS_LIMIT = 1000
# How often a repair is repeated because commits advanced the replica beyond the peer's reply.
OVERTAKEN_LIMIT = 20
# A reply from a replica older than this fraction of the freshness bound does not end a round of requests.
RECENT_FRACTION = 0.6
# The approximate size that msgpack and the version add to the key and the value of an item.
ITEM_OVERHEAD_BYTES = 60


class Replicator:
    """Answers requests for the tables of this node, and requests changes of its tables from peers."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        # The tables under repair. A second repair of a table at the same time would transfer the same items.
        self.repairing: set[str] = set()
        self.chunks = chunk_transfer.ChunkTransfer(context)
        context.transport.handlers[messages.MessageKind.CHANGES] = self.on_changes_request
        context.transport.handlers[messages.MessageKind.RANGES] = self.on_ranges_request

    # -- answering -----------------------------------------------------------------------------------
    async def on_changes_request(self, _: str, body: typing.Any) -> tuple[tuple[typing.Any, ...], ...]:
        """Answer a list of `ChangesRequest`, one for each table, with a list of `ChangesReply`."""
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
        """Request the changes of several tables from one peer, in a single request, and apply them.

        Args:
            address: The address of the peer.
            name: The node name of the peer.
            tables: The names of the tables to request; if empty, all tables that this node holds.

        Returns:
            Whether all requested tables are known to be current, well within the freshness bound.

        Raises:
            IrisError: The peer did not reply, or replied with an error.
            ValueError, TypeError: The reply is malformed.
        """
        replicas = [self.context.replicas[table] for table in tables or self.context.replicas]
        requests = [
            messages.ChangesRequest(local.name, local.applied, local.root_digest()) for local in replicas
        ]
        # Replicas are confirmed as of this time, because the reply may lack what changed after the request.
        sent_at = self.context.clock.now()
        body = tuple(request.to_wire() for request in requests)
        replies = await self.context.transport.call(
            address, name, messages.MessageKind.CHANGES, body, REPLY_TIMEOUT_SECONDS
        )
        all_current = True
        for local, request, fields in zip(replicas, requests, replies, strict=True):
            reply = messages.ChangesReply.from_wire(fields)
            age = reply.age
            # If the replica advanced meanwhile, the reply has the changes above a version that is outdated.
            if local.applied == request.applied and not await self.apply_reply(address, name, local, reply):
                age = None
            if age is not None and reply.applied == local.applied:
                local.confirm_current(sent_at - age)
            is_recent = age is not None and self.is_recent(sent_at - age)
            all_current = all_current and is_recent and self.context.is_fresh(local)
        return all_current

    def is_recent(self, current_at: float) -> bool:
        """Return whether a replica that was current at a time is recent enough to ask no further peer.

        Args:
            current_at: The time, in seconds of the node's clock, as of which the peer's replica was current.
        """
        bound_seconds = self.context.settings.freshness_bound
        return current_at > self.context.clock.now() - RECENT_FRACTION * bound_seconds

    async def apply_reply(
        self, address: network.Address, name: str, local: replica.Replica, reply: messages.ChangesReply
    ) -> bool:
        """Apply a peer's reply about one table, or repair the replica.

        Returns:
            False after a repair, which confirms the replica's age by its own requests.
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
        """Make a replica equal to a peer's, in chunks if possible, otherwise range by range."""
        if local.name in self.repairing:
            return
        self.repairing.add(local.name)
        try:
            if not in_chunks or not await self.transfer_chunks(address, name, local):
                await self.repair_ranges(address, name, local)
        finally:
            self.repairing.discard(local.name)

    async def transfer_chunks(self, address: network.Address, name: str, local: replica.Replica) -> bool:
        """Transfer a peer's changes in chunks. Return whether the replica was brought up to date."""
        try:
            return await self.chunks.transfer(address, name, local)
        except errors.UnknownNameError:
            # The peer runs the previous version, which does not support chunks.
            return False

    async def repair_ranges(self, address: network.Address, name: str, local: replica.Replica) -> None:
        """Make a clone equal to a peer's replica, range by range, then take over the clone in one step."""
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
            # A commit advanced the local replica meanwhile: the next request transfers only the rest.
            overtaken += 1
            if overtaken > OVERTAKEN_LIMIT:
                return

    async def request_ranges(
        self, address: network.Address, name: str, repaired: replica.Replica
    ) -> messages.RangesReply:
        """Request from a peer the content of the ranges whose digests differ between the two replicas."""
        request = messages.RangesRequest(repaired.name, repaired.range_digests())
        fields = await self.context.transport.call(
            address, name, messages.MessageKind.RANGES, request.to_wire(), REPLY_TIMEOUT_SECONDS
        )
        return messages.RangesReply.from_wire(fields)


def changes_reply(
    local: replica.Replica, request: messages.ChangesRequest, now: float
) -> messages.ChangesReply:
    """Return the reply to a request for changes, with the changes themselves if they fit into one reply."""
    root_digest = local.root_digest()
    reply = messages.ChangesReply(local.applied, local.age(now), root_digest, messages.ReplyKind.SAME)
    # A node that is ahead of this one is sent no changes, because it would discard them.
    if local.applied < request.applied or local.applied == versions.NONE:
        return reply._replace(kind=messages.ReplyKind.BEHIND)
    if request.root_digest == root_digest and local.applied == request.applied:
        return reply
    changed, removed_keys = local.changes_since(request.applied)
    # Replicas that differ at the same applied version are corrupt and need a repair.
    if local.applied == request.applied or estimated_size(changed, CHANGES_LIMIT_BYTES) > CHANGES_LIMIT_BYTES:
        return reply._replace(kind=messages.ReplyKind.REPAIR)
    return reply._replace(
        kind=messages.ReplyKind.CHANGES, changed=tuple(changed), removed_keys=tuple(removed_keys)
    )


def differing_ranges(
    local: replica.Replica, range_digests: collections.abc.Sequence[bytes]
) -> tuple[messages.RangeContent, ...]:
    """Return the content of the ranges whose digests differ from a peer's, as many as fit into one reply."""
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
    """Return the approximate size of items in a frame, in bytes; counting stops once it exceeds the limit."""
    size = 0
    for item in counted_items:
        size += len(item.key) + ITEM_OVERHEAD_BYTES + len(repr(item.value))
        if size > limit:
            break
    return size
