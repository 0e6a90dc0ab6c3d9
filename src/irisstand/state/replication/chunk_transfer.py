"""Transfer of many changed items in small compressed chunks, since a whole table would fill a slow link.

A node that is far behind requests one chunk after another, from the oldest version on. It keeps the received
items staged even if the peer stops replying, and requests the remaining items from the next peer. The staged
items are applied in one step once the last chunk has arrived and the result equals the peer's replica, so
that no reader sees an incomplete table.
"""

import collections.abc
import dataclasses
import typing
import zlib

import ormsgpack

from irisstand import errors, node_context
from irisstand.state import items, replica, versions
from irisstand.state.replication import messages
from irisstand.transport import codec, network

# How long a node waits for a peer's reply to a request for a chunk.
REPLY_TIMEOUT_SECONDS = 0.6
# The size of the items of one chunk before compression.
CHUNK_BYTES = 64 * 1024
# How many chunks one transfer may request.
CHUNKS_LIMIT = 1000
# How many compressed chunks are cached. After a large change, all nodes request the same chunks.
CACHED_CHUNKS_LIMIT = 64
# The zlib level that compresses fastest.
FASTEST_COMPRESSION = 1


class Chunk(typing.NamedTuple):
    """The compressed items after a cursor, and the cursor of the last item; None if no items follow."""

    packed_items: bytes
    end: messages.Cursor | None


@dataclasses.dataclass
class StagedItems:
    """The items above the applied version `base` that have been received so far, the last one at `cursor`."""

    base: versions.Version
    cursor: messages.Cursor
    items: dict[str, items.Item]


class ChunkTransfer:
    """Answers requests for chunks, and requests chunks from peers, with at most one transfer per table."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.staged: dict[str, StagedItems] = {}
        self.cached_chunks: dict[tuple[str, messages.Cursor], Chunk] = {}
        self.cached_at_version: dict[str, versions.Version] = {}
        context.transport.handlers[messages.MessageKind.CHUNK] = self.on_chunk_request
        for local in context.replicas.values():
            local.watchers.append(self.drop_outdated)

    # -- answering -----------------------------------------------------------------------------------
    async def on_chunk_request(self, _: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Answer a `ChunkRequest` with a `ChunkReply`.

        Raises:
            StaleConfigurationError: The requesting node has newer items than this one.
        """
        request = messages.ChunkRequest.from_wire(body)
        local = self.context.replicas[request.table]
        if local.applied < max(request.base, request.cursor.version):
            raise errors.StaleConfigurationError(
                f"the {request.table} table is older here than on the requesting node"
            )
        chunk = self.chunk_after(local, request.cursor)
        removed_keys = tuple(local.changes_since(request.base).removed_keys) if chunk.end is None else ()
        age = local.age(self.context.clock.now())
        root_digest = local.root_digest()
        reply = messages.ChunkReply(
            local.applied, age, root_digest, chunk.packed_items, chunk.end, removed_keys
        )
        return reply.to_wire()

    def chunk_after(self, local: replica.Replica, cursor: messages.Cursor) -> Chunk:
        """Return the chunk after a cursor; it is compressed once for all nodes that request it."""
        is_outdated = self.cached_at_version.get(local.name) != local.applied
        if is_outdated or len(self.cached_chunks) >= CACHED_CHUNKS_LIMIT:
            self.cached_chunks = {
                cache_key: chunk
                for cache_key, chunk in self.cached_chunks.items()
                if cache_key[0] != local.name
            }
            self.cached_at_version[local.name] = local.applied
        cache_key = (local.name, cursor)
        if cache_key not in self.cached_chunks:
            self.cached_chunks[cache_key] = build_chunk(local, cursor)
        return self.cached_chunks[cache_key]

    # -- asking --------------------------------------------------------------------------------------
    def drop_outdated(self) -> None:
        """Drop staged items whose base version is not the replica's applied version any more."""
        for name, staged in list(self.staged.items()):
            if staged.base != self.context.replicas[name].applied:
                del self.staged[name]

    async def transfer(self, address: network.Address, name: str, local: replica.Replica) -> bool:
        """Request all chunks of a table from one peer, and apply their items after the last one.

        Args:
            address: The address of the peer.
            name: The node name of the peer.
            local: The replica to bring up to date.

        Returns:
            False if the result would not equal the peer's replica, or if there are too many chunks.

        Raises:
            IrisError: The peer did not reply, or replied with an error.
            ValueError, TypeError: The reply is malformed.
        """
        staged = self.staged_items(local)
        for _ in range(CHUNKS_LIMIT):
            sent_at = self.context.clock.now()
            request = messages.ChunkRequest(local.name, staged.base, staged.cursor)
            fields = await self.context.transport.call(
                address, name, messages.MessageKind.CHUNK, request.to_wire(), REPLY_TIMEOUT_SECONDS
            )
            if local.applied != staged.base:
                # The replica was brought up to date in another way; the next round starts from there.
                return True
            reply = messages.ChunkReply.from_wire(fields)
            staged.items.update({item.key: item for item in unpack_items(reply.packed_items)})
            if reply.end is None:
                return self.finish(local, staged, reply, sent_at)
            staged.cursor = checked_next_cursor(staged.cursor, reply.end)
        return False

    def staged_items(self, local: replica.Replica) -> StagedItems:
        """Return the items received so far, from any peer, on top of the replica's applied version."""
        staged = self.staged.get(local.name)
        if staged is None or staged.base != local.applied:
            staged = StagedItems(local.applied, messages.Cursor(local.applied, replica.KEY_UPPER_BOUND), {})
            self.staged[local.name] = staged
        return staged

    def finish(
        self, local: replica.Replica, staged: StagedItems, reply: messages.ChunkReply, sent_at: float
    ) -> bool:
        """Apply the staged items after the last chunk. Return whether the result is the peer's replica."""
        self.staged.pop(local.name, None)
        removed_keys = set(reply.removed_keys)
        changed = [item for item in staged.items.values() if item.key not in removed_keys]
        if not local.apply_changes(reply.applied, reply.root_digest, changed, sorted(removed_keys)):
            return False
        self.context.counters.add("rows_carried", len(changed), table=local.name)
        if reply.age is not None:
            local.confirm_current(sent_at - reply.age)
        return True


