"""Orders that amend versioned items: for each name the highest version stands, and a call counts whole."""

import json
import typing

from irisstand import errors
from irisstand.controlplane import overlay as overlays
from irisstand.state import tables, versioned_items
from irisstand.validation import versioned


def plan_amend(overlay: overlays.Overlay, payload: typing.Any) -> dict[str, typing.Any]:
    """Rows to write, none if nothing newer came; BadChange if the table would not be valid with them."""
    changed = {}
    for key, value in payload:
        known = overlay.value(key)
        # A lower or equal version changes nothing, and is acknowledged all the same.
        if known is None or known["version"] < value["version"]:
            changed[key] = value
    if not changed:
        return {}
    standing = {}
    for prefix in ("route/", "upstream/"):
        standing.update(overlay.under(prefix))
    standing.update(changed)
    faults = versioned.faults_of(standing)
    if faults:
        raise errors.BadChange(faults)
    return changed


def parse(body: bytes) -> list[versioned.Entry]:
    """The entries of a call's JSON body; BadRequest or BadChange with every fault."""
    try:
        content = json.loads(body)
    except (ValueError, RecursionError):
        raise errors.BadRequest("the body is not whole JSON", "send a JSON object") from None
    if not isinstance(content, dict):
        raise errors.BadRequest("the body is not a JSON object", "send a JSON object")
    entries, faults = versioned.read(content)
    if faults:
        raise errors.BadChange(faults)
    if not entries:
        raise errors.BadRequest("the call names no item", "put or drop at least one")
    return entries


def listing(copy: tables.Copy) -> dict[str, typing.Any]:
    """All items that stand, laid out as a call that would put them."""
    found: dict[str, typing.Any] = {
        name: [item.value["item"] for item in copy.under(f"{kind}/") if item.value["item"] is not None]
        for kind, name in versioned.LISTS.items()
    }
    limits = copy.value(versioned_items.LIMITS)
    if limits is not None:
        found["limits"] = limits["item"]
    return found
