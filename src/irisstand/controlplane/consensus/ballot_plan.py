"""Plans what one ballot proposes: which queued orders go into its batch, and which are refused.

The plan does no I/O. It also determines whether a refusal may be reported immediately or only after the batch
is decided, which depends on earlier proposals of the order and on the other rows of the batch.
"""

import asyncio
import typing

from irisstand import errors
from irisstand.controlplane.changes import order_planning, orders, table_overlay
from irisstand.controlplane.consensus import order_messages
from irisstand.state import replica, versions

# A batch has to fit into one frame; once it reaches this size, further orders wait for the next ballot.
BATCH_BYTES_LIMIT = 2 * 1024 * 1024


class Proposal(typing.NamedTuple):
    """A proposed batch that contains a given order and that voters may have received.

    Attributes:
        base: The applied version that the batch is based on.
        version: The version of the batch.
        keys: The keys that the order writes.
    """

    base: versions.Version
    version: versions.Version
    keys: list[str]


class PendingOrder(typing.NamedTuple):
    """An order that waits to be decided.

    Attributes:
        order: The order.
        future: Receives the result or the error of the order.
        give_up_at: When to stop trying, in seconds of the node's clock.
        proposals: The proposed batches that contained the order so far.
    """

    order: orders.Order
    future: asyncio.Future[order_messages.OrderResult]
    give_up_at: float
    proposals: list[Proposal]

    def resolve(self, version: versions.Version, keys: list[str]) -> None:
        """Set the result of a confirmed order, unless its submitter has stopped waiting."""
        if not self.future.done():
            self.future.set_result({"serial": str(version), "rows": keys})

    def fail(self, error: errors.IrisError) -> None:
        """Make the order fail with an error, unless its submitter has stopped waiting."""
        if not self.future.done():
            self.future.set_exception(error)


class BatchedOrder(typing.NamedTuple):
    """An order that is part of the batch or needs no rows, with the plan that holds its result."""

    pending: PendingOrder
    planned: order_planning.PlannedOrder


class RefusedOrder(typing.NamedTuple):
    """An order that is refused because of other rows of its batch, so only if the batch is decided."""

    pending: PendingOrder
    error: errors.IrisError


class BallotPlan(typing.NamedTuple):
    """What one ballot does with the queued orders.

    Attributes:
        batched: Orders that receive their result when the batch is decided.
        refused: Orders that receive their error when the batch is decided.
        is_base_undecided: Whether an order was refused that had been proposed on the current base before. A
            batch, even an empty one, must be decided on this base before the refusal is certain.
    """

    batched: list[BatchedOrder]
    refused: list[RefusedOrder]
    is_base_undecided: bool

    def record_proposals(self, base: versions.Version, ballot: versions.Version) -> None:
        """Record in each batched order that voters may have received it with this ballot."""
        for entry in self.batched:
            entry.pending.proposals.append(Proposal(base, ballot, entry.planned.keys))

    def publish_results(self) -> None:
        """Report results and errors of all orders, once the batch is decided or if it has no rows."""
        for entry in self.batched:
            entry.pending.resolve(entry.planned.version, entry.planned.keys)
        for refusal in self.refused:
            refusal.pending.fail(refusal.error)


def plan_ballot(
    overlay: table_overlay.Overlay, table_replica: replica.Replica, pending_orders: list[PendingOrder]
) -> BallotPlan:
    """Add the rows of orders to the overlay, and collect the orders that are refused.

    An order fails immediately if decided data alone cause the refusal (the overlay still has no rows) and the
    order was not proposed on this base before.
    """
    batched: list[BatchedOrder] = []
    refused: list[RefusedOrder] = []
    is_base_undecided = False
    for entry in pending_orders:
        if entry.future.done() or overlay.size > BATCH_BYTES_LIMIT:
            continue
        _resolve_if_confirmed(entry, table_replica)
        if entry.future.done():
            continue
        try:
            batched.append(BatchedOrder(entry, order_planning.plan(overlay, entry.order)))
        except errors.IrisError as error:
            # If the order was proposed on this base before, a voter that did not reply may have accepted it
            # and another proposer may still get it decided. The refusal is certain only after some batch has
            # been decided on this base.
            if any(proposal.base == table_replica.applied for proposal in entry.proposals):
                is_base_undecided = True
            elif overlay.rows:
                refused.append(RefusedOrder(entry, error))
            else:
                entry.fail(error)
    return BallotPlan(batched, refused, is_base_undecided)


def _resolve_if_confirmed(entry: PendingOrder, table_replica: replica.Replica) -> None:
    # Another proposer may have completed an earlier proposal with this order. The order is confirmed then,
    # and must not be refused as stale because of its own rows.
    for proposal in entry.proposals:
        if any(table_replica.version(key) == proposal.version for key in proposal.keys):
            entry.resolve(proposal.version, proposal.keys)
