"""Amendments: requests that put or drop versioned items atomically.

For each item the highest version is in force. A version of an item has one content for ever: a repeat of the
same content is confirmed again, and different content under the same version is refused.
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
    """The entries of an amendment, classified by comparison with the versions that were confirmed before.

    Attributes:
        newer: The contents that come into force, by key; None drops the item.
        late: Entries whose version is lower than the one in force and is not among the remembered versions.
        rows: The rows to write, by key: those that put a newer version into force, and those that add a late
            version to the remembered ones.
        conflicts: A JSON object for each entry whose version was confirmed with different content.
    """

    newer: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    late: list[item_entries.ItemEntry] = dataclasses.field(default_factory=list)
    rows: dict[str, confirmed_versions.VersionedRow] = dataclasses.field(default_factory=dict)
    conflicts: list[dict[str, typing.Any]] = dataclasses.field(default_factory=list)


def plan_amend(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the rows of an amendment; there are none if all its entries were confirmed before.

    Entries that were confirmed before are confirmed again whatever the table holds by now: they are compared
    with the remembered digests before any validation.

    Raises:
        VersionTakenError: The version of an entry was confirmed with different content.
        InvalidChangeError: The table that would result violates the schema or a validation rule.
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
    """Return the contents of all routes and services by key, None for items that were dropped."""
    contents: dict[str, typing.Any] = {}
    for kind in item_entries.LIST_NAME_BY_KIND:
        contents.update({key: value["item"] for key, value in overlay.items_with_prefix(f"{kind}/").items()})
    return contents


def classify(
    overlay: table_overlay.Overlay, entries: collections.abc.Iterable[item_entries.ItemEntry]
) -> ClassifiedEntries:
    """Classify an amendment's entries by the versions in force and the versions seen before."""
    found = ClassifiedEntries()
    # In ascending order of versions, so that an amendment may contain two versions of one item.
    for entry in sorted(entries, key=lambda entry: entry.version):
        row = found.rows.get(entry.key) or confirmed_versions.VersionedRow.from_value(
            overlay.value(entry.key)
        )
        if row is None or row.version < entry.version:
            found.newer[entry.key] = entry.item
            found.rows[entry.key] = row_in_force(row, entry)
            continue
        is_conflict = row.conflicts_with(entry)
        if is_conflict:
            conflict = {"item": entry.key, "version": entry.version, "in_force": row.version}
            found.conflicts.append(conflict)
        elif is_conflict is None:
            found.late.append(entry)
            updated = row.with_late_version(entry)
            # If the limit of remembered versions is filled with higher ones, the row does not change.
            if updated != row:
                found.rows[entry.key] = updated
    return found


def row_in_force(
    row: confirmed_versions.VersionedRow | None, entry: item_entries.ItemEntry
) -> confirmed_versions.VersionedRow:
    """Return the row that puts an entry into force and remembers the versions of the present row."""
    if row is None:
        return confirmed_versions.VersionedRow(entry.version, entry.item)
    return row.superseded_by(entry)


def parse_amendment(body: bytes) -> list[item_entries.ItemEntry]:
    """Return the entries of an amendment's JSON body.

    Raises:
        BadRequestError: The body is not a JSON object, or contains no item.
        InvalidChangeError: An entry is malformed; the error lists all faults.
    """
    parsed = item_entries.read(request_bodies.read_object(body))
    if parsed.faults:
        raise errors.InvalidChangeError([fault._asdict() for fault in parsed.faults])
    if not parsed.entries:
        raise errors.BadRequestError("the amendment contains no item", "put or drop at least one")
    return parsed.entries


def as_amendment(table: replica.Replica) -> dict[str, typing.Any]:
    """Return all versioned items in force, in the form of an amendment that would put them."""
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
