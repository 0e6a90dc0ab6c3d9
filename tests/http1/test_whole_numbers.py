"""Whole numbers in header values: only ASCII digits are accepted, and at most 18 of them."""

import direct_edge
import pytest

from irisstand.http1 import grammar


@pytest.mark.parametrize("text", ["", " 1", "1 ", "+1", "-1", "1_0", "0x1", "1.0", "²", "٣", "1" * 19])
def test_what_is_no_plain_number_is_none(text):
    assert grammar.whole_number(text) is None


@pytest.mark.parametrize(("text", "number"), [("0", 0), ("007", 7), ("9" * 18, 10**18 - 1)])
def test_plain_numbers(text, number):
    assert grammar.whole_number(text) == number


@pytest.mark.parametrize("given", ["²", "1²", "9" * 5000, "-1"])
def test_a_remaining_time_that_is_no_number_leaves_the_request_its_route_s_timeout(given):
    """Guards against a request that crashes: `int` rejects some texts that `str.isdigit` accepts."""

    async def scenario(harness):
        answer = await harness.ask("/writes/1", "POST", x_remaining_ms=given)
        return answer.status, harness.sent[0][3]["x-remaining-ms"]

    status, remaining_ms = direct_edge.run_scenario(scenario)
    assert status == 200
    assert 1900 < int(remaining_ms) <= 2000
