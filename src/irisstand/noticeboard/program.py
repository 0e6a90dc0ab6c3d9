"""irisstand-noticeboard: the data plane, as an edge, a shield or a store."""

import random

from irisstand import boot as booting
from irisstand import clocks, ring, running, web
from irisstand.noticeboard import assembly, front, lines
from irisstand.postroom import network


async def assemble(boot: booting.Boot, log_ring: ring.Ring) -> running.Opened:
    noticeboard = assembly.Noticeboard(
        boot, clocks.MonotonicClock(), random.SystemRandom(), network.RealNetwork(), lines.open_http
    )
    server = web.Web(noticeboard.board, log_ring)
    await noticeboard.open()
    if boot.role == "edge":
        front.Front(server, noticeboard.part)
        noticeboard.board.start(server.open_when_current(), "listener")
    else:
        await server.open()
    return noticeboard.board, server.stop_listening


main = running.command("noticeboard", "Run the data plane in one of its roles.", assemble)

if __name__ == "__main__":
    main()
