"""Replication messages: recorded bodies are decoded and encoded unchanged, malformed ones are refused."""

import ormsgpack
import pytest
import recorded_frames

from irisstand.state import digests, items, quorum, versions
from irisstand.state.replication import messages, status_messages

MALFORMED_ERRORS = (ValueError, TypeError, KeyError)
VERSION = versions.Version(7, "core-1~ab")
ITEM = items.Item("site/north", VERSION, {"weight": 2})
DIGEST = bytes(16)
RANGE_DIGESTS = (bytes(8),) * digests.RANGE_COUNT
CURSOR = messages.Cursor(VERSION, "site/north")
EXAMPLES = [
    VERSION,
    ITEM,
    items.Row("site/north", None, True),
    items.Batch(VERSION, versions.NONE, (items.Row("site/north", {"weight": 2}, False),)),
    quorum.Voter("core-1", "0a1b2c3d4e5f", "north", "10.0.0.1", 7000, "m1"),
    messages.ChangesRequest(items.LEDGER, VERSION, DIGEST),
    messages.ChangesReply(VERSION, 0.25, DIGEST, messages.ReplyKind.SAME),
    messages.ChangesReply(VERSION, None, DIGEST, messages.ReplyKind.BEHIND),
    messages.ChangesReply(VERSION, 0.25, DIGEST, messages.ReplyKind.CHANGES, (ITEM,), ("site/south",)),
    messages.ChangesReply(VERSION, 0.25, DIGEST, messages.ReplyKind.REPAIR),
    messages.ChunkRequest(items.CONFIGURATION, versions.NONE, CURSOR),
    messages.ChunkReply(VERSION, 0.25, DIGEST, b"packed", CURSOR, ()),
    messages.ChunkReply(VERSION, None, DIGEST, b"packed", None, ("site/south",)),
    messages.RangesRequest(items.IDEMPOTENCY_KEYS, RANGE_DIGESTS),
    messages.RangesReply(VERSION, 0.25, DIGEST, (messages.RangeContent(3, (ITEM,)),)),
    status_messages.TableStatus(items.LEDGER, VERSION, True),
    status_messages.VoterState("0a1b2c3d4e5f", VERSION, None, VERSION),
    status_messages.VoterState("0a1b2c3d4e5f", VERSION, versions.NONE, VERSION),
]
# Values that a message must not hold: the message, the number of the field, and the malformed value.
WRONG_FIELDS = [
    (VERSION, 0, -1),
    (VERSION, 0, 2**60),
    (VERSION, 0, True),
    (VERSION, 0, "7"),
    (VERSION, 1, None),
    (VERSION, 1, "x" * 161),
    (ITEM, 0, 5),
    (ITEM, 0, "x" * 4097),
    (ITEM, 1, None),
    (EXAMPLES[2], 0, b"site/north"),
    (EXAMPLES[2], 2, 1),
    (EXAMPLES[3], 0, [7]),
    (EXAMPLES[3], 1, None),
    (EXAMPLES[3], 2, [["site/north", None]]),
    (EXAMPLES[3], 2, 5),
    (EXAMPLES[5], 0, "no-table"),
    (EXAMPLES[5], 0, ["ledger"]),
    (EXAMPLES[5], 1, [7, "a", 1]),
    (EXAMPLES[6], 0, 5),
    (EXAMPLES[6], 1, "0.25"),
    (EXAMPLES[6], 2, "digest"),
    (EXAMPLES[6], 3, []),
    (EXAMPLES[6], 3, ["no-kind"]),
    (EXAMPLES[8], 3, ["rows", []]),
    (EXAMPLES[8], 3, ["rows", [["site/north", [7, "a"]]], []]),
    (EXAMPLES[8], 3, ["rows", [], 5]),
    (EXAMPLES[10], 0, "no-table"),
    (EXAMPLES[10], 1, None),
    (EXAMPLES[10], 2, [[7, "a"]]),
    (EXAMPLES[11], 3, "packed"),
    (EXAMPLES[11], 4, [7, "a"]),
    (EXAMPLES[11], 5, None),
    (EXAMPLES[13], 0, None),
    (EXAMPLES[13], 1, [bytes(8)] * (digests.RANGE_COUNT - 1)),
    (EXAMPLES[13], 1, 256),
    (EXAMPLES[14], 1, []),
    (EXAMPLES[14], 3, [[digests.RANGE_COUNT, []]]),
    (EXAMPLES[14], 3, [["3", []]]),
    (EXAMPLES[14], 3, [[3]]),
    (EXAMPLES[15], 0, 5),
    (EXAMPLES[15], 2, 1),
    (EXAMPLES[16], 0, 5),
    (EXAMPLES[16], 1, None),
    (EXAMPLES[16], 2, [7]),
    (EXAMPLES[16], 3, None),
]


