"""The history of a run: decided batches, the resulting table states, and the results for clients."""

import typing

import ormsgpack

from irisstand.controlplane.changes import orders
from irisstand.state import items, versions

ItemsByKey = dict[str, items.Item]


class ConfirmedOrder(typing.NamedTuple):
    """An order that was reported to a client as in force.

    Attributes:
        order: The confirmed order.
        version: The version that was reported to the client.
        rows: The keys of the rows that the order wrote, as reported to the client.
        confirmed_at: When the client received the result, in seconds of virtual time.
    """

    order: orders.Order
    version: versions.Version
    rows: tuple[str, ...]
    confirmed_at: float


class TableState(typing.NamedTuple):
    """The applied version of a table, and the items of the table at that version by key."""

    applied: versions.Version
    content: ItemsByKey


class History:
    """The chain of decided table states, computed from the batches independently of any node.

    Attributes:
        batches: The decided batches, by the base version that each was decided on.
        states: The items of the table at each decided version.
        confirmed: The orders that were reported to clients as in force, the earliest first.
        refused: The orders that were reported to clients as not in force.
    """

    def __init__(self) -> None:
        self.batches: dict[versions.Version, items.Batch] = {}
        self.states: dict[versions.Version, ItemsByKey] = {versions.NONE: {}}
        self.confirmed: list[ConfirmedOrder] = []
        self.refused: list[orders.Order] = []

    def add_batch(self, batch: items.Batch) -> items.Batch:
        """Add a decided batch, and return the first batch that was decided on the same base version."""
        first = self.batches.setdefault(batch.base, batch)
        if batch.version not in self.states and batch.base in self.states:
            self.states[batch.version] = apply_batch(self.states[batch.base], batch)
        return first

    def batch_of(self, version: versions.Version) -> items.Batch | None:
        """Return the decided batch that has this version, or None if there is none."""
        return next((batch for batch in self.batches.values() if batch.version == version), None)

    def is_in_any_state(self, entry: ConfirmedOrder) -> bool:
        """Return whether any decided table state includes the effects of a confirmed order."""
        return any(
            self.includes(TableState(applied, content), entry) for applied, content in self.states.items()
        )

    def includes(self, state: TableState, entry: ConfirmedOrder) -> bool:
        """Return whether a state has the rows that a confirmed order wrote, or later versions of these rows.

        An order without effect has no rows, and no decided state need have its version.
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
    """Return the items of a table after a batch is applied to the given items."""
    changed = dict(content)
    for key, value, is_removed in batch.rows:
        changed.pop(key, None)
        if not is_removed:
            changed[key] = items.Item(key, batch.version, value)
    return changed


def change_record_key(change_id: str) -> str:
    """Return the key of the item that records the result of a change id."""
    return f"~change/{change_id}"


def decode_from_wire_form(batch: items.Batch) -> items.Batch:
    """Encode and decode a batch, so that tuples in it become lists and equal batches compare equal."""
    return items.Batch.from_wire(ormsgpack.unpackb(ormsgpack.packb(batch.to_wire())))


def pack_items(content: typing.Mapping[str, items.Item]) -> bytes:
    """Return the encoded items, sorted by key; a tuple and an equal list have the same encoding."""
    return ormsgpack.packb([content[key].to_wire() for key in sorted(content)])
