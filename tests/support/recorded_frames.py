"""Frames that nodes of the version before exchanged, recorded in seeded simulated days."""

import json
import pathlib

import ormsgpack

FRAMES_FILE = pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json"


def recorded_bodies(label):
    """The bodies of all recorded frames under a label: 'ask KIND' for requests, 'result KIND' for replies."""
    contents = []
    for payload in json.loads(FRAMES_FILE.read_text())[label]:
        _, _, _, content, *_ = ormsgpack.unpackb(bytes.fromhex(payload))
        contents.append(content[1] if label.startswith("ask ") else content)
    return contents
