"""Routes that split requests over several services: each service gets its weighted fraction."""

import collections

import direct_edge
import pytest
from direct_edge import UPSTREAM, run_scenario

from irisstand.state import items

REQUESTS = 600
# Four standard deviations of the fraction of `REQUESTS` independent draws that an even split sends to a
# service.
SHARE_TOLERANCE = 0.085
WEIGHTS = [(50, 50), (90, 10), (97, 3), (70, 0)]


@pytest.mark.parametrize("weights", WEIGHTS)
@pytest.mark.parametrize("name", ["reads", "writes", "objects"])
def test_services_of_a_split_get_their_parts_of_the_requests(name, weights):
    first, second = weights

    async def scenario(harness):
        harness.put(items.CONFIGURATION, "upstream/t", {"version": 1, "item": {**UPSTREAM, "name": "t"}})
        harness.origin("t", service="t")
        split = [{"service": "s", "weight": first}, {"service": "t", "weight": second}]
        harness.route(name, kind=direct_edge.KINDS[name], service=None, split=split)
        method = "POST" if name == "writes" else "GET"
        for number in range(REQUESTS):
            await harness.ask(f"/{name}/{number}", method, request_id=f"r{number}")
        served = collections.Counter("t" if key == "t" else "s" for key in harness.instances_asked())
        return served["t"] / REQUESTS

    share, expected = run_scenario(scenario), second / (first + second)
    assert abs(share - expected) < SHARE_TOLERANCE
    assert bool(share) == bool(expected)
