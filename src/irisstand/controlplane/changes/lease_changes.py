"""Planning of the orders of singleton tasks: acquiring or renewing a lease, and writing rows under it.

The version of the lease's row that the acquisition wrote is the holder's fencing token (Kleppmann, "How to do
distributed locking", 2016): rows that are written under any other version are refused.
"""

import collections.abc
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders, table_overlay


def lease_key(task: str) -> str:
    """Return the key of a singleton task's lease in the ledger."""
    return f"term/{task}"


class LeaseRecord(typing.NamedTuple):
    """The stored row of a lease; `holder` is a node's `name~incarnation id`, empty after a release."""

    holder: str

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "LeaseRecord | None":
        """Parse the stored value of a lease; return None if there is no value."""
        return None if value is None else cls(value["holder"])

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value to store for this lease."""
        return {"holder": self.holder}


class LeaseRequest(typing.NamedTuple):
    """A request to acquire, renew or release a lease.

    Attributes:
        task: The singleton task's name.
        holder: The node that is to hold the lease, as `name~incarnation id`; empty to release the lease.
        expected: The version of the lease's row that the node saw.
    """

    task: str
    holder: str
    expected: str

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "LeaseRequest":
        """Parse a lease order's payload; raise TypeError if it has the wrong length."""
        return cls(*payload)

    def to_order(self) -> orders.Order:
        """Return the order that acquires, renews or releases the lease."""
        return orders.Order(orders.OrderKind.LEASE.value, "", tuple(self))


class FencedWrite(typing.NamedTuple):
    """Rows that are written only while their writer's lease is in force.

    Attributes:
        task: The singleton task's name.
        fencing_token: The version of the lease's row with which the writer acquired the lease.
        rows: The keys and values to write; the value None removes a row.
    """

    task: str
    fencing_token: str
    rows: collections.abc.Sequence[tuple[str, typing.Any]]

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "FencedWrite":
        """Parse a fenced write's payload; raise TypeError if it has the wrong length."""
        return cls(*payload)

    def to_order(self) -> orders.Order:
        """Return the order that writes the rows."""
        return orders.Order(orders.OrderKind.FENCED_WRITE.value, "", tuple(self))


def plan_lease(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan a lease's row by compare-and-set on its version, so that two candidates cannot both acquire it.

    Raises:
        StaleVersionError: The lease's row no longer has the version that the candidate saw.
    """
    request = LeaseRequest.from_wire(payload)
    key = lease_key(request.task)
    in_force = str(overlay.version(key))
    if in_force != request.expected:
        raise errors.StaleVersionError([{"duty": request.task, "in_force": in_force}])
    return {key: LeaseRecord(request.holder).to_value()}


def plan_fenced_write(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the rows that a lease holder writes; rows whose value would not change are omitted.

    Raises:
        StaleVersionError: The writer's fencing token is not the version of the lease in force.
    """
    write = FencedWrite.from_wire(payload)
    in_force = str(overlay.version(lease_key(write.task)))
    if in_force != write.fencing_token:
        raise errors.StaleVersionError([{"duty": write.task, "in_force": in_force}])
    return {key: value for key, value in write.rows if overlay.value(key) != value}
