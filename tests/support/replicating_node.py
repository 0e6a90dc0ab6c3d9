"""A test node that has only a replicator, on a link with a limited rate."""

import asyncio
import types

import irisstand.counters as counting
from irisstand import clocks, errors
from irisstand.state import items, replica, versions
from irisstand.state.replication import replicator
from irisstand.transport import codec

FRESHNESS_BOUND_SECONDS = 1.5


class ReplicatingNode:
    """A node with a replicator, whose replies share a link of `rate` bytes per second; None means no limit.

    Attributes:
        peers: The nodes that this node can call, by name.
        replies: The peer, the kind and the size in bytes of each reply that this node was sent.
        free_at: When the link has transferred all replies so far, in seconds of the loop's clock.
    """

    def __init__(self, name, rate=None):
        self.name, self.rate = name, rate
        self.peers, self.replies = {}, []
        self.free_at = 0.0
        self.handlers = {}
        settings = types.SimpleNamespace(freshness_bound=FRESHNESS_BOUND_SECONDS)
        replicas = {items.CONFIGURATION: replica.Replica(items.CONFIGURATION)}
        self.context = types.SimpleNamespace(
            replicas=replicas,
            clock=clocks.LoopClock(),
            counters=counting.Counters(),
            transport=self,
            settings=settings,
            is_fresh=lambda local: local.age(self.context.clock.now()) is not None,
        )
        self.replica = replicas[items.CONFIGURATION]
        self.replicator = replicator.Replicator(self.context)

    def apply(self, number, rows):
        self.replica.apply(items.Batch(versions.Version(number, "n"), self.replica.applied, tuple(rows)))
        self.replica.confirm_current(self.context.clock.now())

    async def call(self, address, name, kind, body, timeout_seconds):
        """Call a peer as the real transport does: a reply that arrives too late still uses the link."""
        handlers = self.peers[name].handlers
        if kind not in handlers:
            raise errors.UnknownNameError(f"no handler for {kind}")
        received_body = codec.unpack(codec.pack(("ask", 1, (kind, body))))[2][1]
        reply = codec.pack(("result", 1, await handlers[kind](self.name, received_body)))
        self.replies.append((name, kind, len(reply)))
        now = asyncio.get_running_loop().time()
        if self.rate:
            self.free_at = max(self.free_at, now) + len(reply) / self.rate
        wait = max(0.002, self.free_at - now)
        await asyncio.sleep(min(wait, timeout_seconds))
        if wait > timeout_seconds:
            raise errors.UnansweredError(f"{name} gave no result in time")
        return codec.unpack(reply)[2]

    async def pull(self, name):
        try:
            return await self.replicator.pull(("", 0), name)
        except errors.IrisError:
            return False

    async def round(self, names):
        """Run a round of requests: ask another peer every 0.12 s, until one reply makes all current."""
        pending = set()
        for name in names:
            pending.add(asyncio.create_task(self.pull(name)))
            done, pending = await asyncio.wait(pending, timeout=0.12, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                break
        else:
            if pending:
                await asyncio.wait(pending, timeout=0.4)
        for task in pending:
            task.cancel()
        await asyncio.sleep(0.01)
