"""irisstand-noticeboard: the data plane, as an edge, a shield or a store."""

import collections.abc
import importlib
import random

from irisstand import boot as booting
from irisstand import clocks, ring, running
from irisstand.noticeboard import assembly
from irisstand.postroom import network


async def assemble(boot: booting.Boot, log_ring: ring.Ring) -> running.Opened:
    noticeboard = assembly.Noticeboard(
        boot, clocks.MonotonicClock(), random.SystemRandom(), network.RealNetwork()
    )
    await noticeboard.open()
    # Without a port for people's pages there are none, nor the library for them.
    if not boot.http_port:
        return noticeboard.board, nothing_listens
    server = importlib.import_module("irisstand.web").Web(noticeboard.board, log_ring)
    if boot.role == "direct":
        # Readiness has an address of its own, and tells from the start why there is none yet.
        await server.open()
        frontage = importlib.import_module("irisstand.noticeboard.frontage")
        face = frontage.Frontage(noticeboard.board, noticeboard.part, boot.front)
        noticeboard.board.start(face.open_when_current(), "front")
        return noticeboard.board, lambda: stop_all([face.stop_listening, server.stop_listening])
    if boot.role == "edge":
        front = importlib.import_module("irisstand.noticeboard.front")
        front.Front(server, noticeboard.part)
        noticeboard.board.start(server.open_when_current(), "listener")
    else:
        await server.open()
    return noticeboard.board, server.stop_listening


async def nothing_listens() -> None:
    """The end of a node that opened no page."""


async def stop_all(stops: list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]) -> None:
    for stop in stops:
        await stop()


main = running.command("noticeboard", "Run the data plane in one of its roles.", assemble)

if __name__ == "__main__":
    main()
