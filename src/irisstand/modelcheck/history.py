"""History of a run: the decided batches, the states that follow from them, and what clients were told."""

import typing

import ormsgpack

from irisstand.controlplane.changes import orders
from irisstand.state import items, versions

ItemsByKey = dict[str, items.Item]


class ConfirmedOrder(typing.NamedTuple):
    """An order that a client was told is in force; `confirmed_at` in virtual seconds."""

    order: orders.Order
    version: versions.Version
    rows: tuple[str, ...]
    confirmed_at: float


class TableState(typing.NamedTuple):
    """The items of a table as of its applied version."""

    applied: versions.Version
    content: ItemsByKey


class History:
    """The one chain of decided states, worked out apart from any node.

    Attributes:
        batches: Decided batches by the version that they were decided on.
        states: Items of the table by version.
        confirmed: Orders that clients were told are in force, in that order.
        refused: Orders that clients were told are not.
    """

    def __init__(self) -> None:
        self.batches: dict[versions.Version, items.Batch] = {}
        self.states: dict[versions.Version, ItemsByKey] = {versions.NONE: {}}
        self.confirmed: list[ConfirmedOrder] = []
        self.refused: list[orders.Order] = []

    def add_batch(self, batch: items.Batch) -> items.Batch:
        """Add a decided batch; return the one that was decided first on the same base."""
        first = self.batches.setdefault(batch.base, batch)
        if batch.version not in self.states and batch.base in self.states:
            self.states[batch.version] = apply_batch(self.states[batch.base], batch)
        return first

    def batch_of(self, version: versions.Version) -> items.Batch | None:
        """Return the decided batch with this version."""
        return next((batch for batch in self.batches.values() if batch.version == version), None)

    def is_in_any_state(self, entry: ConfirmedOrder) -> bool:
        """Return whether any decided state includes a confirmed order."""
        return any(
            self.includes(TableState(applied, content), entry) for applied, content in self.states.items()
        )

    def includes(self, state: TableState, entry: ConfirmedOrder) -> bool:
        """Return whether a state has a confirmed order's rows as they were or overwritten since.

        An order that changed nothing has no rows and no state of its own.
        """
        change_id = entry.order.change
        if not entry.rows and not change_id and entry.version not in self.states:
            return True
        change_record = state.content.get(change_record_key(change_id))
        if change_id and (change_record is None or change_record.version != entry.version):
            return False
        has_rows = all(
            key in state.content and state.content[key].version >= entry.version for key in entry.rows
        )
        return state.applied >= entry.version and has_rows


def apply_batch(content: ItemsByKey, batch: items.Batch) -> ItemsByKey:
    """Return the items after a batch."""
    changed = dict(content)
    for key, value, is_removed in batch.rows:
        changed.pop(key, None)
        if not is_removed:
            changed[key] = items.Item(key, batch.version, value)
    return changed


def change_record_key(change_id: str) -> str:
    """Return the key of the record of a change id."""
    return f"~change/{change_id}"


def decode_from_wire_form(batch: items.Batch) -> items.Batch:
    """Return the batch as it is decoded from the wire, where a tuple and a list are the same."""
    return items.Batch.from_wire(ormsgpack.unpackb(ormsgpack.packb(batch.to_wire())))


def pack_items(content: typing.Mapping[str, items.Item]) -> bytes:
    """Return the items as bytes, which are equal for a tuple and a list."""
    return ormsgpack.packb([content[key].to_wire() for key in sorted(content)])
