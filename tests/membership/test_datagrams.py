"""Datagrams of the failure detector: recorded ones encode to the same bytes, malformed ones are refused."""

import json
import pathlib

import pytest

from irisstand import errors
from irisstand.membership import messages, updates
from irisstand.transport import codec

FRAMES = json.loads((pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json").read_text())
DATAGRAMS = [bytes.fromhex(payload) for payload in FRAMES["datagram"]]

SENDER = ("a", "1")
TARGET = ("b", "2")
INFO = ("edge", "machine", "site", "region", "127.0.0.1", 1, 2)
UPDATE = (0, ("c", "3"), 4, INFO, False)


@pytest.mark.parametrize("payload", DATAGRAMS, ids=lambda payload: f"{len(payload)}-bytes")
def test_recorded_datagram_decodes_and_encodes_to_the_same_bytes(payload):
    datagram = messages.Datagram.from_wire(payload)
    assert datagram.kind in set(messages.MessageKind)
    assert datagram.to_wire() == payload


def test_a_datagram_with_an_update_comes_back_as_it_was():
    info = updates.NodeInfo(*INFO)
    update = updates.Update(updates.MemberState.SUSPECT, updates.Identity("c", "3"), 4, info, has_left=False)
    sender, target = updates.Identity(*SENDER), updates.Identity(*TARGET)
    datagram = messages.Datagram(messages.MessageKind.PING_REQ, 7, sender, target, (update,))
    assert messages.Datagram.from_wire(datagram.to_wire()) == datagram


def test_a_kind_of_a_later_version_is_read_for_its_updates():
    datagram = messages.Datagram.from_wire(codec.pack(("ping-x", 1, SENDER, TARGET, (UPDATE,))))
    assert datagram.kind == "ping-x"
    assert [update.identity.name for update in datagram.piggybacked] == ["c"]


@pytest.mark.parametrize(
    "fields",
    [
        ("ping", 1, SENDER, TARGET),
        ("ping", 1, SENDER, TARGET, (), ()),
        ("ping", "1", SENDER, TARGET, ()),
        ("ping", True, SENDER, TARGET, ()),
        ("ping", 1, ("a",), TARGET, ()),
        ("ping", 1, SENDER, ("b", "2", "3"), ()),
        ("ping", 1, SENDER, 7, ()),
        ("ping", 1, SENDER, TARGET, None),
        ("ping", 1, SENDER, TARGET, (UPDATE,) * (messages.UPDATES_LIMIT + 1)),
        ("ping", 1, SENDER, TARGET, (UPDATE[:4],)),
        ("ping", 1, SENDER, TARGET, ((3, *UPDATE[1:]),)),
        ("ping", 1, SENDER, TARGET, ((0, ("", "3"), 4, INFO, False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c" * 129, "3"), 4, INFO, False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", 3), 4, INFO, False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), -1, INFO, False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), True, INFO, False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), 2**53, INFO, False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), 4, INFO, 0),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), 4, INFO[:6], False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), 4, (*INFO[:5], 0, 2), False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), 4, (*INFO[:5], 65536, 2), False),)),
        ("ping", 1, SENDER, TARGET, ((0, ("c", "3"), 4, (*INFO[:6], 65536), False),)),
    ],
)
def test_a_malformed_datagram_is_refused(fields):
    with pytest.raises((ValueError, TypeError)):
        messages.Datagram.from_wire(codec.pack(fields))


@pytest.mark.parametrize("payload", [b"", b"\xc1", b"ping", codec.pack(())])
def test_bytes_that_are_no_message_are_refused(payload):
    with pytest.raises(errors.MalformedFrameError):
        messages.Datagram.from_wire(payload)
