"""Routes each order to a proposer: the one of this node, or the one of another voter."""

import asyncio
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import messages, order_messages, participant, proposer, request
from irisstand.state import quorum

# Timeouts for forwarding an order to another voter, if this node is a voter itself and if it is not.
FORWARD_TIMEOUT_SECONDS = 1.5
FORWARD_ONLY_TIMEOUT_SECONDS = 5.0
# Orders of these kinds have the same effect if they are decided twice.
IDEMPOTENT_KINDS = (
    orders.OrderKind.AMEND,
    orders.OrderKind.PURGE,
    orders.OrderKind.EVACUATE,
    orders.OrderKind.RETURN,
)
# Orders of these kinds often follow the loss of nodes, which may include the voter that an order is forwarded
# to. If that voter does not even report its state, which it does from memory, this node stops waiting and
# proposes the order itself. This is safe for leases too: only one order can acquire a lease from a given
# version, and the holder finds its own acquisition in the ledger.
KINDS_RETRIED_LOCALLY = (*IDEMPOTENT_KINDS, orders.OrderKind.LEASE)
# While a forwarded order has no reply, its voter is asked for its state at this interval, with this timeout.
LIVENESS_CHECK_INTERVAL_SECONDS = 0.35
LIVENESS_CHECK_TIMEOUT_SECONDS = 0.3


class Submitter:
    """Submits orders to be decided, by this node's proposers or by another voter."""

    def __init__(
        self, node_participant: participant.Participant, proposers: dict[str, proposer.Proposer]
    ) -> None:
        self.participant = node_participant
        self.context = node_participant.context
        self.proposers = proposers
        self.context.transport.handlers[request.MessageKind.ORDER] = self.handle_order

    async def handle_order(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Have an order of another node decided, and reply with the result or the details of the refusal."""
        order = order_messages.OrderRequest.from_wire(body).order
        table = orders.table_of(order.kind)
        if not self.participant.is_voter(table):
            raise errors.NotBootstrappedError("this node has no vote, so it cannot propose the order")
        try:
            with self.context.count_in_flight():
                result = await self.proposers[table].submit(order)
        except errors.IrisError as error:
            reply = order_messages.OrderReply.from_error(error)
            if reply is None:
                raise
            return reply.to_wire()
        return order_messages.OrderReply(order_messages.OrderStatus.DONE.value, result).to_wire()

    async def submit_for_operator(self, order: orders.Order) -> order_messages.OrderResult:
        """Submit an operator's order; fail early if draining ends before the order is decided.

        Raises:
            irisstand.errors.ChangeOutcomeUnknownError: The order may have been decided, or may still be.
            irisstand.errors.IrisError: The order was refused or certainly not decided, as for `submit`.
        """
        with self.context.count_in_flight():
            task = asyncio.get_running_loop().create_task(self.submit(order))
            awaited = [future for future in (task, self.context.drain_ending) if future is not None]
            try:
                await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                # The sender closed its connection: the order must not take effect after its next order.
                task.cancel()
                raise
            if not task.done():
                task.cancel()
                raise errors.ChangeOutcomeUnknownError(
                    "this node is shutting down, and the order is not decided yet"
                )
            return task.result()

    async def submit(self, order: orders.Order) -> order_messages.OrderResult:
        """Have an order decided by the proposer of the last batch if it is reachable, else by another voter.

        Any voter may propose an order safely. But concurrent proposers preempt each other's ballots, so all
        nodes prefer the voter that proposed the last decided batch.

        Raises:
            irisstand.errors.NoQuorumError: The order was certainly not decided.
            irisstand.errors.ChangeOutcomeUnknownError: The order may have been decided.
            irisstand.errors.IrisError: The order was refused.
        """
        table = orders.table_of(order.kind)
        # A node that has had no majority for the freshness bound will not find one within the timeout.
        if not self.context.is_current(self.context.replicas[table]):
            raise errors.NoQuorumError("this node has lost the majority of the voters")
        is_voter = self.participant.is_voter(table)
        for voter in self._voters_by_preference(table):
            if voter.disk_id == self.participant.store.disk_id:
                break
            try:
                reply = await self._forward(voter, order, is_voter=is_voter)
            except (
                errors.NotSentError,
                errors.NotBootstrappedError,
                errors.DiskFullError,
                errors.NoQuorumError,
            ):
                # Each of these errors means that the order was not sent to any voter in a batch.
                continue
            except errors.UnansweredError as error:
                # An order with a change id can be submitted again anywhere and gets the same result. Another
                # order must not be, unless it is of a kind for which being decided twice is harmless.
                if is_voter and (order.change or order.kind in KINDS_RETRIED_LOCALLY):
                    break
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            except (errors.BadRequestError, errors.UnknownNameError) as error:
                # The order was not refused: a voter of another release could not decode the message.
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            return reply.result()
        if not is_voter:
            raise errors.NoQuorumError("this node is no voter and cannot reach any voter")
        return await self.proposers[table].submit(order)

    async def _forward(
        self, voter: quorum.Voter, order: orders.Order, *, is_voter: bool
    ) -> order_messages.OrderReply:
        """Forward an order to a voter; for some kinds, check while waiting that the voter is alive."""
        transport = self.context.transport
        address = (voter.host, voter.port)
        timeout_seconds = FORWARD_TIMEOUT_SECONDS if is_voter else FORWARD_ONLY_TIMEOUT_SECONDS
        is_liveness_checked = is_voter and order.kind in KINDS_RETRIED_LOCALLY
        message = order_messages.OrderRequest(order)
        task = asyncio.get_running_loop().create_task(
            request.call(transport, address, voter.name, message, timeout_seconds)
        )
        try:
            while (
                is_liveness_checked
                and not (await asyncio.wait([task], timeout=LIVENESS_CHECK_INTERVAL_SECONDS))[0]
            ):
                await self._check_liveness(voter, orders.table_of(order.kind))
            return await task
        finally:
            task.cancel()

    async def _check_liveness(self, voter: quorum.Voter, table: str) -> None:
        address = (voter.host, voter.port)
        body = messages.VoterStateRequest(table).to_wire()
        try:
            # Any reply shows that the voter is running, so the reply is not decoded.
            await self.context.transport.call(
                address, voter.name, request.MessageKind.VOTER_STATE, body, LIVENESS_CHECK_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            raise errors.UnansweredError(f"the voter {voter.name} does not report its state") from None

    def _voters_by_preference(self, table: str) -> list[quorum.Voter]:
        """Return the voters, sorted: the proposer of the last batch if alive, then this node, then others."""
        last_proposer = self.context.replicas[table].applied.node.partition("~")[0]
        alive = {update.identity.name for update in self.context.members_of("agency") if not update.state}

        def rank(voter: quorum.Voter) -> tuple[bool, bool, bool, str]:
            is_last_proposer = voter.name == last_proposer and voter.name in alive
            is_other = voter.disk_id != self.participant.store.disk_id
            return (not is_last_proposer, is_other, voter.name not in alive, voter.name)

        return sorted(self.participant.voters(table), key=rank)
