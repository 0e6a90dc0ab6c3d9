"""Tests of replies to forwarded orders: results and refusals survive encoding between nodes."""

import pytest

from irisstand import control_errors, errors
from irisstand.controlplane.consensus import order_messages
from irisstand.transport import codec


@pytest.mark.parametrize(
    ("error", "status", "content"),
    [
        (errors.InvalidChangeError([{"row": 0}]), "bad-change", [{"row": 0}]),
        (errors.StaleVersionError([{"name": "north"}]), "stale-serial", [{"name": "north"}]),
        (errors.KeyClaimedError({"by": "a"}), "claimed", {"by": "a"}),
        (errors.ChangeOutcomeUnknownError("not settled"), "unknown", "not settled"),
        (control_errors.VersionTakenError([{"item": "x"}]), "version-taken", [{"item": "x"}]),
    ],
)
def test_refusal_of_a_forwarded_order_is_raised_again_with_its_details(error, status, content):
    reply = order_messages.OrderReply.from_error(error)
    assert reply.to_wire() == (status, content)
    received = order_messages.OrderReply.from_wire(
        codec.decode(codec.encode(codec.Response(1, reply.to_wire()))).body
    )
    with pytest.raises(type(error)) as raised:
        received.result()
    assert raised.value.to_json() == error.to_json()


def test_errors_that_say_that_no_voter_was_sent_the_order_travel_as_faults():
    for error in (errors.NoQuorumError(), errors.NotBootstrappedError(), errors.DiskFullError()):
        assert order_messages.OrderReply.from_error(error) is None


def test_result_of_a_forwarded_order_is_returned():
    result = {"serial": "3@a", "rows": ["site/north"]}
    assert order_messages.OrderReply.from_wire(["done", result]).result() == result


def test_status_of_later_software_is_no_confirmation():
    with pytest.raises(errors.ChangeOutcomeUnknownError):
        order_messages.OrderReply.from_wire(["agreed", {}]).result()
