"""Carrying tables: a node asks a peer for what lies above its applied versions, and mends what does not add
up.
"""

from irisstand import errors, node_context
from irisstand.state import digests, items, replica, versions
from irisstand.state.replication import chunk_transfer
from irisstand.transport import network

PATIENCE = 0.6
# Bytes of changed rows in one reply, about. Several peers are asked within one round, and each answers: large
# replies together fill a slow link, none comes in time, and the next round asks for all of them again.
ROWS_LIMIT = 32 * 1024
# Bytes of one reply with whole ranges, about.
PART_LIMIT = 1024 * 1024
PARTS_LIMIT = 1000
# How often a mend asks again because commits have carried the copy past the answer.
OVERTAKEN_LIMIT = 20
# Of the freshness bound, what an answer may be old so that nobody else is asked.
NEWS = 0.6


class Replicator:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.mending: set[str] = set()
        self.parts = chunk_transfer.ChunkTransfer(context)
        context.transport.handlers["after"] = self.on_after
        context.transport.handlers["ranges"] = self.on_ranges

    # -- answering -----------------------------------------------------------------------------------
    async def on_after(self, _: str, body: list) -> tuple:
        """For each table asked about: applied version, age, root, and the rows above the asker's applied
        version.
        """
        now = self.context.clock.now()
        replies = []
        for name, applied_parts, root in body:
            copy, applied = self.context.replicas[name], versions.Version.from_wire(applied_parts)
            own_root = copy.root_digest()
            told = ("same",)
            # An asker that is ahead is not sent anything: it would have to throw it away.
            if copy.applied < applied or copy.applied == versions.NONE:
                told = ("behind",)
            elif root != own_root or copy.applied > applied:
                told = self.above(copy, applied)
            replies.append((tuple(copy.applied), copy.age(now), own_root, told))
        return tuple(replies)

    def above(self, copy: replica.Replica, applied: versions.Version) -> tuple:
        changed, forgotten = copy.changes_since(applied)
        # Equal applied versions that do not add up are damage, and more than fits a frame is carried in
        # parts.
        if copy.applied == applied or size_of(changed, ROWS_LIMIT) > ROWS_LIMIT:
            return ("mend",)
        return ("rows", tuple(item.to_wire() for item in changed), tuple(forgotten))

    async def on_ranges(self, _: str, body: list) -> tuple:
        """Items of ranges whose digests differ from the asker's, as many as fit."""
        name, asked = body
        copy = self.context.replicas[name]
        if len(asked) != digests.RANGE_COUNT:
            raise ValueError("another number of ranges")
        own = copy.range_digests()
        differing = {number for number in range(digests.RANGE_COUNT) if own[number] != asked[number]}
        grouped: dict[int, list] = {number: [] for number in differing}
        for item in copy.items_in_ranges(differing):
            grouped[digests.range_number(item.key)].append(item)
        parts, size = [], 0
        for number, held in grouped.items():
            if size > PART_LIMIT:
                break
            size += size_of(held)
            parts.append((number, tuple(item.to_wire() for item in held)))
        return (tuple(copy.applied), copy.age(self.context.clock.now()), copy.root_digest(), tuple(parts))

    # -- asking --------------------------------------------------------------------------------------
    async def pull(self, address: network.Address, name: str, tables_asked: tuple = ()) -> bool:
        """One question for all tables. True if every one is now known to be current well within the bound."""
        context = self.context
        copies = [context.replicas[table] for table in tables_asked or context.replicas]
        asked = tuple((copy.name, tuple(copy.applied), copy.root_digest()) for copy in copies)
        # The age counts from here: whatever changed after the question was sent is not confirmed for.
        sent = context.clock.now()
        replies = await context.transport.call(address, name, "after", asked, PATIENCE)
        all_current = True
        for copy, question, (applied_parts, age, root, told) in zip(copies, asked, replies, strict=True):
            applied = versions.Version.from_wire(applied_parts)
            # A copy that moved under the question has been told of rows above an applied version that it has
            # left.
            if tuple(copy.applied) == question[1] and told[0] in ("rows", "mend"):
                changed = [items.Item.from_wire(parts) for parts in told[1]] if told[0] == "rows" else []
                if told[0] == "rows" and copy.apply_changes(
                    applied, root, changed, [str(key) for key in told[2]]
                ):
                    context.counters.add("rows_carried", len(changed), table=copy.name)
                else:
                    await self.mend(address, name, copy, told[0] == "mend" and applied > copy.applied)
                    age = None
            if age is not None and applied == copy.applied:
                copy.confirm_current(sent - age)
            # A peer that has heard nothing new for most of the bound is no source to rest on.
            is_news = (
                age is not None and sent - age > context.clock.now() - NEWS * context.settings.freshness_bound
            )
            all_current = all_current and is_news and context.is_fresh(copy)
        return all_current

    async def mend(self, address: network.Address, name: str, copy: replica.Replica, in_parts: bool) -> None:
        """Take what a peer has, part by part, or range by range if that does not add up."""
        # One mending of a table at a time: two would only carry the same rows twice.
        if copy.name in self.mending:
            return
        self.mending.add(copy.name)
        try:
            if not in_parts or not await self.carry_parts(address, name, copy):
                await self.mend_ranges(address, name, copy)
        finally:
            self.mending.discard(copy.name)

    async def carry_parts(self, address: network.Address, name: str, copy: replica.Replica) -> bool:
        try:
            return await self.parts.carry(address, name, copy)
        except errors.UnknownNameError:
            # A peer of the version before has no parts to give.
            return False

    async def mend_ranges(self, address: network.Address, name: str, copy: replica.Replica) -> None:
        """Compare range by range with one peer, aside, until both are alike; then take it whole."""
        aside, overtaken = copy.clone(), 0
        for _ in range(PARTS_LIMIT):
            sent = self.context.clock.now()
            body = (copy.name, aside.range_digests())
            applied_parts, age, root, parts = await self.context.transport.call(
                address, name, "ranges", body, PATIENCE
            )
            ranges = {int(number): [items.Item.from_wire(one) for one in held] for number, held in parts}
            aside.replace_ranges(ranges)
            aside.applied = versions.Version.from_wire(applied_parts)
            self.context.counters.add("ranges_mended", len(ranges), table=copy.name)
            if aside.root_digest() != root:
                continue
            if copy.replace_unless_older(aside):
                if age is not None:
                    copy.confirm_current(sent - age)
                return
            # A commit came in while the answer was on its way: what is aside is nearly all of it.
            overtaken += 1
            if overtaken > OVERTAKEN_LIMIT:
                return


def size_of(held: list[items.Item], limit: int = PART_LIMIT) -> int:
    """About how many bytes items take up in a frame, counted no further than just over the limit."""
    size = 0
    for item in held:
        size += len(item.key) + 60 + len(repr(item.value))
        if size > limit:
            break
    return size
