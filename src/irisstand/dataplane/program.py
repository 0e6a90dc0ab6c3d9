"""irisstand-data plane node: the data plane, as an edge, a shield or a store."""

import collections.abc
import importlib
import random

from irisstand import clocks, event_log, node_settings, process_runner
from irisstand.dataplane import assembly
from irisstand.transport import network


async def assemble(settings: node_settings.Settings, log_ring: event_log.EventLog) -> process_runner.Opened:
    data_node = assembly.DataNode(
        settings, clocks.MonotonicClock(), random.SystemRandom(), network.RealNetwork()
    )
    await data_node.open()
    # Without a port for people's pages there are none, nor the library for them.
    if not settings.http_port:
        return data_node.context, nothing_listens
    server = importlib.import_module("irisstand.web").HttpServer(data_node.context, log_ring)
    if settings.role == "direct":
        # Readiness has an address of its own, and tells from the start why there is none yet.
        await server.open()
        front_listener = importlib.import_module("irisstand.dataplane.http.listener")
        face = front_listener.ClientListener(data_node.context, data_node.role_node, settings.front)
        data_node.context.start_task(face.open_when_current(), "front")
        return data_node.context, lambda: stop_all([face.stop_listening, server.stop_listening])
    if settings.role == "edge":
        front = importlib.import_module("irisstand.dataplane.http.sanic_adapter")
        front.SanicAdapter(server, data_node.role_node)
        data_node.context.start_task(server.open_when_current(), "listener")
    else:
        await server.open()
    return data_node.context, server.stop_listening


async def nothing_listens() -> None:
    """The end of a node that opened no page."""


async def stop_all(stops: list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]) -> None:
    for stop in stops:
        await stop()


main = process_runner.command("dataplane", "Run the data plane in one of its roles.", assemble)

if __name__ == "__main__":
    main()
