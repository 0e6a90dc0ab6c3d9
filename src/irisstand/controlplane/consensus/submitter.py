"""Routes an order: to this node's own proposer, or to the one of another voter."""

import asyncio
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import messages, order_messages, participant, proposer, request
from irisstand.state import quorum

# To another voter, where this node could propose the order itself, and where it has no vote.
FORWARD_TIMEOUT_SECONDS = 1.5
FORWARD_ONLY_TIMEOUT_SECONDS = 5.0
# Decided twice, these are the same as decided once.
IDEMPOTENT_KINDS = (
    orders.OrderKind.AMEND,
    orders.OrderKind.PURGE,
    orders.OrderKind.EVACUATE,
    orders.OrderKind.RETURN,
)
# The last winner may have met the very loss that an order of these kinds is about. One that does not even
# report its state, which it does from memory, is waited for no longer, and the order is proposed here. Only
# one order can take a lease from a version, and its holder finds its own in the ledger.
KINDS_RETRIED_LOCALLY = (*IDEMPOTENT_KINDS, orders.OrderKind.LEASE)
# Without an answer for so long a voter is asked for its state; time-out of that.
LIVENESS_CHECK_INTERVAL_SECONDS = 0.35
LIVENESS_CHECK_TIMEOUT_SECONDS = 0.3


class Submitter:
    """Has orders decided, by this node or by another voter."""

    def __init__(
        self, node_participant: participant.Participant, proposers: dict[str, proposer.Proposer]
    ) -> None:
        self.participant = node_participant
        self.context = node_participant.context
        self.proposers = proposers
        self.context.transport.handlers[request.MessageKind.ORDER] = self.handle_order

    async def handle_order(self, _sender: str, body: typing.Any) -> request.WireBody:
        """Have a peer's order decided; typed refusals keep their details on the way back."""
        order = order_messages.OrderRequest.from_wire(body).order
        table = orders.table_of(order.kind)
        if not self.participant.is_voter(table):
            raise errors.NotBootstrappedError("this node has no vote either")
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
        """Submit an operator's order, who gets an answer also if this node shuts down before it is decided.

        Raises:
            irisstand.errors.IrisError: As for `submit`.
        """
        with self.context.count_in_flight():
            task = asyncio.get_running_loop().create_task(self.submit(order))
            awaited = [future for future in (task, self.context.drain_ending) if future is not None]
            try:
                await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                # Its sender hung up: it must not be carried out after whatever that sender orders next.
                task.cancel()
                raise
            if not task.done():
                task.cancel()
                raise errors.ChangeOutcomeUnknownError(
                    "this node is shutting down, and it is not settled yet"
                )
            return task.result()

    async def submit(self, order: orders.Order) -> order_messages.OrderResult:
        """Have an order decided by the voter that won last, if it can be reached, else by whoever can.

        Any voter could propose it: safety needs no preference. But proposers that meet defeat each other's
        ballots, so orders gather where the last batch was decided.

        Raises:
            irisstand.errors.NoQuorumError: Certainly not decided.
            irisstand.errors.ChangeOutcomeUnknownError: It may have been decided.
            irisstand.errors.IrisError: The order was refused.
        """
        table = orders.table_of(order.kind)
        # A node without a majority for longer than the bound will not find one within the time-out.
        if not self.context.is_current(self.context.replicas[table]):
            raise errors.NoQuorumError("this node has lost the majority of the voters")
        is_voter = self.participant.is_voter(table)
        for voter in self._by_preference(table):
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
                # All of these say that no voter was sent the order's batch.
                continue
            except errors.UnansweredError as error:
                # With a change id it can be sent again to anybody for the one true result; without one it
                # must not be, unless deciding it twice is harmless.
                if is_voter and (order.change or order.kind in KINDS_RETRIED_LOCALLY):
                    break
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            except (errors.BadRequestError, errors.UnknownNameError) as error:
                # Nothing about the order: this voter could not read the message, being older or newer.
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            return reply.result()
        if not is_voter:
            raise errors.NoQuorumError("no voter can be reached from here")
        return await self.proposers[table].submit(order)

    async def _forward(
        self, voter: quorum.Voter, order: orders.Order, *, is_voter: bool
    ) -> order_messages.OrderReply:
        """Send an order to a voter; if it could be proposed here, watch that the voter still answers."""
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
            # Whatever it answers, it runs: the reply is not decoded.
            await self.context.transport.call(
                address, voter.name, request.MessageKind.VOTER_STATE, body, LIVENESS_CHECK_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            raise errors.UnansweredError(f"{voter.name} does not say where it stands") from None

    def _by_preference(self, table: str) -> list[quorum.Voter]:
        """Return the last winner first, unless it is suspected; then this node; then the others."""
        last_winner = self.context.replicas[table].applied.node.partition("~")[0]
        alive = {update.identity.name for update in self.context.members_of("agency") if not update.state}

        def rank(voter: quorum.Voter) -> tuple[bool, bool, bool, str]:
            is_last_winner = voter.name == last_winner and voter.name in alive
            is_other = voter.disk_id != self.participant.store.disk_id
            return (not is_last_winner, is_other, voter.name not in alive, voter.name)

        return sorted(self.participant.voters(table), key=rank)
