"""Orders that amend versioned items: for each name the highest version stands, and a call counts whole.

One version of an item has one content, for ever: it is confirmed again, and no other content is.
"""

import typing

from irisstand import control_errors, errors
from irisstand.controlplane.api import request_bodies
from irisstand.controlplane.changes import confirmed_versions
from irisstand.controlplane.changes import overlay as overlays
from irisstand.state import replica, versioned_items
from irisstand.validation import versioned_items as versioned

Stored = dict[str, typing.Any]


class Classified(typing.NamedTuple):
    """The items of a call, judged one by one against the versions that were confirmed before."""

    newer: dict[str, Stored]
    # Older than what stands, and not confirmed before as far as is remembered.
    late: list[versioned.Entry]
    # Rows to write: what is newer, and the versions that late items take.
    rows: dict[str, Stored]
    conflicts: list[dict[str, typing.Any]]


def plan_amend(overlay: overlays.Overlay, payload: typing.Any) -> dict[str, Stored]:
    """Rows to write, none if all was confirmed before; VersionTaken or BadChange refuse the call whole.

    What was confirmed once is confirmed again, whatever has become of the table since: the remembered digests
    decide before any check of validity.
    """
    judged = classify(overlay, payload)
    if judged.conflicts:
        raise control_errors.VersionTakenError(judged.conflicts)
    if not judged.newer and not judged.late:
        return {}
    standing: dict[str, Stored] = {}
    for prefix in ("route/", "upstream/"):
        standing.update(overlay.items_with_prefix(prefix))
    standing.update(judged.newer)
    faults = versioned.faults_of(standing) if judged.newer else []
    faults += versioned.faults_of_late(judged.late, standing)
    if faults:
        raise errors.InvalidChangeError(faults)
    return judged.rows


def classify(overlay: overlays.Overlay, payload: typing.Any) -> Classified:
    judged = Classified({}, [], {}, [])
    # From the lowest version on, so that of two versions of one item in a call both are taken.
    for key, value in sorted(payload, key=lambda entry: entry[1]["version"]):
        known = judged.rows.get(key) or overlay.value(key)
        if known is None or known["version"] < value["version"]:
            judged.rows[key] = judged.newer[key] = confirmed_versions.overtake(known, value)
            continue
        is_taken = confirmed_versions.is_taken(known, value)
        if is_taken:
            judged.conflicts.append({"item": key, "version": value["version"], "in_force": known["version"]})
        elif is_taken is None:
            judged.late.append((key, value))
            remembered = confirmed_versions.remember(known, value)
            # With a full memory of higher versions there is nothing to write.
            if remembered["seen"] != known.get("seen"):
                judged.rows[key] = remembered
    return judged


def parse_amendment(body: bytes) -> list[versioned.Entry]:
    """The entries of a call's JSON body; BadRequest or BadChange with every fault."""
    entries, faults = versioned.read(request_bodies.read_object(body))
    if faults:
        raise errors.InvalidChangeError(faults)
    if not entries:
        raise errors.BadRequestError("the call names no item", "put or drop at least one")
    return entries


def as_amendment(copy: replica.Replica) -> dict[str, typing.Any]:
    """All items that stand, laid out as a call that would put them."""
    found: dict[str, typing.Any] = {
        name: [
            item.value["item"]
            for item in copy.items_with_prefix(f"{kind}/")
            if item.value["item"] is not None
        ]
        for kind, name in versioned.LISTS.items()
    }
    limits = copy.value(versioned_items.LIMITS_KEY)
    if limits is not None:
        found["limits"] = limits["item"]
    return found
