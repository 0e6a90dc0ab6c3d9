"""Planning of orders: each order adds its rows to a table's overlay, or is refused and adds none."""

import collections.abc
import typing

from irisstand import control_errors
from irisstand.controlplane.changes import (
    amendment,
    idempotency_claims,
    lease_changes,
    operator_changes,
    orders,
    table_overlay,
    table_time,
    voter_changes,
)
from irisstand.state import items, versions
from irisstand.validation import canonical_content

# How many change ids a table stores at most; at the limit, new orders with a change id are refused until the
# oldest ids expire.
CHANGES_LIMIT = 50_000
CHANGE_PREFIX = "~change"

Planner = collections.abc.Callable[[table_overlay.Overlay, typing.Any], table_overlay.PlannedRows]

# Extension point: a new kind of order needs an entry in this table and one in `orders.TABLE_BY_KIND`.
PLANNERS: dict[str, Planner] = {
    orders.OrderKind.CHANGE: operator_changes.plan_change,
    orders.OrderKind.AMEND: amendment.plan_amend,
    orders.OrderKind.PURGE: operator_changes.plan_purge,
    orders.OrderKind.EVACUATE: operator_changes.plan_evacuate,
    orders.OrderKind.RETURN: operator_changes.plan_return,
    orders.OrderKind.ENROL_CONFIGURATION: voter_changes.plan_enrol,
    orders.OrderKind.ENROL_LEDGER: voter_changes.plan_enrol,
    orders.OrderKind.ENROL_CLAIMS: voter_changes.plan_enrol,
    orders.OrderKind.RETIRE_CONFIGURATION: voter_changes.plan_retire,
    orders.OrderKind.RETIRE_LEDGER: voter_changes.plan_retire,
    orders.OrderKind.RETIRE_CLAIMS: voter_changes.plan_retire,
    orders.OrderKind.VOTERS_CONFIGURATION: voter_changes.plan_voter_set,
    orders.OrderKind.VOTERS_LEDGER: voter_changes.plan_voter_set,
    orders.OrderKind.VOTERS_CLAIMS: voter_changes.plan_voter_set,
    orders.OrderKind.CLAIM_KEY: idempotency_claims.plan_claim,
    orders.OrderKind.SETTLE_KEY: idempotency_claims.plan_result,
    orders.OrderKind.LEASE: lease_changes.plan_lease,
    orders.OrderKind.FENCED_WRITE: lease_changes.plan_fenced_write,
    orders.OrderKind.ADVANCE_CONFIGURATION_TIME: table_time.plan_time_advance,
    orders.OrderKind.ADVANCE_LEDGER_TIME: table_time.plan_time_advance,
    orders.OrderKind.ADVANCE_CLAIMS_TIME: table_time.plan_time_advance,
}


class PlannedOrder(typing.NamedTuple):
    """The result that an order has once its batch is decided.

    Attributes:
        version: The version of the rows that the order writes; for a repeated order, that of the first one.
        keys: The keys of these rows, without the reserved keys of the system.
    """

    version: versions.Version
    keys: list[str]


class ChangeRecord(typing.NamedTuple):
    """The stored row of a change id: the keys that its order wrote and the digest of the order."""

    keys: list[str]
    # None in records that earlier software versions wrote without a digest.
    digest: str | None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any]) -> "ChangeRecord":
        """Parse the stored value of a change id."""
        return cls(value["rows"], value.get("digest"))

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value to store for this change id."""
        return {"rows": self.keys, "digest": self.digest}


def plan(overlay: table_overlay.Overlay, order: orders.Order) -> PlannedOrder:
    """Add the rows of an order to an overlay; a repeated change id gets the first order's result.

    Raises:
        IrisError: The order is refused; the overlay is unchanged.
    """
    record_key = f"{CHANGE_PREFIX}/{order.change}"
    stored = overlay.value(record_key) if order.change else None
    if stored is not None:
        record = ChangeRecord.from_value(stored)
        check_same_order(order, record)
        return PlannedOrder(overlay.version(record_key), record.keys)
    if order.change:
        table_time.check_capacity(overlay, CHANGE_PREFIX, CHANGES_LIMIT)
    planned = PLANNERS[order.kind](overlay, order.payload)
    keys = [key for key in planned if not key.startswith(items.RESERVED_PREFIX)]
    for key, value in planned.items():
        overlay.put(key, value)
    if order.change:
        overlay.put(record_key, ChangeRecord(keys, digest_of(order)).to_value())
    return PlannedOrder(overlay.new_version, keys)


def digest_of(order: orders.Order) -> str:
    """Return the digest of an order's kind and payload, to compare orders with the same change id."""
    return canonical_content.digest([order.kind, order.payload])


def check_same_order(order: orders.Order, record: ChangeRecord) -> None:
    """Raise an error if an order's change id was recorded for a different order.

    Raises:
        ChangeIdTakenError: The digest of the order differs from the recorded digest.
    """
    if record.digest is not None and record.digest != digest_of(order):
        raise control_errors.ChangeIdTakenError([{"change": order.change, "rows": record.keys}])
