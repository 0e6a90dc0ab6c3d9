"""The SWIM failure detector: pings, ping-reqs and acks (SWIM paper, section 3.1; docs/swim.md)."""

import asyncio
import random

from irisstand import clocks, counters, errors
from irisstand.membership import membership_state, messages, updates
from irisstand.transport import network

Parameters = membership_state.Parameters

# How many members a leaving node informs directly; the other members learn it from those.
LEAVE_MESSAGES = 4


class FailureDetector(membership_state.MembershipState):
    """Pings one member in each protocol period, and acknowledges the pings of other members.

    Attributes:
        port: The port that sends datagrams; None until the node has opened it.
        sequence_number: The number of the last ping or ping-req that this node sent.
        pending_acks: Futures of the pings that wait for an ack, by sequence number. The result of each is the
            identity that the ack names.
    """

    def __init__(
        self,
        name: str,
        node_info: updates.NodeInfo,
        clock: clocks.Clock,
        randomness: random.Random,
        counters: counters.Counters,
    ) -> None:
        super().__init__(name, node_info, clock, randomness, counters)
        self.port: network.DatagramSocket | None = None
        self.sequence_number = 0
        # Each future is completed with the identity that the ack names.
        self.pending_acks: dict[int, asyncio.Future[updates.Identity]] = {}

    # -- datagrams -----------------------------------------------------------------------------------
    def send(self, kind: str, number: int, address: network.Address, target: updates.Identity) -> None:
        """Send a datagram that also carries the next updates of the dissemination buffer."""
        datagram = messages.Datagram(kind, number, self.identity, target, self.updates_to_send())
        payload = datagram.to_wire()
        self.counters.add("swim_packets", kind=kind)
        self.counters.add("swim_bytes", len(payload))
        if self.port is not None:
            self.port.send(payload, address)

    def on_datagram(self, payload: bytes, source: network.Address) -> None:
        """Apply the updates of a received datagram and answer it; a malformed one is counted and dropped."""
        try:
            datagram = messages.Datagram.from_wire(payload)
        except (errors.MalformedFrameError, ValueError, TypeError):
            self.counters.add("datagrams_dropped")
            return
        for update in datagram.piggybacked:
            self.apply_update(update)
        # A sender that was declared failed has to learn of it, or it would never start a new incarnation.
        if datagram.sender in self.member_list.failed:
            self.buffer.add(self.member_list.failed[datagram.sender])
        self.last_received_at = self.clock.now()
        match datagram.kind:
            case messages.MessageKind.PING:
                self._on_ping(datagram, source)
            case messages.MessageKind.PING_REQ:
                asyncio.get_running_loop().create_task(self._on_ping_req(datagram, source))
            case messages.MessageKind.ACK:
                self._on_ack(datagram)

    def _on_ping(self, ping: messages.Datagram, source: network.Address) -> None:
        # The ack names the incarnation that sends it: it does not show that a different, pinged one is alive.
        self.send(messages.MessageKind.ACK, ping.sequence_number, source, self.identity)
        if ping.target != self.identity and ping.target.name == self.identity.name:
            self.buffer.add(self.own_update())

    async def _on_ping_req(self, ping_req: messages.Datagram, source: network.Address) -> None:
        target = self.member_list.members.get(ping_req.target)
        if target is None:
            return
        number = self._next_sequence_number()
        if await self.ping(target, number, self.parameters.period_seconds):
            self.send(messages.MessageKind.ACK, ping_req.sequence_number, source, ping_req.target)

    def _on_ack(self, ack: messages.Datagram) -> None:
        future = self.pending_acks.get(ack.sequence_number)
        if future is not None and not future.done():
            future.set_result(ack.target)

    def _next_sequence_number(self) -> int:
        self.sequence_number += 1
        return self.sequence_number

    # -- the protocol period -------------------------------------------------------------------------
    async def run(self) -> None:
        """Run protocol periods for as long as the process runs."""
        period = self.parameters.period_seconds
        started_at: float = self.clock.now()
        while True:
            await self._run_protocol_period(started_at)
            now = self.clock.now()
            overrun = now - started_at - period
            if overrun > period:
                self.postpone_suspicions(overrun)
                started_at = now
            else:
                started_at += period
            self.confirm_expired_suspicions()

    async def _run_protocol_period(self, started_at: float) -> None:
        ends_at = started_at + self.parameters.period_seconds
        target = self.member_list.next_ping_target()
        if target is not None:
            await self._probe(target, ends_at)
        await asyncio.sleep(max(0.0, ends_at - self.clock.now()))

    async def _probe(self, target: updates.Update, ends_at: float) -> None:
        number = self._next_sequence_number()
        if await self.ping(target, number, self.parameters.ping_timeout_seconds):
            return
        if not await self._ping_indirectly(target, number, ends_at):
            self.suspect(target.identity)

    async def ping(self, target: updates.Update, number: int, timeout_seconds: float) -> bool:
        """Ping a member and wait for its ack.

        Args:
            target: The newest update about the member to ping.
            number: The sequence number of the ping.
            timeout_seconds: How long to wait for the ack.

        Returns:
            Whether the pinged incarnation of the member acknowledged the ping in time.
        """
        future: asyncio.Future[updates.Identity] = asyncio.get_running_loop().create_future()
        self.pending_acks[number] = future
        self.send(messages.MessageKind.PING, number, target.node_info.address, target.identity)
        try:
            async with asyncio.timeout(timeout_seconds):
                answerer = await future
        except TimeoutError:
            return False
        finally:
            self.pending_acks.pop(number, None)
        # Another node, or a new incarnation of the pinged one, has answered: the pinged one has ended.
        if answerer != target.identity:
            self.apply_update(target._replace(state=updates.MemberState.CONFIRM))
        return answerer == target.identity

    async def _ping_indirectly(self, target: updates.Update, number: int, ends_at: float) -> bool:
        future: asyncio.Future[updates.Identity] = asyncio.get_running_loop().create_future()
        self.pending_acks[number] = future
        for member in self.member_list.random_members(self.parameters.ping_req_members, target.identity):
            self.send(messages.MessageKind.PING_REQ, number, member.node_info.address, target.identity)
        try:
            async with asyncio.timeout(max(0.0, ends_at - self.clock.now())):
                # A late ack of the direct ping counts too, because it has the same sequence number.
                return await future == target.identity
        except TimeoutError:
            return False
        finally:
            self.pending_acks.pop(number, None)

    def leave(self) -> None:
        """Inform a few members that this node leaves; they disseminate it to the others."""
        self.has_left = True
        self.buffer.add(self.own_update())
        for member in self.member_list.random_members(LEAVE_MESSAGES, self.identity):
            number = self._next_sequence_number()
            self.send(messages.MessageKind.PING, number, member.node_info.address, member.identity)
