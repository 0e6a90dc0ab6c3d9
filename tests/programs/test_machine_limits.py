"""The deployed programs within the limits of their machines: memory as address space, descriptors."""

import asyncio

import deployed_programs
import deployed_settings
import pytest

REQUESTS = 60


async def use(network):
    """Send requests of all kinds, a change and a purge, as operators and clients of a calm network do."""
    await network.wait_until_serving()
    for number in range(REQUESTS):
        await network.send_request(f"/objects/{number}")
        await network.send_request(f"/reads/{number}")
        await network.send_request(f"/writes/{number}", "POST", b"x" * 50_000, request_id=f"w{number}")
    assert await network.accepts(network.initial_configuration(), node=2)
    assert (await network.call("POST", "/purges", {"tag": "t-content"}, node=3))[0] == 200
    assert (await network.send_request("/reads/last"))[0] == 200


# The memory of edges and of control plane machines: the two small deployments, and the smallest grown one.
@pytest.mark.parametrize(("edge_mb", "control_mb"), [(260, 296), (300, 296), (88, 296)])
def test_programs_do_not_end_when_memory_is_limited_as_address_space(edge_mb, control_mb, tmp_path):
    limits = {
        "edge": deployed_settings.MachineLimits(edge_mb),
        "shield": deployed_settings.MachineLimits(control_mb),
        "holder": deployed_settings.MachineLimits(control_mb),
    }

    async def scenario():
        async with deployed_programs.DeployedNetwork(tmp_path, limits) as network:
            await use(network)
            assert network.exit_codes() == {}
            for name in list(network.processes):
                assert await network.terminate(name) == 0, network.log_of(name)

    asyncio.run(scenario())
