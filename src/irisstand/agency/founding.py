"""Founding the core once, and enrolling core nodes whose disk is new."""

import asyncio

from irisstand import errors, ring
from irisstand.agency import core as cores
from irisstand.agency import orders, submitting
from irisstand.ledger import items, quorum, serials

FIRST = serials.Serial(1, "founding")


class Founding:
    def __init__(self, core: cores.Core, submitter: submitting.Submitter) -> None:
        self.core, self.board, self.submitter = core, core.board, submitter
        self.missing_since: dict[str, float] = {}
        self.board.postroom.handlers["core-state"] = self.on_core_state
        self.board.postroom.handlers["hold"] = self.on_hold

    async def on_core_state(self, _: str, body: list) -> tuple:
        return (tuple(self.core.own_voter()), self.is_empty())

    async def on_hold(self, _: str, body: list) -> tuple:
        """A voter to be: all tables are current and on its disk before it says who it is."""
        for table in items.TABLES:
            if not self.board.is_current(self.board.copies[table]):
                raise errors.NotFounded("this node has not learnt the tables yet")
            await self.core.owners[table].order("keep")
        return tuple(self.core.own_voter())

    def is_empty(self) -> bool:
        records = self.core.vault.records
        return all(
            records[table].tip == serials.NONE and self.board.copies[table].tip == serials.NONE
            for table in items.TABLES
        )

    async def run(self) -> None:
        while True:
            try:
                if self.is_empty():
                    await self.try_founding()
                else:
                    await self.try_enrolling()
            except (errors.IrisError, ValueError, TypeError) as error:
                ring.note("founding", error=str(error))
            await asyncio.sleep(0.5)

    async def try_founding(self) -> None:
        """Only when every founding core is there and empty; the lowest name writes for all."""
        members = self.board.colleagues("agency")
        states = [(self.core.own_voter(), True)]
        for update in members:
            voter, empty = await self.board.postroom.ask(
                update.card.address, update.identity.name, "core-state", (), 1.0
            )
            states.append((quorum.Voter(*voter), empty))
        # One founded colleague, or one that cannot be asked, means learning and not founding.
        if not all(empty for _, empty in states):
            await self.learn()
            return
        voters = sorted(voter for voter, _ in states)
        if len(voters) != self.board.boot.founding or voters[0].name != self.board.boot.name:
            return
        rows = ((items.VOTERS, [tuple(voter) for voter in voters], False),)
        batch = items.encode_batch(items.Batch(FIRST, serials.NONE, rows))
        body = tuple((table, batch) for table in items.TABLES)
        for voter in voters:
            await self.core.ask_voter(voter, "found", body)
        ring.note("founded", voters=[voter.name for voter in voters])

    async def learn(self) -> None:
        for address, name in self.core.courier.sources():
            try:
                await self.core.courier.pull(address, name)
                return
            except errors.Unreached:
                continue

    async def try_enrolling(self) -> None:
        """A node with a new disk first holds the tables durably, and only then asks to be voted in."""
        for table in items.TABLES:
            copy = self.board.copies[table]
            if copy.tip == serials.NONE:
                await self.learn()
            if self.core.votes(table) or not self.board.is_current(copy):
                continue
            leaves = self.replaceable(table)
            # A spare core node: it knows everything, and waits until a voter is gone.
            if not leaves:
                continue
            await self.core.owners[table].order("keep")
            payload = (tuple(self.core.own_voter()), leaves)
            await self.submitter.submit(orders.Order(f"enrol-{table}", "", payload))
            ring.note("enrolled", table=table, leaves=leaves)

    def replaceable(self, table: str) -> str:
        """The voter whose place this node may take: its own older self, or one that is long gone."""
        now = self.board.clock.now()
        present = {update.identity.name for update in self.board.colleagues("agency")}
        voters = self.core.voters(table)
        if any(voter.name == self.board.boot.name for voter in voters):
            return self.board.boot.name
        for voter in voters:
            if voter.name in present:
                self.missing_since.pop(voter.name, None)
        # A machine that is restarted is not to lose its vote over it.
        for voter in voters:
            since = self.missing_since.setdefault(voter.name, now) if voter.name not in present else now
            if now - since >= self.board.boot.replace_after:
                return voter.name
        return ""
