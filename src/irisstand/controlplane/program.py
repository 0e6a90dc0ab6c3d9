"""irisstand-control plane node: the control plane, one on each shield machine."""

import asyncio
import importlib
import pathlib
import random
import typing

from irisstand import clocks, errors, event_log, node_settings, process_runner
from irisstand.controlplane import assembly
from irisstand.controlplane.singletons import origin_source
from irisstand.state.storage import disk as disks
from irisstand.transport import network

# Seconds that the operators' listener waits for the tables at the most, and after them.
LATEST, PAUSE = 0.8, 0.4


async def assemble(settings: node_settings.Settings, log_ring: event_log.EventLog) -> process_runner.Opened:
    ask = origin_source.http_origin_source(settings.platform) if settings.platform is not None else None
    return await assemble_with(ask, settings, log_ring)


async def assemble_with(
    ask: origin_source.FetchOrigins | None, settings: node_settings.Settings, log_ring: event_log.EventLog
) -> process_runner.Opened:
    """With another way of asking the platform for its origins."""
    control_node = assembly.ControlNode(
        settings,
        clocks.MonotonicClock(),
        random.SystemRandom(),
        network.RealNetwork(),
        disks.FolderDisk(pathlib.Path(settings.data)),
        ask,
    )
    await control_node.open()
    door = Door(control_node, log_ring)
    control_node.context.start_task(door.open(), "operators' listener")
    return control_node.context, door.stop_listening


class Door:
    """The operators' listener. It opens a moment after the core is back: its library takes long to import,
    and the whole fleet waits for the tables first."""

    def __init__(self, control_node: assembly.ControlNode, log_ring: event_log.EventLog) -> None:
        self.control_node, self.ring = control_node, log_ring
        self.server: typing.Any = None

    async def open(self) -> None:
        context = self.control_node.context
        started = context.clock.now()
        copies = context.replicas.values()
        while context.clock.now() - started < LATEST and not all(map(context.is_fresh, copies)):
            await asyncio.sleep(0.02)
        # Those who wait are served first.
        await asyncio.sleep(PAUSE)
        web = importlib.import_module("irisstand.web")
        operators = importlib.import_module("irisstand.controlplane.api.operators")
        self.server = web.HttpServer(context, self.ring)
        node = self.control_node
        operators.Operators(context, node.submitter, node.read_index, self.server)
        try:
            await self.server.open()
        except OSError as error:
            raise errors.PortTakenError(str(error)) from None

    async def stop_listening(self) -> None:
        if self.server is not None:
            await self.server.stop_listening()


main = process_runner.command("controlplane", "Run the control plane on this shield machine.", assemble)

if __name__ == "__main__":
    main()
