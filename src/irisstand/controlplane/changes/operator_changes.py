"""Planning of the orders that operators submit: configuration rows, purges and evacuations."""

import collections.abc
import typing

from irisstand import errors
from irisstand.controlplane.changes import table_overlay
from irisstand.validation import rules, schema


class ProposedRow(typing.NamedTuple):
    """One row of an operator's change as it was sent, before any validation.

    Attributes:
        kind: The kind of the configuration row, such as `site`.
        name: The name of the row within its kind.
        value: The new value of the row, or None to remove the row.
        expected: The version of the row that the operator saw, or None to write without a version check.
    """

    kind: typing.Any
    name: typing.Any
    value: typing.Any
    expected: typing.Any

    @classmethod
    def from_wire(cls, row: dict[str, typing.Any]) -> "ProposedRow":
        """Parse one row of an order's payload, without validating it."""
        return cls(row.get("kind"), row.get("name"), row.get("value"), row.get("expected"))

    @property
    def key(self) -> str:
        """The key of the row in the configuration table: its kind and its name."""
        return f"{self.kind}/{self.name}"


def plan_change(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the rows of an operator's change.

    The checks are, in this order: the schema of each row, the validation rules on the whole table, and the
    version that each row expects.

    Raises:
        InvalidChangeError: A row violates its schema, or the resulting table violates a validation rule.
        StaleVersionError: The version in force of a row differs from the expected version.
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
    """Return the schema faults of single rows; if there are none, the rule faults of the resulting table."""
    table = configuration_rows(overlay)
    faults = []
    seen: set[tuple[str, str]] = set()
    for position, row in enumerate(proposed):
        row_key = (row.kind, row.name)
        row_faults = schema.faults(row.kind, row.name, row.value)
        # The schema check comes first: a kind or name that is not a string may be unhashable.
        if not row_faults and row_key in seen:
            row_faults = [
                schema.RowFault("name", "this change contains the same row more than once; send it once")
            ]
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
    """Return the values of the overlay's configuration rows by kind and name."""
    rows: rules.Rows = {}
    for kind in schema.REGISTRY:
        for key, value in overlay.items_with_prefix(kind + "/").items():
            rows[(kind, key.removeprefix(kind + "/"))] = value
    return rows


def fault_entry(
    position: int | None, kind: typing.Any, name: typing.Any, field: str, message: str
) -> dict[str, typing.Any]:
    """Return a validation fault as the JSON object that operators read.

    Args:
        position: The index of the row in the change, None for a fault of the whole table.
        kind: The kind of the faulty row.
        name: The name of the faulty row.
        field: The field that is at fault.
        message: What is wrong with the field.
    """
    return {"row": position, "kind": kind, "name": name, "field": field, "message": message}


def conflicts_of(
    overlay: table_overlay.Overlay, proposed: collections.abc.Iterable[ProposedRow]
) -> list[dict[str, typing.Any]]:
    """Return a JSON object for each row whose version in force differs from the expected version."""
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

    A repeated purge writes the same value under a new version: nodes compare cached objects with the version.
    """
    return {f"purge/{kind}/{name}": {"purge": kind} for kind, name in payload}


def plan_evacuate(_: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the row that marks a site as evacuated; the payload is the site's name."""
    return {f"evacuated/{payload}": {"evacuated": True}}


def plan_return(_: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the removal of the row that marks a site as evacuated; the payload is the site's name."""
    return {f"evacuated/{payload}": None}