def build_chunk(local: replica.Replica, cursor: messages.Cursor) -> Chunk:
    """Return the chunk of items after a cursor, in the order of versions, up to about `CHUNK_BYTES`."""
    packed: list[bytes] = []
    size = 0
    end = cursor
    for version, key in local.keys_by_version.irange(tuple(cursor), inclusive=(False, True)):
        if size >= CHUNK_BYTES:
            return Chunk(pack_items(packed), end)
        packed.append(ormsgpack.packb(local.items[key].to_wire()))
        size += len(packed[-1])
        end = messages.Cursor(version, key)
    return Chunk(pack_items(packed), None)


def pack_items(packed: collections.abc.Sequence[bytes]) -> bytes:
    """Compress a sequence of items, each of which is packed already."""
    return zlib.compress(ormsgpack.packb(packed), FASTEST_COMPRESSION)


def unpack_items(packed_items: bytes) -> list[items.Item]:
    """Decompress the items of a chunk, but never to more bytes than a frame may have.

    Raises:
        ValueError: The bytes are not a chunk, or the chunk is too large.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed_items, codec.FRAME_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(f"a chunk cannot be decompressed: {error}") from None
    if not unpacker.eof:
        raise ValueError("a decompressed chunk is larger than a frame")
    return [items.Item.from_wire(ormsgpack.unpackb(one)) for one in ormsgpack.unpackb(plain)]


def checked_next_cursor(before: messages.Cursor, end: messages.Cursor) -> messages.Cursor:
    """Return `end` if it lies after `before`; otherwise the requests for chunks would never end.

    Raises:
        ValueError: The chunk does not end after the previous one.
    """
    if end <= before:
        raise ValueError("a chunk does not end after the cursor that was requested")
    return end
