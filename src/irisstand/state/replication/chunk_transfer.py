"""Transfer of many changed items in small compressed chunks, for links that a whole table would fill.

A node that is far behind asks for one chunk after the other, from the oldest version on. It stages what it
received, also when the peer falls silent: the next peer goes on behind it. The staged items are applied at
once when the last chunk is there and the outcome equals the peer's replica, so no reader sees half a table.
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

REPLY_TIMEOUT_SECONDS = 0.6
# The size of the items of one chunk before they are compressed.
CHUNK_BYTES = 64 * 1024
CHUNKS_LIMIT = 1000
# Compressed chunks that are cached: after a large change, all nodes ask for the same ones.
CACHED_CHUNKS_LIMIT = 64
FASTEST_COMPRESSION = 1


class Chunk(typing.NamedTuple):
    """Compressed items behind a cursor, and the cursor where they end; None if nothing is behind them."""

    packed_items: bytes
    end: messages.Cursor | None


@dataclasses.dataclass
class StagedItems:
    """Items above the applied version `base` that were received so far, the last one at `cursor`."""

    base: versions.Version
    cursor: messages.Cursor
    items: dict[str, items.Item]


class ChunkTransfer:
    """Answers requests for chunks, and requests them; a table has at most one transfer at a time."""

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
            StaleConfigurationError: The node that asks has newer items than this one.
        """
        request = messages.ChunkRequest.from_wire(body)
        local = self.context.replicas[request.table]
        if local.applied < max(request.base, request.cursor.version):
            raise errors.StaleConfigurationError(f"the {request.table} table is older here than the asker's")
        chunk = self.chunk_after(local, request.cursor)
        removed_keys = tuple(local.changes_since(request.base).removed_keys) if chunk.end is None else ()
        age = local.age(self.context.clock.now())
        root_digest = local.root_digest()
        reply = messages.ChunkReply(
            local.applied, age, root_digest, chunk.packed_items, chunk.end, removed_keys
        )
        return reply.to_wire()

    def chunk_after(self, local: replica.Replica, cursor: messages.Cursor) -> Chunk:
        """Return the chunk behind a cursor, compressed once for all nodes that ask for it."""
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
        """Drop items that were staged above a version which the replica has left in another way."""
        for name, staged in list(self.staged.items()):
            if staged.base != self.context.replicas[name].applied:
                del self.staged[name]

    async def transfer(self, address: network.Address, name: str, local: replica.Replica) -> bool:
        """Request chunk after chunk from one peer and apply them at the end.

        Args:
            address: The address of the peer.
            name: The node name of the peer.
            local: The replica to bring up to date.

        Returns:
            False if the outcome would not equal the peer's replica, or there are too many chunks.

        Raises:
            IrisError: The peer did not answer, or answered with an error.
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
                # It was brought up to date in another way; the next round asks from there.
                return True
            reply = messages.ChunkReply.from_wire(fields)
            staged.items.update({item.key: item for item in unpack_items(reply.packed_items)})
            if reply.end is None:
                return self.finish(local, staged, reply, sent_at)
            staged.cursor = checked_next_cursor(staged.cursor, reply.end)
        return False

    def staged_items(self, local: replica.Replica) -> StagedItems:
        """Return what was received so far for the replica as it is now, from whichever peer."""
        staged = self.staged.get(local.name)
        if staged is None or staged.base != local.applied:
            staged = StagedItems(local.applied, messages.Cursor(local.applied, replica.KEY_UPPER_BOUND), {})
            self.staged[local.name] = staged
        return staged

    def finish(
        self, local: replica.Replica, staged: StagedItems, reply: messages.ChunkReply, sent_at: float
    ) -> bool:
        """Apply the staged items after the last chunk. Return whether the outcome is the peer's replica."""
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
    """Return the items behind a cursor in the order of their versions, as many as a chunk has room for."""
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
    """Compress items that are packed one by one."""
    return zlib.compress(ormsgpack.packb(packed), FASTEST_COMPRESSION)


def unpack_items(packed_items: bytes) -> list[items.Item]:
    """Decompress items, but never to more than a frame may have, whatever the peer sent.

    Raises:
        ValueError: The bytes are no chunk, or one that is too large.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed_items, codec.FRAME_LIMIT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a part: {error}") from None
    if not unpacker.eof:
        raise ValueError("a part larger than a frame")
    return [items.Item.from_wire(ormsgpack.unpackb(one)) for one in ormsgpack.unpackb(plain)]


def checked_next_cursor(before: messages.Cursor, end: messages.Cursor) -> messages.Cursor:
    """Return `end` if it lies behind `before`; otherwise requests for chunks would never come to an end.

    Raises:
        ValueError: The chunk does not lead on.
    """
    if end <= before:
        raise ValueError("a part that does not lead on")
    return end
