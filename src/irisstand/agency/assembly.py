"""Putting an agency together from what it is handed; the simulator uses this as the program does."""

import random

from irisstand import blackboard, clocks
from irisstand import boot as booting
from irisstand.agency import core as cores
from irisstand.agency import duties, founding, placement, pulse, retention, staffing, submitting, watch
from irisstand.agency import taker as takers
from irisstand.ledger import disk as disks
from irisstand.ledger import items
from irisstand.postroom import network

# Seconds for which a lost holder leaves its duty undone, about. Short where a rule of seconds hangs on it.
PLATFORM_TERM, STAFFING_TERM = 1.4, 2.0


class Agency:
    def __init__(
        self, boot: booting.Boot, clock: clocks.Clock, randomness: random.Random, net: network.Network,
        disk: disks.Disk, ask_platform: watch.Ask | None,
    ) -> None:  # fmt: skip
        self.board = blackboard.Board(boot, "agency", clock, randomness, net)
        self.core = cores.Core(self.board, disk)
        self.takers = {table: takers.Taker(self.core, table) for table in items.TABLES}
        self.submitter = submitting.Submitter(self.core, self.takers)
        self.founding = founding.Founding(self.core, self.submitter)
        self.duties: list[duties.Duty] = []
        if ask_platform is not None:
            watcher = watch.Watch(self.board, ask_platform)
            self.duties.append(duties.Duty(self.submitter, "platform-watch", watcher.work, PLATFORM_TERM))
        placer, staffer = placement.Placement(self.board), staffing.Staffing(self.board)
        self.duties.append(duties.Duty(self.submitter, "placement", placer.work))
        self.duties.append(duties.Duty(self.submitter, "staffing", staffer.work, STAFFING_TERM))
        keeper = retention.Retention(self.board)
        self.duties.append(duties.Duty(self.submitter, "retention", keeper.work))
        wanted = boot.duties.split(",")
        self.duties = [duty for duty in self.duties if duty.name in wanted]

    async def open(self) -> None:
        # The disk is read before any port opens: no colleague may hear a voter that does not know its word.
        await self.core.open()
        await self.board.open()
        for table in items.TABLES:
            self.board.start(self.takers[table].run(), f"taker of {table}")
            self.board.start(pulse.Pulse(self.core, self.takers[table]).run(), f"pulse of {table}")
        self.board.start(self.founding.run(), "founding")
        for duty in self.duties:
            self.board.start(duty.run(), f"duty {duty.name}")

    async def close(self) -> None:
        await self.board.close()
