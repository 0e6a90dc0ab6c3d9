"""Clients that break off the bodies of their requests, over and over, on every way in."""

import asyncio
import contextlib

import crowds
import pytest
import test_crowds

ROUNDS = 12
CLIENTS = 30


async def drop_bodies(address, method, path, body_bytes, number):
    """Send bodies a byte short of their end, each on a connection of its own that is ended then."""
    for attempt in range(ROUNDS):
        async with crowds.Crowd(address) as crowd:
            message = crowds.sized_body(method, path, body_bytes, body_bytes - 1, f"{number}-{attempt}")
            await crowd.send_one(message)


@pytest.mark.parametrize(
    ("name", "memory_mb", "path", "body_bytes"),
    [
        ("edge-1", test_crowds.EDGE_MB, "/writes/1", 900_000),
        ("edge-1", test_crowds.EDGE_MB, "/writes/1", test_crowds.BODY_BYTES),
        ("edge-1", test_crowds.EDGE_MB, "/_irisstand/ring", test_crowds.OPERATOR_BODY_BYTES),
        ("shield-1", test_crowds.CONTROL_MB, "/amendments", test_crowds.OPERATOR_BODY_BYTES),
    ],
)
def test_bodies_that_are_dropped_over_and_over_do_not_exhaust_a_process(
    name, memory_mb, path, body_bytes, tmp_path
):
    async def scenario():
        async with test_crowds.CrowdedNetwork(tmp_path) as network:
            await network.wait_until_serving()
            address = network.front() if path.startswith("/writes") else network.address_of_pages(name)
            with contextlib.suppress(OSError):
                await asyncio.gather(
                    *(drop_bodies(address, "POST", path, body_bytes, number) for number in range(CLIENTS))
                )
            network.check_machine(name, memory_mb)
            await network.check_ordinary_request()
            await network.wait_until(lambda: network.shows_pages(name), test_crowds.PATIENCE_SECONDS)
            network.check_machine(name, memory_mb)

    asyncio.run(scenario())
