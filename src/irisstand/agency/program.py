"""irisstand-agency: the control plane, one on each shield machine."""

import asyncio
import importlib
import pathlib
import random
import typing

from irisstand import boot as booting
from irisstand import clocks, errors, ring, running
from irisstand.agency import assembly, watch
from irisstand.ledger import disk as disks
from irisstand.postroom import network

# Seconds that the operators' listener waits for the tables at the most, and after them.
LATEST, PAUSE = 0.8, 0.4


async def assemble(boot: booting.Boot, log_ring: ring.Ring) -> running.Opened:
    ask = watch.http_ask(boot.platform) if boot.platform is not None else None
    return await assemble_with(ask, boot, log_ring)


async def assemble_with(
    ask: watch.Ask | None, boot: booting.Boot, log_ring: ring.Ring
) -> running.Opened:
    """With another way of asking the platform for its origins."""
    agency = assembly.Agency(
        boot, clocks.MonotonicClock(), random.SystemRandom(), network.RealNetwork(),
        disks.FolderDisk(pathlib.Path(boot.data)), ask,
    )  # fmt: skip
    await agency.open()
    door = Door(agency, log_ring)
    agency.board.start(door.open(), "operators' listener")
    return agency.board, door.stop_listening


class Door:
    """The operators' listener. It opens a moment after the core is back: its library takes long to import,
    and the whole fleet waits for the tables first."""

    def __init__(self, agency: assembly.Agency, log_ring: ring.Ring) -> None:
        self.agency, self.ring = agency, log_ring
        self.server: typing.Any = None

    async def open(self) -> None:
        board = self.agency.board
        started = board.clock.now()
        copies = board.copies.values()
        while board.clock.now() - started < LATEST and not all(map(board.is_fresh, copies)):
            await asyncio.sleep(0.02)
        # Those who wait are served first.
        await asyncio.sleep(PAUSE)
        web = importlib.import_module("irisstand.web")
        operators = importlib.import_module("irisstand.agency.operators")
        self.server = web.Web(board, self.ring)
        operators.Operators(board, self.agency.submitter, self.server)
        try:
            await self.server.open()
        except OSError as error:
            raise errors.PortTaken(str(error)) from None

    async def stop_listening(self) -> None:
        if self.server is not None:
            await self.server.stop_listening()


main = running.command("agency", "Run the control plane on this shield machine.", assemble)

if __name__ == "__main__":
    main()
