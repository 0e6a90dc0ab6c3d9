"""Orders of singleton tasks: taking or keeping a lease, and writing rows under it.

The version with which a lease was won is the fencing token of its holder (Kleppmann, "How to do distributed
locking", 2016): the voters refuse rows under any other version.
"""

import collections.abc
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders, table_overlay


def lease_key(task: str) -> str:
    """Return the key of a singleton task's lease in the ledger."""
    return f"term/{task}"


class LeaseRecord(typing.NamedTuple):
    """The stored row of a lease; `holder` is `name~incarnation` of a node, or empty if it was given up."""

    holder: str

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "LeaseRecord | None":
        """Read a stored row, None if there is none."""
        return None if value is None else cls(value["holder"])

    def to_value(self) -> dict[str, typing.Any]:
        """Return the row to store."""
        return {"holder": self.holder}


class LeaseRequest(typing.NamedTuple):
    """A request to take, keep or give up a lease.

    Attributes:
        task: The singleton task's name.
        holder: The node that is to hold the lease; empty to give it up.
        expected: The version of the lease that the node saw.
    """

    task: str
    holder: str
    expected: str

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "LeaseRequest":
        """Read an order's payload; raise TypeError if it has another length."""
        return cls(*payload)

    def to_order(self) -> orders.Order:
        """Return the order that asks for this."""
        return orders.Order(orders.OrderKind.LEASE.value, "", tuple(self))


class FencedWrite(typing.NamedTuple):
    """Rows that count only while their writer's lease is the one in force.

    Attributes:
        task: The singleton task's name.
        fencing_token: The version with which the writer won the lease.
        rows: Keys and values; None removes a row.
    """

    task: str
    fencing_token: str
    rows: collections.abc.Sequence[tuple[str, typing.Any]]

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "FencedWrite":
        """Read an order's payload; raise TypeError if it has another length."""
        return cls(*payload)

    def to_order(self) -> orders.Order:
        """Return the order that asks for this."""
        return orders.Order(orders.OrderKind.FENCED_WRITE.value, "", tuple(self))


def plan_lease(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan a lease's row, only from the version that the candidate saw: so two candidates cannot both win.

    Raises:
        StaleVersionError: The lease has another version.
    """
    request = LeaseRequest.from_wire(payload)
    key = lease_key(request.task)
    in_force = str(overlay.version(key))
    if in_force != request.expected:
        raise errors.StaleVersionError([{"duty": request.task, "in_force": in_force}])
    return {key: LeaseRecord(request.holder).to_value()}


def plan_fenced_write(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the rows of a lease's holder; rows that would not change are left out.

    Raises:
        StaleVersionError: The writer's lease is not the one in force.
    """
    write = FencedWrite.from_wire(payload)
    in_force = str(overlay.version(lease_key(write.task)))
    if in_force != write.fencing_token:
        raise errors.StaleVersionError([{"duty": write.task, "in_force": in_force}])
    return {key: value for key, value in write.rows if overlay.value(key) != value}
