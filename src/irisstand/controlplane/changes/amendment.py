"""Amendments: calls that put or drop versioned items, in force whole or not at all.

For each item the highest version is in force. One version has one content for ever: the same content is
confirmed again, another content under the same version is refused.
"""

import collections.abc
import dataclasses
import typing

from irisstand import control_errors, errors
from irisstand.controlplane.api import request_bodies
from irisstand.controlplane.changes import confirmed_versions, table_overlay
from irisstand.state import replica, versioned_items
from irisstand.validation import item_entries


@dataclasses.dataclass
class ClassifiedEntries:
    """The entries of a call, compared one by one with the versions that were confirmed before.

    Attributes:
        newer: Contents by key that come into force; None drops the item.
        late: Entries older than what is in force, and not confirmed before as far as is remembered.
        rows: Rows to write: those in force anew, and those that remember a late entry.
        conflicts: Entries whose version has another content, as operators read them.
    """

    newer: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    late: list[item_entries.ItemEntry] = dataclasses.field(default_factory=list)
    rows: dict[str, confirmed_versions.VersionedRow] = dataclasses.field(default_factory=dict)
    conflicts: list[dict[str, typing.Any]] = dataclasses.field(default_factory=list)


def plan_amend(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the rows of an amendment; there are none if all of it was confirmed before.

    Entries that were confirmed before are confirmed again whatever the table holds by now: the remembered
    digests are looked at before any check of validity.

    Raises:
        VersionTakenError: A version of an entry has another content.
        InvalidChangeError: The table as it would stand has faults.
    """
    classified = classify(overlay, [item_entries.ItemEntry.from_wire(parts) for parts in payload])
    if classified.conflicts:
        raise control_errors.VersionTakenError(classified.conflicts)
    if not classified.newer and not classified.late:
        return {}
    contents = contents_in_force(overlay)
    contents.update(classified.newer)
    faults = item_entries.faults_of_table(contents) if classified.newer else []
    faults += item_entries.faults_of_late_entries(classified.late, contents)
    if faults:
        raise errors.InvalidChangeError([fault._asdict() for fault in faults])
    return {key: row.to_value() for key, row in classified.rows.items()}


def contents_in_force(overlay: table_overlay.Overlay) -> dict[str, typing.Any]:
    """Return the contents of all routes and services by key, None for those that were dropped."""
    contents: dict[str, typing.Any] = {}
    for kind in item_entries.LIST_NAME_BY_KIND:
        contents.update({key: value["item"] for key, value in overlay.items_with_prefix(f"{kind}/").items()})
    return contents


def classify(
    overlay: table_overlay.Overlay, entries: collections.abc.Iterable[item_entries.ItemEntry]
) -> ClassifiedEntries:
    """Compare entries with the versions in force and with those seen before."""
    found = ClassifiedEntries()
    # From the lowest version on, so that both of two versions of one item in a call are taken.
    for entry in sorted(entries, key=lambda entry: entry.version):
        row = found.rows.get(entry.key) or confirmed_versions.VersionedRow.from_value(
            overlay.value(entry.key)
        )
        if row is None or row.version < entry.version:
            found.newer[entry.key] = entry.item
            found.rows[entry.key] = row_in_force(row, entry)
            continue
        is_taken = row.is_taken(entry)
        if is_taken:
            conflict = {"item": entry.key, "version": entry.version, "in_force": row.version}
            found.conflicts.append(conflict)
        elif is_taken is None:
            found.late.append(entry)
            remembering = row.remembering(entry)
            # With as many higher versions remembered as may be, there is nothing to write.
            if remembering != row:
                found.rows[entry.key] = remembering
    return found


def row_in_force(
    row: confirmed_versions.VersionedRow | None, entry: item_entries.ItemEntry
) -> confirmed_versions.VersionedRow:
    """Return the row that puts an entry into force, over the present row if there is one."""
    if row is None:
        return confirmed_versions.VersionedRow(entry.version, entry.item)
    return row.overtaken_by(entry)


def parse_amendment(body: bytes) -> list[item_entries.ItemEntry]:
    """Return the entries of a call's JSON body.

    Raises:
        BadRequestError: The body is no JSON object, or names no item.
        InvalidChangeError: Entries have faults.
    """
    call = item_entries.read(request_bodies.read_object(body))
    if call.faults:
        raise errors.InvalidChangeError([fault._asdict() for fault in call.faults])
    if not call.entries:
        raise errors.BadRequestError("the call names no item", "put or drop at least one")
    return call.entries


def as_amendment(table: replica.Replica) -> dict[str, typing.Any]:
    """Return all items in force, laid out as a call that would put them."""
    found: dict[str, typing.Any] = {
        name: [
            item.value["item"]
            for item in table.items_with_prefix(f"{kind}/")
            if item.value["item"] is not None
        ]
        for kind, name in item_entries.LIST_NAME_BY_KIND.items()
    }
    limits = table.value(versioned_items.LIMITS_KEY)
    if limits is not None:
        found["limits"] = limits["item"]
    return found
