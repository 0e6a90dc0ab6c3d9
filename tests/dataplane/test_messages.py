"""Messages of edges, shields and stores: recorded frames keep their bytes, malformed ones are rejected."""

import json
import pathlib

import pytest

from irisstand.dataplane import messages
from irisstand.transport import codec

FRAMES = json.loads((pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json").read_text())
SENT_AT = 0.0


def read_result_from_wire(body):
    return messages.ReadResult.from_wire(body, SENT_AT)


def read_result_to_wire(message):
    return message.to_wire(SENT_AT)


def store_put_from_wire(body):
    return messages.StorePut.from_wire(body, SENT_AT)


def to_wire(message):
    return message.to_wire()


CODINGS = {
    "ask read": (messages.ReadRequest.from_wire, to_wire),
    "result read": (read_result_from_wire, read_result_to_wire),
    "ask write": (messages.WriteRequest.from_wire, to_wire),
    "result write": (messages.WriteResult.from_wire, to_wire),
    "ask look": (messages.StoreLookup.from_wire, to_wire),
    "ask keep": (store_put_from_wire, read_result_to_wire),
}
RECORDED = [
    pytest.param(label, bytes.fromhex(payload), id=f"{label}-{number}")
    for label in CODINGS
    for number, payload in enumerate(FRAMES[label])
]


def body_of(label):
    """Return the decoded body of the first recorded frame with this label, as a list of its fields."""
    return list(codec.decode(bytes.fromhex(FRAMES[label][0])).body)


@pytest.mark.parametrize(("label", "payload"), RECORDED)
def test_recorded_message_decodes_and_encodes_to_the_same_bytes(label, payload):
    from_wire, encode = CODINGS[label]
    frame = codec.decode(payload)
    assert codec.encode(frame._replace(body=encode(from_wire(frame.body)))) == payload


@pytest.mark.parametrize("label", CODINGS)
def test_message_with_a_field_too_many_or_too_few_is_refused(label):
    from_wire, _ = CODINGS[label]
    body = body_of(label)
    for wrong in (body[:-1], [*body, 0], []):
        with pytest.raises(ValueError, match="values to unpack"):
            from_wire(wrong)


@pytest.mark.parametrize("label", CODINGS)
@pytest.mark.parametrize("wrong", [None, 7, 1.5])
def test_message_that_is_no_list_is_refused(label, wrong):
    from_wire, _ = CODINGS[label]
    with pytest.raises(TypeError):
        from_wire(wrong)


WRONG_FIELDS = [
    ("ask read", 1, 7),
    ("ask read", 2, None),
    ("ask read", 3, b"q"),
    ("ask read", 4, 7),
    ("ask read", 4, [["only a name"]]),
    ("ask read", 5, ["not a number", "n"]),
    ("ask read", 5, [1]),
    ("ask read", 6, "soon"),
    ("ask read", 6, None),
    ("ask read", 8, [-1, "n"]),
    ("ask read", 8, None),
    ("result read", 1, None),
    ("result read", 1, [200]),
    ("ask write", 1, None),
    ("ask write", 2, 7),
    ("ask write", 3, 7),
    ("ask write", 4, 7),
    ("ask write", 4, [["only a name"]]),
    ("ask write", 6, "soon"),
    ("ask write", 7, [1]),
    ("result write", 1, 7),
    ("result write", 1, [["only a name"]]),
    ("ask look", 0, 7),
    ("ask look", 1, None),
    ("ask look", 2, [1]),
    ("ask keep", 0, None),
    ("ask keep", 1, [200]),
]


@pytest.mark.parametrize(("label", "position", "wrong"), WRONG_FIELDS)
def test_message_with_a_field_of_another_type_is_refused(label, position, wrong):
    from_wire, _ = CODINGS[label]
    body = body_of(label)
    body[position] = wrong
    with pytest.raises((ValueError, TypeError)):
        from_wire(body)
