"""Frames that nodes of the version before exchanged, recorded in seeded simulated days."""

import json
import pathlib

import ormsgpack

WIRE = pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json"


def bodies(label):
    """The bodies of all recorded frames under a label: 'ask KIND' for requests, 'result KIND' for replies."""
    found = []
    for payload in json.loads(WIRE.read_text())[label]:
        _, _, _, content, *_ = ormsgpack.unpackb(bytes.fromhex(payload))
        found.append(content[1] if label.startswith("ask ") else content)
    return found
