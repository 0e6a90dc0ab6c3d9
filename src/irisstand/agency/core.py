"""A core node's share in deciding: its vault, the owners of its tables, and asking the voters."""

import asyncio
import collections.abc
import typing

from irisstand import blackboard, errors
from irisstand.ledger import courier as couriers
from irisstand.ledger import disk as disks
from irisstand.ledger import items, owner, quorum, serials, vault

PATIENCE = 1.0


class Core:
    def __init__(self, board: blackboard.Board, disk: disks.Disk) -> None:
        self.board = board
        self.vault = vault.Vault(disk, board.randomness)
        self.courier = couriers.Courier(board)
        self.owners: dict[str, owner.Owner] = {}
        self.asking: set[asyncio.Task] = set()
        for kind in ("promise", "accept", "commit", "found"):
            board.postroom.handlers[kind] = getattr(self, f"on_{kind}")
        board.postroom.handlers["stand"] = self.on_stand

    async def open(self) -> None:
        await self.vault.open()
        for table in items.TABLES:
            live = self.board.copies[table]
            # A copy whose files do not add up is not read from, and so never spreads.
            if self.vault.sound[table]:
                live.take(self.vault.copies[table].clone())
            self.owners[table] = owner.Owner(self.vault, live, self.catch_up)
            self.board.start(self.owners[table].run(), f"owner of {table}")

    async def catch_up(self, table: str, name: str) -> None:
        """Take the table from that very colleague."""
        places = {voter.name: (voter.host, voter.port) for voter in self.voters(table)}
        for update in self.board.colleagues("agency"):
            places[update.identity.name] = update.card.address
        if name in places:
            await self.courier.pull(places[name], name, (table,))

    def voters(self, table: str) -> list[quorum.Voter]:
        return quorum.decode(self.board.copies[table].value(items.VOTERS))

    def own_voter(self) -> quorum.Voter:
        boot = self.board.boot
        return quorum.Voter(
            boot.name, self.vault.identity, boot.site, boot.host, boot.port, boot.machine
        )

    def votes(self, table: str) -> bool:
        return any(voter.vault == self.vault.identity for voter in self.voters(table))

    # -- what colleagues ask -------------------------------------------------------------------------
    async def on_promise(self, _: str, body: list) -> tuple:
        table, ballot, vault_id = body
        self.check_vault(vault_id)
        return await self.owners[table].order("promise", serials.decode(ballot))

    async def on_accept(self, sender: str, body: list) -> tuple:
        table, ballot, batch, vault_id = body
        self.check_vault(vault_id)
        decoded = items.decode_batch(batch)
        return await self.owners[table].order("accept", serials.decode(ballot), decoded, sender)

    def check_vault(self, vault_id: str) -> None:
        if vault_id != self.vault.identity:
            raise errors.NotFounded("the disk that was asked for is not this node's any more")

    async def on_commit(self, _: str, body: list) -> tuple:
        table, batch = body
        return await self.owners[table].order("commit", items.decode_batch(batch))

    async def on_found(self, _: str, body: list) -> tuple:
        return tuple([await self.owners[table].order("found", items.decode_batch(b)) for table, b in body])

    async def on_stand(self, _: str, body: list) -> tuple:
        """Where this node stands, from memory: it must answer even while its disk is stalled."""
        (table,) = body
        record = self.vault.records[table]
        pending = None if record.pending is None else tuple(record.pending.base)
        tip = max(record.tip, self.board.copies[table].tip)
        return (self.vault.identity, tuple(tip), pending, tuple(record.promised))

    # -- asking the voters ---------------------------------------------------------------------------
    async def ask_voter(self, voter: quorum.Voter, kind: str, body: tuple) -> typing.Any:
        if voter.vault == self.vault.identity:
            handler = self.board.postroom.handlers[kind]
            return await handler(self.board.boot.name, list(body))
        return await self.board.postroom.ask((voter.host, voter.port), voter.name, kind, body, PATIENCE)

    async def gather(
        self, voters: list[quorum.Voter], kind: str, body: collections.abc.Callable[[quorum.Voter], tuple],
        enough: collections.abc.Callable[[dict[str, typing.Any]], bool],
    ) -> dict[str, typing.Any]:  # fmt: skip
        """Replies by vault until there are enough; the rest are left to arrive, not called back."""
        replies: dict[str, typing.Any] = {}
        tasks: dict[asyncio.Task, quorum.Voter] = {}
        for voter in voters:
            task = asyncio.get_running_loop().create_task(self.ask_voter(voter, kind, body(voter)))
            tasks[task] = voter
            self.asking.add(task)
            task.add_done_callback(self.settle)
        left = set(tasks)
        while left and not enough(replies):
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED, timeout=PATIENCE)
            if not done:
                break
            # In the order of asking, as a set has none of its own and a run must be repeatable.
            for task in [task for task in tasks if task in done]:
                if not task.cancelled() and task.exception() is None:
                    replies[tasks[task].vault] = task.result()
        return replies

    def settle(self, task: asyncio.Task) -> None:
        self.asking.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            code = error.code if isinstance(error, errors.IrisError) else type(error).__name__
            self.board.counters.add("voter_asks_failed", code=code)
