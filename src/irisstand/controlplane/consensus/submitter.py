"""Where an order goes: to this node's own proposer if it votes, else to a voter's."""

import asyncio
import typing

from irisstand import control_errors, errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import participant as cores
from irisstand.controlplane.consensus import proposer as proposers
from irisstand.state import quorum

FORWARD_PATIENCE = 1.5
ONLY_PATIENCE = 5.0
# Decided twice, these are the same as decided once, whoever took them.
REPEATABLE = ("amend", "purge", "evacuate", "return")
# The last winner may have met the very loss that an order is about. One that does not even say where it
# stands, which it does from memory, is waited for no longer, and the order is taken here. Only one order can
# take a term from a version, and its holder finds its own in the ledger.
DOUBT, STANDS_PATIENCE = 0.35, 0.3
TAKEN_HERE = (*REPEATABLE, "term")


class Submitter:
    def __init__(self, core: cores.Participant, taken: dict[str, proposers.Proposer]) -> None:
        self.participant, self.context, self.proposers = core, core.context, taken
        self.context.transport.handlers["order"] = self.on_order

    async def on_order(self, _: str, body: list) -> tuple:
        """A peer's order; typed refusals keep their details on the way back."""
        order = orders.Order(*body)
        table = orders.table_of(order.kind)
        if not self.participant.is_voter(table):
            raise errors.NotBootstrappedError("this node has no vote either")
        try:
            with self.context.count_in_flight():
                return ("done", await self.proposers[table].submit(order))
        except errors.InvalidChangeError as error:
            return ("bad-change", error.faults)
        except errors.StaleVersionError as error:
            return ("stale-serial", error.conflicts)
        except errors.KeyClaimedError as error:
            return ("claimed", error.claim)
        except errors.ChangeOutcomeUnknownError as error:
            return ("unknown", str(error))
        except control_errors.DetailedError as error:
            return (error.code, error.details)

    async def submit_for_operator(self, order: orders.Order) -> dict:
        """The result for an operator, who gets an answer also when this node has to go before it is known."""
        with self.context.count_in_flight():
            task = asyncio.get_running_loop().create_task(self.submit(order))
            try:
                await asyncio.wait([task, self.context.drain_ending], return_when=asyncio.FIRST_COMPLETED)
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

    async def submit(self, order: orders.Order) -> dict:
        """Decided by the voter that won last, if it can be reached, else by whoever can.

        Any voter could take it: safety needs no preference. But proposers that meet lose ballots to one
        another, so orders gather where the last batch was decided.
        """
        table = orders.table_of(order.kind)
        # Without the voters for longer than the bound, this node will not find them within any patience.
        if not self.context.is_current(self.context.replicas[table]):
            raise errors.NoQuorumError("this node has lost the majority of the voters")
        own = self.participant.is_voter(table)
        for voter in self.in_order(table):
            if voter.disk_id == self.participant.store.disk_id:
                break
            try:
                patience = FORWARD_PATIENCE if own else ONLY_PATIENCE
                is_watched = own and order.kind in TAKEN_HERE
                reply = await self.ask_voter(voter, order, patience, is_watched)
            except (
                errors.NotSentError,
                errors.NotBootstrappedError,
                errors.DiskFullError,
                errors.NoQuorumError,
            ):
                # All of these say that no voter was sent the order's batch.
                continue
            except errors.UnansweredError as error:
                # It left for the voter, and whether it was decided is not known. With a change id it can be
                # sent again to anybody for the one true result; without one it must not be.
                if own and (order.change or order.kind in TAKEN_HERE):
                    break
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            except (errors.BadRequestError, errors.UnknownNameError) as error:
                # Not a word on the order: this voter could not read the message, being older, newer or ill.
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            return unwrap(reply)
        if not own:
            raise errors.NoQuorumError("no voter can be reached from here")
        return await self.proposers[table].submit(order)

    async def ask_voter(
        self, voter: quorum.Voter, order: orders.Order, patience: float, is_watched: bool
    ) -> typing.Any:
        address, transport = (voter.host, voter.port), self.context.transport
        asking = asyncio.get_running_loop().create_task(
            transport.call(address, voter.name, "order", tuple(order), patience)
        )
        try:
            while is_watched and not (await asyncio.wait([asking], timeout=DOUBT))[0]:
                table = orders.table_of(order.kind)
                try:
                    await transport.call(address, voter.name, "stand", (table,), STANDS_PATIENCE)
                except errors.IrisError:
                    raise errors.UnansweredError(f"{voter.name} does not say where it stands") from None
            return await asking
        finally:
            asking.cancel()

    def in_order(self, table: str) -> list[quorum.Voter]:
        """The last winner first, unless it is suspected; then this node itself; then the others."""
        last = self.context.replicas[table].applied.node.partition("~")[0]
        well = {update.identity.name for update in self.context.members_of("agency") if not update.state}

        def rank(voter: quorum.Voter) -> tuple:
            is_last = voter.name == last and voter.name in well
            return (
                not is_last,
                voter.disk_id != self.participant.store.disk_id,
                voter.name not in well,
                voter.name,
            )

        return sorted(self.participant.voters(table), key=rank)


def unwrap(reply: typing.Any) -> dict:
    """The result of an order that a peer took, or the typed error it met."""
    word, content = reply
    if word == "bad-change":
        raise errors.InvalidChangeError(content)
    if word == "stale-serial":
        raise errors.StaleVersionError(content)
    if word == "claimed":
        raise errors.KeyClaimedError(content)
    if word == "unknown":
        raise errors.ChangeOutcomeUnknownError(content)
    refusal = control_errors.rebuild(word, content)
    if refusal is not None:
        raise refusal
    # A word of later software is no confirmation.
    if word != "done":
        raise errors.ChangeOutcomeUnknownError(f"the voter answered {word!r}")
    return content
