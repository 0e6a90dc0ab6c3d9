"""Peers that send requests and read no responses."""

import asyncio

import pytest

from irisstand import counters, resource_budget
from irisstand.transport import codec, network, peers

MB = 1_000_000
RESPONSE_BYTES = MB
REQUESTS = 40


class RecordingNetwork(network.RealNetwork):
    """A network that remembers the connections that it has accepted."""

    def __init__(self):
        super().__init__()
        self.accepted = []

    async def listen(self, address, on_stream):
        async def accept(stream):
            self.accepted.append(stream)
            await on_stream(stream)

        return await super().listen(address, accept)


class LargeResponses:
    """A handler with large responses, which keeps the bodies of the requests that it has answered."""

    def __init__(self):
        self.bodies = []

    async def __call__(self, sender, body):
        self.bodies.append(body)
        return b"x" * RESPONSE_BYTES


def run_with_peer(scenario, budget_bytes):
    """Run `scenario(server, stream, net)` with a peer that has said hello over `stream`."""

    async def run():
        server_network = RecordingNetwork()
        process_counters = counters.Counters()
        server = peers.Transport(server_network, process_counters, "server")
        server.budget = resource_budget.ResourceBudget(
            budget_bytes, 10, asyncio.get_running_loop().time, process_counters
        )

        server.handlers["large"] = LargeResponses()
        await server.open(("127.0.0.1", 0))
        address = server.listener.sockets[0].getsockname()
        stream = await network.RealNetwork().connect(address)
        try:
            stream.write(codec.encode(codec.Hello("peer")))
            await stream.read()
            for number in range(1, REQUESTS + 1):
                stream.write(codec.encode(codec.Request(number, "large", ())))
            async with asyncio.timeout(10):
                return await scenario(server, stream, server_network)
        finally:
            stream.abort()
            await server.close()

    return asyncio.run(run())


async def read_all(stream):
    while True:
        await stream.read()


def test_responses_that_a_peer_does_not_read_are_not_written():
    async def scenario(server, stream, net):
        handled = server.handlers["large"].bodies
        while len(handled) < REQUESTS:  # noqa: ASYNC110 - no event tells
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        (accepted,) = net.accepted
        return accepted.writer.transport.get_write_buffer_size(), server.budget.held

    unsent_bytes, held_bytes = run_with_peer(scenario, 100 * MB)
    assert unsent_bytes <= 2 * RESPONSE_BYTES
    assert held_bytes >= (REQUESTS - 20) * RESPONSE_BYTES


def test_responses_beyond_the_budget_are_refused():
    async def scenario(server, stream, net):
        found = [codec.decode(await stream.read()) for _ in range(REQUESTS)]
        await asyncio.sleep(0.1)
        return [type(message) for message in found], server.budget.held

    kinds, held_bytes = run_with_peer(scenario, 10 * MB)
    assert codec.Response in kinds
    assert codec.ErrorResponse in kinds
    assert held_bytes == 0


def test_connection_whose_peer_does_not_read_gives_way_to_others():
    async def scenario(server, stream, net):
        await asyncio.sleep(resource_budget.EVICTION_AGE_SECONDS + 0.2)
        others = server.budget.open()
        others.set(90 * MB)
        with pytest.raises(OSError, match="closed"):
            await read_all(stream)
        return server.budget.held

    assert run_with_peer(scenario, 100 * MB) == 90 * MB
