"""Carrying tables: a node asks a colleague for what lies above its tips, and mends what does not add up."""

import asyncio

from irisstand import blackboard, errors
from irisstand.ledger import items, serials, tables
from irisstand.postroom import network

PATIENCE = 0.6
# Bytes of one reply, about: a table larger than a frame is carried in parts.
PART_LIMIT = 1024 * 1024
PARTS_LIMIT = 1000
# Seconds after which the next colleague is asked beside one that has not answered yet.
STAGGER = 0.12
# Of the freshness bound, what an answer may be old so that nobody else is asked.
NEWS = 0.6
# Seconds after which a round has found nobody.
ROUND = 1.1
# Seconds between rounds while a table is not fresh.
STARTING = 0.06


class Courier:
    def __init__(self, board: blackboard.Board) -> None:
        self.board = board
        self.mending: set[str] = set()
        self.answered_last: tuple[network.Address, str] | None = None
        board.postroom.handlers["after"] = self.on_after
        board.postroom.handlers["ranges"] = self.on_ranges

    # -- answering -----------------------------------------------------------------------------------
    async def on_after(self, _: str, body: list) -> tuple:
        """For each table asked about: tip, age, root, and the rows above the asker's tip."""
        now = self.board.clock.now()
        replies = []
        for name, tip_parts, root in body:
            copy, tip = self.board.copies[name], serials.decode(tip_parts)
            own_root = copy.root()
            told = ("same",)
            # An asker that is ahead is not sent anything: it would have to throw it away.
            if copy.tip < tip or copy.tip == serials.NONE:
                told = ("behind",)
            elif root != own_root or copy.tip > tip:
                told = self.above(copy, tip)
            replies.append((tuple(copy.tip), copy.age(now), own_root, told))
        return tuple(replies)

    def above(self, copy: tables.Copy, tip: serials.Serial) -> tuple:
        changed, forgotten = copy.after(tip)
        # Equal tips that do not add up are damage, and more than fits a frame is carried in parts.
        if copy.tip == tip or size_of(changed) > PART_LIMIT:
            return ("mend",)
        return ("rows", tuple(items.encode(item) for item in changed), tuple(forgotten))

    async def on_ranges(self, _: str, body: list) -> tuple:
        """Items of ranges whose digests differ from the asker's, as many as fit."""
        name, digests = body
        copy = self.board.copies[name]
        if len(digests) != tables.RANGES:
            raise ValueError("another number of ranges")
        own = copy.digests()
        differing = {number for number in range(tables.RANGES) if own[number] != digests[number]}
        grouped: dict[int, list] = {number: [] for number in differing}
        for item in copy.range_items(differing):
            grouped[tables.range_of(item.key)].append(item)
        parts, size = [], 0
        for number, held in grouped.items():
            if size > PART_LIMIT:
                break
            size += size_of(held)
            parts.append((number, tuple(items.encode(item) for item in held)))
        return (tuple(copy.tip), copy.age(self.board.clock.now()), copy.root(), tuple(parts))

    # -- asking --------------------------------------------------------------------------------------
    async def pull(self, address: network.Address, name: str, tables_asked: tuple = ()) -> bool:
        """One question for all tables. True if every one is now known to be current well within the bound."""
        board = self.board
        copies = [board.copies[table] for table in tables_asked or board.copies]
        asked = tuple((copy.name, tuple(copy.tip), copy.root()) for copy in copies)
        # The age counts from here: whatever changed after the question was sent is not vouched for.
        sent = board.clock.now()
        replies = await board.postroom.ask(address, name, "after", asked, PATIENCE)
        all_current = True
        for copy, question, (tip_parts, age, root, told) in zip(copies, asked, replies, strict=True):
            tip = serials.decode(tip_parts)
            # A copy that moved under the question has been told of rows above a tip that it has left.
            if tuple(copy.tip) == question[1] and told[0] in ("rows", "mend"):
                changed = [items.decode(parts) for parts in told[1]] if told[0] == "rows" else []
                if told[0] == "rows" and copy.advance(tip, root, changed, [str(key) for key in told[2]]):
                    board.counters.add("rows_carried", len(changed), table=copy.name)
                else:
                    await self.mend(address, name, copy)
                    age = None
            if age is not None and tip == copy.tip:
                copy.vouch(sent - age)
            # A colleague that has heard nothing new for most of the bound is no source to rest on.
            is_news = age is not None and sent - age > board.clock.now() - NEWS * board.boot.freshness_bound
            all_current = all_current and is_news and board.is_fresh(copy)
        return all_current

    async def mend(self, address: network.Address, name: str, copy: tables.Copy) -> None:
        """Compare range by range with one colleague, aside, until both are alike; then take it whole."""
        # One mending of a table at a time: two would only carry the same ranges twice.
        if copy.name in self.mending:
            return
        self.mending.add(copy.name)
        try:
            aside = copy.clone()
            for _ in range(PARTS_LIMIT):
                sent = self.board.clock.now()
                body = (copy.name, aside.digests())
                tip_parts, age, root, parts = await self.board.postroom.ask(
                    address, name, "ranges", body, PATIENCE
                )
                ranges = {int(number): [items.decode(one) for one in held] for number, held in parts}
                aside.install(ranges)
                aside.tip = serials.decode(tip_parts)
                self.board.counters.add("ranges_mended", len(ranges), table=copy.name)
                if aside.root() == root:
                    if copy.adopt(aside) and age is not None:
                        copy.vouch(sent - age)
                    return
        finally:
            self.mending.discard(copy.name)

    def sources(self) -> list[tuple[network.Address, str]]:
        """Whom to ask, in order: the core, but soon also who answered last, and a few others.

        A node that is cut off from the core, though not from its colleagues, learns through one of them.
        """
        board = self.board
        core, others = [], []
        for update in board.detector.roster.members.values():
            (core if update.card.role == "agency" else others).append(update)
        board.randomness.shuffle(core)
        board.randomness.shuffle(others)
        core.sort(key=lambda update: (update.state, update.card.site != board.boot.site))
        found = [(update.card.address, update.identity.name) for update in core]
        aside = [(update.card.address, update.identity.name) for update in others[:2]]
        if self.answered_last in found[1:]:
            found.remove(self.answered_last)
            found.insert(1, self.answered_last)
        elif self.answered_last is not None and self.answered_last not in found:
            aside.insert(0, self.answered_last)
        # Between the core nodes, so that a node cut off from all of them has not to wait for each in vain.
        for place, source in enumerate(dict.fromkeys(aside)):
            found.insert(1 + 2 * place, source)
        return found

    async def try_source(self, address: network.Address, name: str) -> bool:
        try:
            if await self.pull(address, name):
                self.answered_last = (address, name)
                self.board.core_is_out = False
                return True
        except (errors.IrisError, ValueError, TypeError, KeyError, IndexError):
            self.board.counters.add("sync_failed")
        return False

    async def refresh(self) -> None:
        """One round of questions, each begun a little after the last, until one has been answered."""
        asking: set[asyncio.Task] = set()
        started = self.board.clock.now()
        try:
            for address, name in self.sources():
                asking.add(asyncio.get_running_loop().create_task(self.try_source(address, name)))
                done, asking = await asyncio.wait(
                    asking, timeout=STAGGER, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return
            # A wait too short to move the clock would never end.
            while asking and (left := started + ROUND - self.board.clock.now()) > 0.001:
                done, asking = await asyncio.wait(
                    asking, timeout=left, return_when=asyncio.FIRST_COMPLETED
                )
                if any(task.result() for task in done):
                    return
            # A round that was itself held up tells of this node, not of the others.
            self.board.core_is_out = self.board.clock.now() - started < 2 * ROUND
        finally:
            for task in asking:
                task.cancel()

    async def run(self) -> None:
        board = self.board
        while True:
            started = board.clock.now()
            await self.refresh()
            interval = board.boot.freshness_interval
            # A node that cannot serve yet asks at once again: the core may be back at this moment.
            if not all(map(board.is_fresh, board.copies.values())):
                interval = min(interval, STARTING)
            pause = interval - (board.clock.now() - started)
            await asyncio.sleep(max(0.01, pause))


def size_of(held: list[items.Item]) -> int:
    """About how many bytes items take up in a frame; strings and bytes are what makes them large."""
    return sum(len(item.key) + 60 + len(repr(item.value)) for item in held)
