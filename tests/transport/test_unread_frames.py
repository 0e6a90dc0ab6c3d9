"""Peers that send large frames and never finish them: all that a node holds of them counts."""

import asyncio
import contextlib

from irisstand import counters, resource_budget
from irisstand.transport import network

MB = 1_000_000
BUDGET_BYTES = 6 * MB
FRAME_BYTES = 2 * MB
PEERS = 8
SETTLING_SECONDS = 0.5


async def send_unfinished_frame(address):
    """Send a frame without its last byte, as far as the node reads it."""
    _, writer = await asyncio.open_connection(*address)
    writer.write(FRAME_BYTES.to_bytes(4, "big") + b"x" * (FRAME_BYTES - 1))
    return writer


def unread_bytes(stream):
    # asyncio has no other way to tell.
    return len(stream.reader._buffer)  # noqa: SLF001


def test_unread_bytes_of_frames_that_wait_for_room_count_in_the_budget():
    async def scenario():
        net = network.RealNetwork()
        # Its clock stands still, so that no connection is slow and evicted.
        net.budget = resource_budget.ResourceBudget(BUDGET_BYTES, 10, lambda: 0.0, counters.Counters())
        streams = []

        async def on_stream(stream):
            streams.append(stream)
            with contextlib.suppress(OSError):
                await stream.read()

        listener = await net.listen(("127.0.0.1", 0), on_stream)
        address = listener.sockets[0].getsockname()
        writers = await asyncio.gather(*(send_unfinished_frame(address) for _ in range(PEERS)))
        await asyncio.sleep(SETTLING_SECONDS)
        frames = [holding for holding in net.budget.holdings if holding.size >= FRAME_BYTES]
        unread = sum(map(unread_bytes, streams))
        held = net.budget.held
        for writer in writers:
            writer.transport.abort()
        listener.close()
        return len(streams), len(frames), unread, held

    count, frames, unread, held = asyncio.run(scenario())
    assert count == PEERS
    assert 1 <= frames < PEERS
    assert frames * FRAME_BYTES + unread <= held


def test_room_that_comes_free_as_a_waiting_connection_ends_goes_to_the_next():
    async def scenario():
        net = network.RealNetwork()
        net.budget = resource_budget.ResourceBudget(BUDGET_BYTES, 10, lambda: 0.0, counters.Counters())
        reads = []

        async def on_stream(stream):
            reads.append(asyncio.create_task(stream.read()))
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await reads[-1]

        listener = await net.listen(("127.0.0.1", 0), on_stream)
        address = listener.sockets[0].getsockname()
        first = net.budget.open()
        first.set(BUDGET_BYTES)
        writers = []
        for _ in range(2):
            writers.append(await send_unfinished_frame(address))
            await asyncio.sleep(SETTLING_SECONDS / 2)
        reads[0].cancel()
        # The connection that ends has not given up its place yet.
        first.close()
        await asyncio.sleep(SETTLING_SECONDS / 2)
        largest = max(holding.size for holding in net.budget.holdings)
        for writer in writers:
            writer.transport.abort()
        listener.close()
        return largest

    assert asyncio.run(scenario()) >= FRAME_BYTES