def sent(message):
    """Return the fields of a message as the receiving peer unpacks them."""
    fields = message.to_wire() if hasattr(message, "to_wire") else tuple(message)
    return ormsgpack.unpackb(ormsgpack.packb(fields))


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda message: type(message).__name__)
def test_message_sent_is_received_unchanged(message):
    assert type(message).from_wire(sent(message)) == message


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda message: type(message).__name__)
@pytest.mark.parametrize("change", [lambda fields: fields[:-1], lambda fields: [*fields, None]])
def test_message_of_wrong_length_is_refused(message, change):
    with pytest.raises(MALFORMED_ERRORS):
        type(message).from_wire(change(sent(message)))


@pytest.mark.parametrize("body", [None, 5, 1.5, {}, "", b""])
@pytest.mark.parametrize("message", EXAMPLES, ids=lambda message: type(message).__name__)
def test_body_that_is_no_sequence_of_fields_is_refused(message, body):
    with pytest.raises(MALFORMED_ERRORS):
        type(message).from_wire(body)


@pytest.mark.parametrize(("message", "number", "value"), WRONG_FIELDS)
def test_field_of_wrong_type_or_value_is_refused(message, number, value):
    fields = sent(message)
    fields[number] = value
    with pytest.raises(MALFORMED_ERRORS):
        type(message).from_wire(fields)


def is_malformed(message_type, body):
    try:
        message_type.from_wire(body)
    except MALFORMED_ERRORS:
        return True
    return False


@pytest.mark.parametrize(
    ("label", "message_type", "is_list"),
    [
        ("ask after", messages.ChangesRequest, True),
        ("result after", messages.ChangesReply, True),
        ("ask part", messages.ChunkRequest, False),
        ("result part", messages.ChunkReply, False),
        ("result ranges", messages.RangesReply, False),
        ("result tips", status_messages.TableStatus, True),
        ("result stand", status_messages.VoterState, False),
    ],
)
def test_recorded_bodies_decode_and_encode_to_the_same_bytes(label, message_type, is_list):
    # Some recorded days had hostile peers, whose malformed requests were answered with `bad-request`.
    recorded = recorded_frames.recorded_bodies(label)
    bodies = [entry for body in recorded for entry in (body if is_list and type(body) is list else [body])]
    well_formed = [body for body in bodies if not is_malformed(message_type, body)]
    assert well_formed
    assert label.startswith("ask ") or len(well_formed) == len(bodies)
    for body in well_formed:
        encoded = message_type.from_wire(body).to_wire()
        assert ormsgpack.packb(encoded) == ormsgpack.packb(body)


def test_recorded_malformed_ranges_requests_are_refused_with_the_recorded_texts():
    texts = [text for _, text, *_ in recorded_frames.recorded_bodies("fault ranges")]
    refused = []
    for body in recorded_frames.recorded_bodies("ask ranges"):
        with pytest.raises(MALFORMED_ERRORS) as raised:
            messages.RangesRequest.from_wire(body)
        refused.append(repr(raised.value))
    assert refused == texts


def test_ranges_request_is_sent_as_table_and_digest_of_each_range():
    request = messages.RangesRequest(items.IDEMPOTENCY_KEYS, RANGE_DIGESTS)
    assert ormsgpack.packb(request.to_wire()) == ormsgpack.packb(["claims", [bytes(8)] * 256])
