"""Tests of wire compatibility with frames that were recorded before messages got typed classes."""

import json
import pathlib

import pytest

from irisstand.transport import codec

FRAMES = json.loads((pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json").read_text())
STREAM_FRAMES = [
    pytest.param(bytes.fromhex(payload), id=f"{label}-{number}")
    for label, payloads in FRAMES.items()
    if label != "datagram"
    for number, payload in enumerate(payloads)
]


@pytest.mark.parametrize("payload", STREAM_FRAMES)
def test_recorded_frame_decodes_and_encodes_to_the_same_bytes(payload):
    assert codec.encode(codec.decode(payload)) == payload
