"""The versions of an item that were confirmed before, each with the digest of its one content.

They lie in the item's own row under `seen`, so they are decided, carried, stored and snapshotted with it,
and last as long as the row: a dropped item's row (`item` None) is no tombstone and is never forgotten. Rows
of earlier software have none and read as if nothing were remembered.
"""

import typing

from irisstand.validation import canonical_content

# So many of the highest versions beside the one in force are remembered; lower ones are confirmed unseen.
REMEMBERED_VERSIONS_LIMIT = 32
Stored = dict[str, typing.Any]


def is_taken(known: Stored, value: Stored) -> bool | None:
    """Whether another content has the version of `value`: None if this version is not remembered.

    >>> known = {"version": 5, "item": {"a": 1}, "seen": [[3, one_content.digest(None)]]}
    >>> asked = [(5, {"a": 1.0}), (5, None), (3, None), (4, 1)]
    >>> [is_taken(known, {"version": version, "item": item}) for version, item in asked]
    [False, True, False, None]
    """
    if known["version"] == value["version"]:
        return not canonical_content.is_same(known["item"], value["item"])
    for version, digest in known.get("seen", ()):
        if version == value["version"]:
            return digest != canonical_content.digest(value["item"])
    return None


def overtake(known: Stored | None, value: Stored) -> Stored:
    """The row with `value` in force, and what stood before among the versions seen."""
    if known is None:
        return {"version": value["version"], "item": value["item"]}
    return {"version": value["version"], "item": value["item"], "seen": with_version(known, known)}


def remember(known: Stored, value: Stored) -> Stored:
    """The row as it stands, with an older version that came late among the versions seen."""
    return {**known, "seen": with_version(known, value)}


def with_version(known: Stored, value: Stored) -> list[list]:
    entry = [value["version"], canonical_content.digest(value["item"])]
    seen = [list(pair) for pair in known.get("seen", ())]
    return sorted([*seen, entry], reverse=True)[:REMEMBERED_VERSIONS_LIMIT]
