"""The program irisstand-dataplane, which runs a data plane node in one of its roles."""

import signal

# SIGHUP is ignored until the node handles it: by default it would end the process during the slow imports
# below.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import collections.abc  # noqa: E402 - after the signal handler
import importlib  # noqa: E402 - after the signal handler
import random  # noqa: E402 - after the signal handler

from irisstand import clocks, event_log, node_settings, process_runner  # noqa: E402 - after the signal handler
from irisstand.dataplane import assembly  # noqa: E402 - after the signal handler
from irisstand.transport import network  # noqa: E402 - after the signal handler


async def assemble(settings: node_settings.Settings, log: event_log.EventLog) -> process_runner.OpenedNode:
    """Open a data plane node and its listeners.

    Args:
        settings: The node's settings.
        log: The log of events that the node's pages show.

    Returns:
        The node's context, and a function that closes its listeners.
    """
    real_network = network.RealNetwork()
    data_node = assembly.DataNode(settings, clocks.MonotonicClock(), random.SystemRandom(), real_network)
    real_network.budget = data_node.context.budget
    await data_node.open()
    context = data_node.context
    # A node without an HTTP port has no pages for operators, and does not load the HTTP library.
    if not settings.http_port:
        return context, stop_nothing
    server = importlib.import_module("irisstand.web").HttpServer(context, log)
    if settings.role == "direct":
        # Readiness has an address of its own and from the start reports why the node is not ready yet.
        await server.open()
        listener = importlib.import_module("irisstand.dataplane.http.listener")
        client_listener = listener.ClientListener(context, data_node.role_node, settings.front)
        context.start_task(client_listener.open_when_current(), "front")
        return context, lambda: stop_all([client_listener.stop_listening, server.stop_listening])
    if settings.role == "edge":
        sanic_adapter = importlib.import_module("irisstand.dataplane.http.sanic_adapter")
        sanic_adapter.SanicAdapter(server, data_node.role_node)
        context.start_task(server.open_when_current(), "listener")
    else:
        await server.open()
    return context, server.stop_listening


async def stop_nothing() -> None:
    """Do nothing: closes the listeners of a node that has none."""


async def stop_all(stops: list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]) -> None:
    """Stop several listeners, one after the other."""
    for stop in stops:
        await stop()


main = process_runner.command("dataplane", "Run the data plane in one of its roles.", assemble)

if __name__ == "__main__":
    main()
