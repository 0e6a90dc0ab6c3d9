"""Wire compatibility of object and lease messages with bodies that earlier versions of the code recorded."""

import json
import pathlib

import pytest

from irisstand.dataplane.cache import holder_messages, objects
from irisstand.dataplane.ratelimit import token_leases
from irisstand.state import versions
from irisstand.transport import codec

FRAMES = json.loads((pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json").read_text())


def bodies(label):
    return [codec.decode(bytes.fromhex(payload)).body for payload in FRAMES[label]]


def packed(body):
    return codec.encode(codec.Response(1, body))


@pytest.mark.parametrize(
    ("label", "message"),
    [
        ("ask object", holder_messages.ObjectRequest),
        ("ask rate-places", token_leases.LeaseRequest),
        ("result rate-places", token_leases.LeaseResponse),
    ],
)
def test_recorded_body_decodes_and_encodes_to_the_same_bytes(label, message):
    assert FRAMES[label]
    for body in bodies(label):
        assert packed(message.from_wire(body).to_wire()) == packed(body)


def test_recorded_object_responses_decode_and_encode_to_the_same_bytes():
    known = objects.CachedObject(200, (), b"", versions.NONE, 0.0, 0.0, 0.0, ())
    kinds = set()
    for body in bodies("result object"):
        kinds.add(body[0])
        content = holder_messages.object_from_wire(body, 7.0, known)
        if body[0] == "same":
            assert packed(holder_messages.NotModified.from_object(content, 7.0).to_wire()) == packed(body)
        else:
            assert packed(holder_messages.object_response(content, 7.0)) == packed(body)
    assert kinds == {"object", "same"}


@pytest.mark.parametrize("change", [lambda body: body[:-1], lambda body: [*body, 1], lambda body: 5])
def test_object_request_of_another_length_or_type_is_refused(change):
    for body in bodies("ask object"):
        with pytest.raises((ValueError, TypeError)):
            holder_messages.ObjectRequest.from_wire(change(body))
