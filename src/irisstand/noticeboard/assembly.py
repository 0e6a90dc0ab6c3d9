"""Putting a noticeboard together from what it is handed; the simulator uses this as the program does."""

import importlib
import random
import typing

from irisstand import blackboard, clocks
from irisstand import boot as booting
from irisstand.ledger import courier
from irisstand.noticeboard import views
from irisstand.postroom import network

# Plug-in point: a role is an entry here, the module whose `part` makes it. It is imported when its role is
# played: a node that was killed is back sooner without the libraries of the others.
REGISTRY = {
    "edge": "irisstand.noticeboard.edge",
    "shield": "irisstand.noticeboard.shield",
    "store": "irisstand.noticeboard.store",
    "direct": "irisstand.noticeboard.direct",
    "holder": "irisstand.noticeboard.direct",
}


class Noticeboard:
    """`connect` opens what the role needs towards origins; None for the real one of the role."""

    def __init__(
        self, boot: booting.Boot, clock: clocks.Clock, randomness: random.Random, net: network.Network,
        connect: typing.Any = None,
    ) -> None:  # fmt: skip
        self.board = blackboard.Board(boot, boot.role, clock, randomness, net)
        self.view = views.Views(self.board)
        self.courier = courier.Courier(self.board)
        self.part: typing.Any = importlib.import_module(REGISTRY[boot.role]).part(
            self.board, self.view, connect
        )

    async def open(self) -> None:
        await self.board.open()
        self.board.start(self.courier.run(), "courier")
        if hasattr(self.part, "run"):
            self.board.start(self.part.run(), f"part of a {self.board.role}")

    async def close(self) -> None:
        await self.board.close()
