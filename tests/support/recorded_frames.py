"""Access to frames that nodes of the previous version exchanged, recorded in seeded simulated days."""

import json
import pathlib

import ormsgpack

FRAMES_FILE = pathlib.Path(__file__).parent.parent / "fixtures" / "wire" / "frames.json"


def recorded_bodies(label):
    """Return the bodies of all frames recorded under a label.

    Args:
        label: "ask KIND" for requests of a kind, "result KIND" for replies, "fault KIND" for error replies.
    """
    contents = []
    for payload in json.loads(FRAMES_FILE.read_text())[label]:
        _, _, _, content, *_ = ormsgpack.unpackb(bytes.fromhex(payload))
        contents.append(content[1] if label.startswith("ask ") else content)
    return contents
