"""The program irisstand-controlplane, which runs a control plane node on each shield machine."""

import signal

# SIGHUP is ignored until the node handles it: by default it ends the process, and the imports take long.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402 - after signal()
import importlib  # noqa: E402 - after signal()
import pathlib  # noqa: E402 - after signal()
import random  # noqa: E402 - after signal()
import typing  # noqa: E402 - after signal()

from irisstand import clocks, errors, event_log, node_settings, process_runner  # noqa: E402 - after signal()
from irisstand.controlplane import assembly  # noqa: E402 - after signal()
from irisstand.controlplane.singletons import origin_source  # noqa: E402 - after signal()
from irisstand.state.storage import disk  # noqa: E402 - after signal()
from irisstand.transport import network  # noqa: E402 - after signal()

if typing.TYPE_CHECKING:
    # At run time this module is imported only once the tables are current: see OperatorListener.
    from irisstand import web

# How long the operators' listener waits at most for current tables, how often it checks them, and how long it
# then leaves the CPU to the nodes that wait for the tables.
TABLES_TIMEOUT_SECONDS = 0.8
TABLES_POLL_SECONDS = 0.02
LISTENER_DELAY_SECONDS = 0.4


async def assemble(settings: node_settings.Settings, events: event_log.EventLog) -> process_runner.OpenedNode:
    """Open a control plane node that fetches origins from the platform in its settings, if there is one."""
    fetch_origins = (
        origin_source.http_origin_source(settings.platform) if settings.platform is not None else None
    )
    return await assemble_with(fetch_origins, settings, events)


async def assemble_with(
    fetch_origins: origin_source.FetchOrigins | None,
    settings: node_settings.Settings,
    events: event_log.EventLog,
) -> process_runner.OpenedNode:
    """Open a control plane node that fetches the platform's origins with the given function.

    Args:
        fetch_origins: Fetches the platform's list of origins; None if there is no platform.
        settings: The settings of this node.
        events: The event log of this process.

    Returns:
        The node's context, and the function that closes the operators' listener.
    """
    real_network = network.RealNetwork()
    control_node = assembly.ControlNode(
        settings,
        clocks.MonotonicClock(),
        random.SystemRandom(),
        real_network,
        disk.FolderDisk(pathlib.Path(settings.data)),
        fetch_origins,
    )
    real_network.budget = control_node.context.budget
    await control_node.open()
    listener = OperatorListener(control_node, events)
    control_node.context.start_task(listener.open(), "operators' listener")
    return control_node.context, listener.stop_listening


class OperatorListener:
    """The operators' HTTP listener.

    It opens shortly after the tables are current: importing its libraries takes long, and all nodes of the
    fleet need the tables first.
    """

    def __init__(self, control_node: assembly.ControlNode, events: event_log.EventLog) -> None:
        self.control_node = control_node
        self.events = events
        self.server: web.HttpServer | None = None

    async def open(self) -> None:
        """Wait for current tables, then import the HTTP libraries and listen.

        Raises:
            irisstand.errors.PortTakenError: The HTTP port is in use.
        """
        await self._wait_for_tables()
        await asyncio.sleep(LISTENER_DELAY_SECONDS)
        web_module = importlib.import_module("irisstand.web")
        operators = importlib.import_module("irisstand.controlplane.api.operators")
        node = self.control_node
        server: web.HttpServer = web_module.HttpServer(node.context, self.events)
        self.server = server
        operators.Operators(node.context, node.submitter, node.read_index, server)
        try:
            await server.open()
        except OSError as error:
            raise errors.PortTakenError(str(error)) from None

    async def _wait_for_tables(self) -> None:
        context = self.control_node.context
        end = context.clock.now() + TABLES_TIMEOUT_SECONDS
        replicas = context.replicas.values()
        # Whether a replica is fresh depends on the clock, so there is no event to wait for.
        while context.clock.now() < end and not all(  # noqa: ASYNC110 - see above
            map(context.is_fresh, replicas)
        ):
            await asyncio.sleep(TABLES_POLL_SECONDS)

    async def stop_listening(self) -> None:
        """Stop accepting connections from operators."""
        if self.server is not None:
            await self.server.stop_listening()


main = process_runner.command("controlplane", "Run the control plane on this shield machine.", assemble)

if __name__ == "__main__":
    main()
