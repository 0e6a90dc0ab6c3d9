"""Tests of the consensus messages: recorded bodies decode to their types and encode to the same bytes."""

import json
import pathlib

import pytest

from irisstand.controlplane.consensus import messages, node_messages, order_messages, request
from irisstand.state import items, quorum, versions
from irisstand.transport import codec

FRAMES = json.loads((pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json").read_text())
REQUESTS = {
    "promise": messages.PrepareRequest,
    "accept": messages.AcceptRequest,
    "commit": messages.CommitRequest,
    "stand": messages.VoterStateRequest,
    "found": node_messages.BootstrapRequest,
    "hold": node_messages.DurabilityCheck,
    "order": order_messages.OrderRequest,
}
EMPTY_REQUESTS = {
    "hears": node_messages.ReachabilityRequest(),
    "core-state": node_messages.NodeStateRequest(),
}
NO_BATCH = items.Batch(versions.NONE, versions.NONE, ())
# A request of each kind whose reply has a content and is decoded by the request.
REQUEST_OF_REPLY = {
    "promise": messages.PrepareRequest("ledger", versions.NONE, "disk"),
    "accept": messages.AcceptRequest("ledger", versions.NONE, NO_BATCH, "disk"),
    "stand": messages.VoterStateRequest("ledger"),
    "hears": node_messages.ReachabilityRequest(),
    "core-state": node_messages.NodeStateRequest(),
    "order": order_messages.OrderRequest(("change", "", [])),
}
VOTER = ["agency-1", "disk", "north", "10.0.0.1", 7000, "machine-1"]
VERSION = [3, "agency-1~disk"]
BATCH = [[4, "agency-1~disk"], VERSION, [["site/north", {"weight": 1}, False]]]


def recorded(direction, kinds):
    return [
        pytest.param(kind, codec.decode(bytes.fromhex(frame)).body, id=f"{direction}-{kind}-{number}")
        for kind in kinds
        for number, frame in enumerate(FRAMES[f"{direction} {kind}"])
    ]


def packed(body):
    return codec.pack(("result", 1, body))


def as_wire_form(reply):
    """Return a reply as plain tuples; a voter, which is also a part of other messages, has no `to_wire`."""
    return tuple(reply) if isinstance(reply, quorum.Voter) else reply.to_wire()


# -- recorded bodies ---------------------------------------------------------------------------------
@pytest.mark.parametrize(("kind", "body"), recorded("ask", REQUESTS))
def test_recorded_request_decodes_and_encodes_to_the_same_bytes(kind, body):
    message = REQUESTS[kind].from_wire(body)
    assert message.kind == kind
    assert packed(message.to_wire()) == packed(body)


@pytest.mark.parametrize(("kind", "body"), recorded("ask", EMPTY_REQUESTS))
def test_recorded_request_without_fields_encodes_to_the_same_bytes(kind, body):
    message = EMPTY_REQUESTS[kind]
    assert message.kind == kind
    assert packed(message.to_wire()) == packed(body)


@pytest.mark.parametrize(("kind", "body"), recorded("result", [*REQUEST_OF_REPLY, "hold"]))
def test_recorded_reply_decodes_and_encodes_to_the_same_bytes(kind, body):
    message = node_messages.DurabilityCheck() if kind == "hold" else REQUEST_OF_REPLY[kind]
    assert packed(as_wire_form(message.decode_reply(body))) == packed(body)


@pytest.mark.parametrize(("kind", "body"), recorded("result", ["found"]))
def test_recorded_bootstrap_reply_is_what_the_applied_versions_encode_to(kind, body):
    applied = tuple(versions.Version.from_wire(version) for (version,) in body)
    assert packed(node_messages.BootstrapReply(applied).to_wire()) == packed(body)


@pytest.mark.parametrize("body", [[], None, ["of", "later", "software"]])
def test_replies_whose_content_nobody_needs_are_not_decoded(body):
    assert messages.CommitRequest("ledger", NO_BATCH).decode_reply(body) is None
    assert node_messages.BootstrapRequest(()).decode_reply(body) is None


@pytest.mark.parametrize(
    "body",
    [
        ["promised", VERSION, [0, ""], None],
        ["promised", VERSION, [5, "b"], BATCH],
        ["lost", VERSION],
    ],
)
def test_every_reply_to_a_prepare_request_encodes_to_the_same_bytes(body):
    assert packed(REQUEST_OF_REPLY["promise"].decode_reply(body).to_wire()) == packed(body)


@pytest.mark.parametrize("body", [["accepted"], ["lost", VERSION], ["moved", VERSION]])
def test_every_reply_to_an_accept_request_encodes_to_the_same_bytes(body):
    assert packed(REQUEST_OF_REPLY["accept"].decode_reply(body).to_wire()) == packed(body)


def test_voter_state_with_a_pending_batch_encodes_to_the_same_bytes():
    body = ["disk", VERSION, [2, "b"], VERSION]
    state = messages.VoterState.from_wire(body)
    assert state.pending_base == versions.Version(2, "b")
    assert packed(state.to_wire()) == packed(body)


# -- kinds -------------------------------------------------------------------------------------------
def test_kinds_are_packed_as_the_plain_strings_of_earlier_versions():
    for kind in request.MessageKind:
        assert codec.pack(("ask", 1, (kind, ()))) == codec.pack(("ask", 1, (kind.value, ())))
    assert {kind.value for kind in request.MessageKind} == {*REQUESTS, *EMPTY_REQUESTS}


# -- malformed bodies --------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("message", "body"),
    [
        (messages.PrepareRequest, ["ledger", VERSION, "disk"]),
        (messages.AcceptRequest, ["ledger", VERSION, BATCH, "disk"]),
        (messages.CommitRequest, ["ledger", BATCH]),
        (messages.VoterStateRequest, ["ledger"]),
        (messages.VoterState, ["disk", VERSION, None, VERSION]),
        (node_messages.ReachabilityReport, ["disk", [["other", 0.5]]]),
        (node_messages.ReplyAge, ["other", 0.5]),
        (order_messages.OrderRequest, ["change", "id", []]),
        (order_messages.OrderReply, ["done", {}]),
        (quorum.Voter, VOTER),
    ],
)
def test_body_of_another_length_is_refused(message, body):
    assert message.from_wire(body)
    for malformed in (body[:-1], [*body, "more"]):
        with pytest.raises((ValueError, TypeError)):
            message.from_wire(malformed)
    for malformed in (None, 7):
        with pytest.raises(TypeError):
            message.from_wire(malformed)


@pytest.mark.parametrize(
    ("message", "body"),
    [
        (messages.PrepareRequest, ["ledger", ["3", "a"], "disk"]),
        (messages.PrepareRequest, ["ledger", [-1, "a"], "disk"]),
        (messages.PrepareRequest, ["ledger", [True, "a"], "disk"]),
        (messages.PrepareRequest, ["ledger", None, "disk"]),
        (messages.AcceptRequest, ["ledger", VERSION, [VERSION, VERSION, [["key", 1, 0]]], "disk"]),
        (messages.AcceptRequest, ["ledger", VERSION, [VERSION, VERSION, [[1, 1, False]]], "disk"]),
        (messages.CommitRequest, ["ledger", None]),
        (messages.CommitRequest, ["ledger", [VERSION, VERSION, [["key", 1]]]]),
        (messages.VoterState, ["disk", VERSION, "pending", VERSION]),
        (messages.VoterState, ["disk", None, None, VERSION]),
        (node_messages.BootstrapRequest, [["ledger"]]),
        (node_messages.BootstrapRequest, [["ledger", None]]),
        (node_messages.DurabilityCheck, [["ledger", 3]]),
        (node_messages.DurabilityCheck, [["ledger", VERSION, 1]]),
        (node_messages.ReachabilityReport, ["disk", None]),
        (node_messages.ReachabilityReport, ["disk", [["other"]]]),
        (node_messages.ReachabilityReport, ["disk", [["other", "long"]]]),
        (node_messages.NodeState, [VOTER]),
        (node_messages.NodeState, [VOTER[:-1], True, False]),
        (node_messages.NodeState, [VOTER, "no", False]),
        (node_messages.NodeState, [VOTER, True, "no"]),
    ],
)
def test_field_of_a_wrong_type_is_refused(message, body):
    with pytest.raises((ValueError, TypeError)):
        message.from_wire(body)


@pytest.mark.parametrize("kind", ["promise", "accept"])
@pytest.mark.parametrize(
    "body",
    [
        [],
        None,
        ["lost"],
        ["lost", VERSION, 1],
        ["lost", "3"],
        ["moved"],
        ["promised"],
        ["promised", VERSION, VERSION],
        ["promised", VERSION, VERSION, None, 1],
        ["promised", VERSION, VERSION, "batch"],
        ["accepted", VERSION],
        ["of later software"],
        [7],
    ],
)
def test_malformed_or_unknown_vote_is_refused_and_so_never_counted(kind, body):
    with pytest.raises((ValueError, TypeError)):
        REQUEST_OF_REPLY[kind].decode_reply(body)


def test_vote_of_the_other_phase_is_refused():
    with pytest.raises(ValueError, match="no reply to this request"):
        REQUEST_OF_REPLY["promise"].decode_reply(["accepted"])
    with pytest.raises(ValueError, match="no reply to this request"):
        REQUEST_OF_REPLY["accept"].decode_reply(["promised", VERSION, [0, ""], None])


def test_faults_of_malformed_requests_keep_the_texts_that_travel():
    """Peers, also of other releases, log the texts of these errors, which come from Python's unpacking."""
    with pytest.raises(ValueError, match=r"^too many values to unpack \(expected 2\)$"):
        messages.CommitRequest.from_wire(["ledger", BATCH, 1])
    with pytest.raises(ValueError, match=r"^not enough values to unpack \(expected 3, got 1\)$"):
        messages.PrepareRequest.from_wire(["ledger"])
    with pytest.raises(TypeError, match="^cannot unpack non-iterable NoneType object$"):
        node_messages.BootstrapRequest.from_wire([["ledger", BATCH], None])


# -- earlier and later releases ----------------------------------------------------------------------
def test_node_state_of_the_version_before_says_nothing_of_leaving():
    assert node_messages.NodeState.from_wire([VOTER, True]).is_leaving is False


def test_node_state_of_a_later_version_may_have_more_fields():
    state = node_messages.NodeState.from_wire([VOTER, False, True, "more"])
    assert (state.is_empty, state.is_leaving) == (False, True)
