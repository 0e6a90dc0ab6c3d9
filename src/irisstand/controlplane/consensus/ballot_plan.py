"""Plans what one ballot proposes: which queued orders go into its batch, and which are refused.

Does no I/O: whether a refusal may be told at once hangs on what was proposed and decided before.
"""

import asyncio
import typing

from irisstand import errors
from irisstand.controlplane.changes import order_planning, orders, table_overlay
from irisstand.controlplane.consensus import order_messages
from irisstand.state import replica, versions

# What is more than fits into one frame is left for the next ballot.
BATCH_BYTES_LIMIT = 2 * 1024 * 1024


class Proposal(typing.NamedTuple):
    """A batch with an order in it that voters may have been sent: its base, its version, the order's keys."""

    base: versions.Version
    version: versions.Version
    keys: list[str]


class PendingOrder(typing.NamedTuple):
    """An order that waits to be decided, until `give_up_at` by the node's clock, in seconds."""

    order: orders.Order
    future: asyncio.Future[order_messages.OrderResult]
    give_up_at: float
    proposals: list[Proposal]

    def resolve(self, version: versions.Version, keys: list[str]) -> None:
        """Return the result of a confirmed order."""
        if not self.future.done():
            self.future.set_result({"serial": str(version), "rows": keys})

    def fail(self, error: errors.IrisError) -> None:
        """Raise an error at whoever waits for the order."""
        if not self.future.done():
            self.future.set_exception(error)


class BatchedOrder(typing.NamedTuple):
    """An order whose rows are in the batch, or that needs none, and its result once the batch is decided."""

    pending: PendingOrder
    planned: order_planning.PlannedOrder


class RefusedOrder(typing.NamedTuple):
    """An order that was refused with rows of the same batch in place, which count only once decided."""

    pending: PendingOrder
    error: errors.IrisError


class BallotPlan(typing.NamedTuple):
    """The orders of one ballot.

    Attributes:
        batched: Get their result when the batch is decided.
        refused: Get their error when the batch is decided.
        is_base_undecided: Whether an order was proposed on this very base before: a batch must be decided on
            it before the order may be refused, be it an empty one.
    """

    batched: list[BatchedOrder]
    refused: list[RefusedOrder]
    is_base_undecided: bool

    def record_proposals(self, base: versions.Version, ballot: versions.Version) -> None:
        """Remember with each batched order that voters may hear of it from now on."""
        for entry in self.batched:
            entry.pending.proposals.append(Proposal(base, ballot, entry.planned.keys))

    def publish_results(self) -> None:
        """Return results and errors; for a batch that is decided, or that needed no rows."""
        for entry in self.batched:
            entry.pending.resolve(entry.planned.version, entry.planned.keys)
        for refusal in self.refused:
            refusal.pending.fail(refusal.error)


def plan_ballot(
    overlay: table_overlay.Overlay, table_replica: replica.Replica, pending_orders: list[PendingOrder]
) -> BallotPlan:
    """Put the rows of orders on the overlay; refuse at once only what the decided base refuses."""
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
            # Proposed on this very base, it may lie accepted with a voter that did not answer, and
            # another proposer may yet finish it: only a decision on the base makes a refusal true.
            if any(proposal.base == table_replica.applied for proposal in entry.proposals):
                is_base_undecided = True
            elif overlay.rows:
                refused.append(RefusedOrder(entry, error))
            else:
                entry.fail(error)
    return BallotPlan(batched, refused, is_base_undecided)


def _resolve_if_confirmed(entry: PendingOrder, table_replica: replica.Replica) -> None:
    # Another proposer may have finished an earlier proposal of it: then it is confirmed, not stale.
    for proposal in entry.proposals:
        if any(table_replica.version(key) == proposal.version for key in proposal.keys):
            entry.resolve(proposal.version, proposal.keys)
