"""An edge on loopback sockets, with its client listener and an origin that parses requests leniently."""

import asyncio
import itertools
import socket
import unittest.mock

import direct_edge
import lenient_origin

from irisstand.dataplane.http import listener
from irisstand.dataplane.upstream import connector, origin_endpoint

# Sanic keeps applications registered by name until the process ends, so each listener needs a new name.
NUMBERS = itertools.count(1)
ANSWER_SECONDS = 5.0
CONNECT_SECONDS = 60.0


class OriginHarness(direct_edge.DirectNodeHarness):
    """A harness in which all connections to origins go to one address."""

    def __init__(self, origin_address, settings):
        self.origin_address = origin_address
        super().__init__(settings=settings)

    async def connect(self, host, port):
        return await connector.connector("x-request-id")(*self.origin_address)


class Edge:
    """A client listener with its node and a lenient origin."""

    async def make_harness(self, settings):
        self.origin = lenient_origin.LenientOrigin()
        return OriginHarness(await self.origin.start(), settings)

    async def start(self):
        settings = direct_edge.SETTINGS._replace(name=f"strict-{next(NUMBERS)}")
        harness = await self.make_harness(settings)
        harness.put("ledger", "rate-parts", {"units": {settings.name: 1000}})
        # The timeouts are so long that even on a busy machine no request is rejected or retried for lack of
        # time.
        for name, kind in direct_edge.KINDS.items():
            harness.route(name, kind=kind, timeout=60.0, target=30.0)
        self.context = harness.context
        self.context.crashed = asyncio.get_running_loop().create_future()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        self.listener = listener.ClientListener(self.context, harness.direct_node, self.address)
        await self.listener.open_when_current()
        return self

    async def send(self, data, *, seconds=ANSWER_SECONDS):
        """Send bytes on a new connection; return what comes back until it closes or `seconds` pass."""
        reader, writer = await asyncio.open_connection(*self.address)
        answer = b""
        try:
            writer.write(data)
            async with asyncio.timeout(seconds):
                while piece := await reader.read(65536):
                    answer += piece
        except (TimeoutError, OSError):
            pass
        finally:
            writer.transport.abort()
        return answer

    async def stop(self):
        await self.listener.stop_listening()
        await self.context.close()
        self.origin.server.close()


def run_scenario(scenario):
    """Run `scenario(edge)` with a new edge on real sockets, and return its result.

    Connections may take as long as requests: an origin that a stalled process finds down refuses requests.
    """

    async def start_and_run():
        edge = await Edge().start()
        try:
            async with asyncio.timeout(120):
                return await scenario(edge)
        finally:
            await edge.stop()

    with unittest.mock.patch.object(origin_endpoint, "CONNECT_TIMEOUT_SECONDS", CONNECT_SECONDS):
        return asyncio.run(start_and_run())
