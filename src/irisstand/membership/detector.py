"""The SWIM failure detector with suspicion: pings, ping-reqs, acks, and updates riding on them."""

import asyncio
import collections.abc
import random

from irisstand import clocks, errors, event_log
from irisstand import counters as counting
from irisstand.membership import dissemination_buffer, member_list, updates
from irisstand.transport import codec, network

OnChange = collections.abc.Callable[[updates.Update], None]


class Parameters:
    """Defaults of ours; docs/swim.md says why each differs from the prototype's."""

    period_seconds = 0.5
    ping_timeout_seconds = 0.15
    ping_req_members = 3
    updates_per_message = 6
    dissemination_factor = 3.0


class FailureDetector:
    def __init__(
        self,
        name: str,
        node_info: updates.NodeInfo,
        clock: clocks.Clock,
        randomness: random.Random,
        counters: counting.Counters,
        parameters: type[Parameters] = Parameters,
    ) -> None:
        self.clock, self.randomness, self.counters, self.parameters = clock, randomness, counters, parameters
        self.node_info = node_info
        self.identity = updates.Identity(name, "")
        self.incarnation_number = 0
        self.member_list = member_list.MemberList(randomness)
        self.buffer = dissemination_buffer.DisseminationBuffer()
        self.suspected_at: dict[updates.Identity, float] = {}
        self.acks: dict[int, asyncio.Future] = {}
        self.sequence = 0
        self.last_received_at = clock.now()
        self.listeners: list[OnChange] = []
        self.port: network.Port | None = None
        self.has_left = False
        self.start_new_incarnation()

    # -- what is known -------------------------------------------------------------------------------
    def start_new_incarnation(self) -> None:
        """A start, or a return after being declared failed, is a life nobody has heard of."""
        life = f"{self.randomness.getrandbits(64):016x}"
        self.identity = updates.Identity(self.identity.name, life)
        self.incarnation_number = 0
        self.buffer.add(self.own_update())

    def own_update(self) -> updates.Update:
        state = updates.MemberState.CONFIRM if self.has_left else updates.MemberState.ALIVE
        return updates.Update(state, self.identity, self.incarnation_number, self.node_info, self.has_left)

    def suspicion_timeout_seconds(self) -> float:
        return self.transmission_limit() * self.parameters.period_seconds

    def transmission_limit(self) -> int:
        return dissemination_buffer.transmission_limit(
            self.parameters.dissemination_factor, len(self.member_list.members) + 1
        )

    def apply_update(self, update: updates.Update) -> None:
        """Take one update, whoever sent it."""
        if update.identity == self.identity:
            self.refute(update)
            return
        # Another life under this node's own name is an earlier one: only its owner may end it for all.
        if update.identity.name == self.identity.name and update.state is not updates.MemberState.CONFIRM:
            self.apply_update(update._replace(state=updates.MemberState.CONFIRM))
            return
        if not self.member_list.apply(update):
            return
        self.buffer.add(update)
        if update.state is updates.MemberState.SUSPECT:
            self.suspected_at[update.identity] = self.clock.now()
        else:
            self.suspected_at.pop(update.identity, None)
        self.counters.add("swim_updates", state=update.state.name.lower())
        event_log.record(
            "swim", state=update.state.name, name=update.identity.name, life=update.identity.incarnation_id
        )
        for listener in self.listeners:
            listener(update)

    def refute(self, update: updates.Update) -> None:
        if self.has_left:
            return
        if update.state is updates.MemberState.CONFIRM:
            # Confirm is final for that life, so a node falsely declared failed comes back as a new one.
            self.counters.add("swim_lives")
            self.start_new_incarnation()
        elif (
            update.state is updates.MemberState.SUSPECT
            and update.incarnation_number == self.incarnation_number
        ):
            self.incarnation_number += 1
            self.buffer.add(self.own_update())

    # -- packets -------------------------------------------------------------------------------------
    def send(self, kind: str, number: int, address: network.Address, about: updates.Identity) -> None:
        riding = tuple(
            updates.encode(u)
            for u in self.buffer.select(self.parameters.updates_per_message, self.transmission_limit())
        )
        payload = codec.pack((kind, number, tuple(self.identity), tuple(about), riding))
        self.counters.add("swim_packets", kind=kind)
        self.counters.add("swim_bytes", len(payload))
        if self.port is not None:
            self.port.send(payload, address)

    def on_datagram(self, payload: bytes, source: network.Address) -> None:
        try:
            kind, number, (name, life), (about_name, about_life), riding = codec.unpack(payload)
            if len(riding) > 64 or type(number) is not int:
                raise ValueError("no such packet")
            learned = [updates.decode(parts) for parts in riding]
            sender = updates.Identity(str(name), str(life))
            about = updates.Identity(str(about_name), str(about_life))
        except (errors.MalformedFrameError, ValueError, TypeError):
            self.counters.add("datagrams_dropped")
            return
        for update in learned:
            self.apply_update(update)
        # A sender held for failed must hear so, or it would never take a new life.
        if sender in self.member_list.failed:
            self.buffer.add(self.member_list.failed[sender])
        self.last_received_at = self.clock.now()
        if kind == "ping":
            self.on_ping(number, source, about)
        elif kind == "ping-req":
            asyncio.get_running_loop().create_task(self.ping_on_behalf(number, source, about))
        elif kind == "ack":
            self.on_ack(number, about)

    def on_ping(self, number: int, source: network.Address, about: updates.Identity) -> None:
        # The answer names the life that gave it: a new life at the address is no sign of the old one's.
        self.send("ack", number, source, self.identity)
        if about != self.identity and about.name == self.identity.name:
            self.buffer.add(self.own_update())

    def on_ack(self, number: int, about: updates.Identity) -> None:
        future = self.acks.get(number)
        if future is not None and not future.done():
            future.set_result(about)

    async def ping(self, target: updates.Update, number: int, patience: float) -> bool:
        """One ping and its ack within `patience`; an ack given by another life does not count."""
        future = asyncio.get_running_loop().create_future()
        self.acks[number] = future
        self.send("ping", number, target.node_info.address, target.identity)
        try:
            async with asyncio.timeout(patience):
                answerer = await future
        except TimeoutError:
            return False
        finally:
            self.acks.pop(number, None)
        # Somebody else answers at the address, or a new life of the same node: the old life is over.
        if answerer != target.identity:
            self.apply_update(target._replace(state=updates.MemberState.CONFIRM))
        return answerer == target.identity

    async def ping_on_behalf(self, number: int, source: network.Address, about: updates.Identity) -> None:
        target = self.member_list.members.get(about)
        if target is None:
            return
        self.sequence += 1
        if await self.ping(target, self.sequence, self.parameters.period_seconds):
            self.send("ack", number, source, about)

    # -- the period ----------------------------------------------------------------------------------
    async def run(self) -> None:
        started = self.clock.now()
        while True:
            await self.run_protocol_period(started)
            now = self.clock.now()
            overrun = now - started - self.parameters.period_seconds
            # A process that was paused has watched nobody meanwhile: its suspicions have not ripened.
            if overrun > self.parameters.period_seconds:
                self.suspected_at = {who: at + overrun for who, at in self.suspected_at.items()}
                started = now
            else:
                started += self.parameters.period_seconds
            self.confirm_expired_suspicions()

    async def run_protocol_period(self, started: float) -> None:
        end = started + self.parameters.period_seconds
        target = self.member_list.next_ping_target()
        if target is not None:
            self.sequence += 1
            number = self.sequence
            if not await self.ping(target, number, self.parameters.ping_timeout_seconds):
                if not await self.ping_indirectly(target, number, end):
                    self.suspect(target)
        await asyncio.sleep(max(0.0, end - self.clock.now()))

    async def ping_indirectly(self, target: updates.Update, number: int, end: float) -> bool:
        future = asyncio.get_running_loop().create_future()
        self.acks[number] = future
        for helper in self.member_list.random_members(self.parameters.ping_req_members, target.identity):
            self.send("ping-req", number, helper.node_info.address, target.identity)
        try:
            async with asyncio.timeout(max(0.0, end - self.clock.now())):
                # A late direct ack counts as well: it bears the same number.
                return await future == target.identity
        except TimeoutError:
            return False
        finally:
            self.acks.pop(number, None)

    def suspect(self, target: updates.Update) -> None:
        current = self.member_list.members.get(target.identity)
        if current is not None and current.state is updates.MemberState.ALIVE:
            self.apply_update(current._replace(state=updates.MemberState.SUSPECT))

    def confirm_expired_suspicions(self) -> None:
        """Suspicions past their time-out become Confirm."""
        now = self.clock.now()
        # A node that hears nobody is the one cut off: it must not declare the whole fleet failed.
        if now - self.last_received_at > 2 * self.parameters.period_seconds:
            self.suspected_at = {who: now for who in self.suspected_at}
            return
        for identity, since in list(self.suspected_at.items()):
            if now - since >= self.suspicion_timeout_seconds():
                self.apply_update(
                    self.member_list.members[identity]._replace(state=updates.MemberState.CONFIRM)
                )

    def leave(self) -> None:
        """Say goodbye on a few pings at once; the rest of the fleet passes it on."""
        self.has_left = True
        self.buffer.add(self.own_update())
        for helper in self.member_list.random_members(4, self.identity):
            self.sequence += 1
            self.send("ping", self.sequence, helper.node_info.address, helper.identity)
