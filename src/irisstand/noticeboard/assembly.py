"""Putting a noticeboard together from what it is handed; the simulator uses this as the program does."""

import random
import typing

from irisstand import blackboard, clocks
from irisstand import boot as booting
from irisstand.ledger import courier
from irisstand.noticeboard import direct, edge, exchange, lines, shield, store, views
from irisstand.postroom import network


class Noticeboard:
    def __init__(
        self, boot: booting.Boot, clock: clocks.Clock, randomness: random.Random, net: network.Network,
        open_line: lines.Open, connect: exchange.Connect | None = None,
    ) -> None:  # fmt: skip
        self.board = blackboard.Board(boot, boot.role, clock, randomness, net)
        self.view = views.Views(self.board)
        self.courier = courier.Courier(self.board)
        # Plug-in point: a role is an entry here.
        registry = {
            "edge": lambda: edge.Edge(self.board, self.view),
            "shield": lambda: shield.Shield(self.board, self.view, open_line),
            "store": lambda: store.Store(self.board, self.view),
            "direct": lambda: direct.Direct(self.board, self.view, connect or direct.connector(boot)),
        }
        self.part: typing.Any = registry[boot.role]()

    async def open(self) -> None:
        await self.board.open()
        self.board.start(self.courier.run(), "courier")
        if isinstance(self.part, direct.Direct):
            self.board.start(self.part.run(), "targets")

    async def close(self) -> None:
        await self.board.close()
