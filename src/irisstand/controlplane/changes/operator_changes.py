"""Orders of operators: configuration rows, purges, evacuations."""

import collections.abc
import typing

from irisstand import errors
from irisstand.controlplane.changes import table_overlay
from irisstand.validation import rules, schema


class ProposedRow(typing.NamedTuple):
    """One row of an operator's change, as it was sent: nothing of it is checked yet.

    Attributes:
        kind: The kind of row.
        name: The name within its kind.
        value: The new value, or None to remove the row.
        expected: The version that the operator saw, or None to write whatever stands.
    """

    kind: typing.Any
    name: typing.Any
    value: typing.Any
    expected: typing.Any

    @classmethod
    def from_wire(cls, row: dict[str, typing.Any]) -> "ProposedRow":
        """Read one row of the payload."""
        return cls(row.get("kind"), row.get("name"), row.get("value"), row.get("expected"))

    @property
    def key(self) -> str:
        """The key of the row in the configuration table."""
        return f"{self.kind}/{self.name}"


def plan_change(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the rows of an operator's change.

    Checked are the schema of each row, then the rules on the whole table, then the version that each row
    expects.

    Raises:
        InvalidChangeError: Rows or the table as it would stand have faults.
        StaleVersionError: A row has another version than expected.
    """
    proposed = [ProposedRow.from_wire(row) for row in payload]
    faults = faults_of(overlay, proposed)
    if faults:
        raise errors.InvalidChangeError(faults)
    conflicts = conflicts_of(overlay, proposed)
    if conflicts:
        raise errors.StaleVersionError(conflicts)
    return {row.key: row.value for row in proposed}


def faults_of(overlay: table_overlay.Overlay, proposed: list[ProposedRow]) -> list[dict[str, typing.Any]]:
    """Return the faults of single rows, or else those of the table as it would stand."""
    table = configuration_rows(overlay)
    faults = []
    seen: set[tuple[str, str]] = set()
    for position, row in enumerate(proposed):
        row_key = (row.kind, row.name)
        row_faults = schema.faults(row.kind, row.name, row.value)
        # Looked up only once its kind and name are known to be words.
        if not row_faults and row_key in seen:
            row_faults = [schema.RowFault("name", "the same row stands twice in this change; keep one")]
        faults += [fault_entry(position, row.kind, row.name, *fault) for fault in row_faults]
        if not row_faults:
            seen.add(row_key)
            table.pop(row_key, None)
            if row.value is not None:
                table[row_key] = row.value
    if faults:
        return faults
    return [fault_entry(None, *fault) for fault in rules.faults(table)]


def configuration_rows(overlay: table_overlay.Overlay) -> rules.Rows:
    """Return the configuration rows in force by kind and name."""
    rows: rules.Rows = {}
    for kind in schema.REGISTRY:
        for key, value in overlay.items_with_prefix(kind + "/").items():
            rows[(kind, key.removeprefix(kind + "/"))] = value
    return rows


def fault_entry(
    position: int | None, kind: typing.Any, name: typing.Any, field: str, message: str
) -> dict[str, typing.Any]:
    """Return a fault as operators read it; `position` is the row's place in the change."""
    return {"row": position, "kind": kind, "name": name, "field": field, "message": message}


def conflicts_of(
    overlay: table_overlay.Overlay, proposed: collections.abc.Iterable[ProposedRow]
) -> list[dict[str, typing.Any]]:
    """Return the rows whose version in force is not the expected one, as operators read them."""
    conflicts = []
    for row in proposed:
        in_force = str(overlay.version(row.key))
        if row.expected is not None and row.expected != in_force:
            conflicts.append(
                {"kind": row.kind, "name": row.name, "expected": row.expected, "in_force": in_force}
            )
    return conflicts


def plan_purge(_: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan one row for each path or tag to purge.

    A path or tag that is purged again gets a row of a new version: the version is what counts.
    """
    return {f"purge/{kind}/{name}": {"purge": kind} for kind, name in payload}


def plan_evacuate(_: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the row that takes work away from a site; the payload is the site's name."""
    return {f"evacuated/{payload}": {"evacuated": True}}


def plan_return(_: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the end of a site's evacuation; the payload is the site's name."""
    return {f"evacuated/{payload}": None}
