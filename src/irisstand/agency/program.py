"""irisstand-agency: the control plane, one on each shield machine."""

import pathlib
import random

from irisstand import boot as booting
from irisstand import clocks, ring, running, web
from irisstand.agency import assembly, operators, watch
from irisstand.ledger import disk as disks
from irisstand.postroom import network


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
    server = web.Web(agency.board, log_ring)
    operators.Operators(agency.board, agency.submitter, server)
    await agency.open()
    await server.open()
    return agency.board, server.stop_listening


main = running.command("agency", "Run the control plane on this shield machine.", assemble)

if __name__ == "__main__":
    main()
