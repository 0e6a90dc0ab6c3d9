"""The SWIM failure detector with suspicion: pings, ping-reqs, acks, and updates riding on them."""

import asyncio
import collections.abc
import random

from irisstand import clocks, errors, event_log
from irisstand import counters as counting
from irisstand.membership import dissemination_buffer, member_list, updates
from irisstand.transport import codec, network

OnChange = collections.abc.Callable[[updates.Update], None]


class Tuning:
    """Defaults of ours; docs/swim.md says why each differs from the prototype's."""

    period = 0.5
    ping_patience = 0.15
    helpers = 3
    cap = 6
    factor = 3.0


class Detector:
    def __init__(
        self,
        name: str,
        card: updates.NodeInfo,
        clock: clocks.Clock,
        randomness: random.Random,
        counters: counting.Counters,
        tuning: type[Tuning] = Tuning,
    ) -> None:
        self.clock, self.randomness, self.counters, self.tuning = clock, randomness, counters, tuning
        self.card = card
        self.identity = updates.Identity(name, "")
        self.incarnation = 0
        self.roster = member_list.Roster(randomness)
        self.buffer = dissemination_buffer.Buffer()
        self.suspected_at: dict[updates.Identity, float] = {}
        self.acks: dict[int, asyncio.Future] = {}
        self.sequence = 0
        self.heard_at = clock.now()
        self.listeners: list[OnChange] = []
        self.port: network.Port | None = None
        self.leaving = False
        self.new_life()

    # -- what is known -------------------------------------------------------------------------------
    def new_life(self) -> None:
        """A start, or a return after being declared failed, is a life nobody has heard of."""
        life = f"{self.randomness.getrandbits(64):016x}"
        self.identity = updates.Identity(self.identity.name, life)
        self.incarnation = 0
        self.buffer.put(self.own_update())

    def own_update(self) -> updates.Update:
        state = updates.State.CONFIRM if self.leaving else updates.State.ALIVE
        return updates.Update(state, self.identity, self.incarnation, self.card, self.leaving)

    def suspicion_time(self) -> float:
        return self.limit() * self.tuning.period

    def limit(self) -> int:
        return dissemination_buffer.sending_limit(self.tuning.factor, len(self.roster.members) + 1)

    def learn(self, update: updates.Update) -> None:
        """Take one update, whoever sent it."""
        if update.identity == self.identity:
            self.hear_of_self(update)
            return
        # Another life under this node's own name is an earlier one: only its owner may end it for all.
        if update.identity.name == self.identity.name and update.state is not updates.State.CONFIRM:
            self.learn(update._replace(state=updates.State.CONFIRM))
            return
        if not self.roster.apply(update):
            return
        self.buffer.put(update)
        if update.state is updates.State.SUSPECT:
            self.suspected_at[update.identity] = self.clock.now()
        else:
            self.suspected_at.pop(update.identity, None)
        self.counters.add("swim_updates", state=update.state.name.lower())
        event_log.record(
            "swim", state=update.state.name, name=update.identity.name, life=update.identity.life
        )
        for listener in self.listeners:
            listener(update)

    def hear_of_self(self, update: updates.Update) -> None:
        if self.leaving:
            return
        if update.state is updates.State.CONFIRM:
            # Confirm is final for that life, so a node falsely declared failed comes back as a new one.
            self.counters.add("swim_lives")
            self.new_life()
        elif update.state is updates.State.SUSPECT and update.incarnation == self.incarnation:
            self.incarnation += 1
            self.buffer.put(self.own_update())

    # -- packets -------------------------------------------------------------------------------------
    def send(self, kind: str, number: int, address: network.Address, about: updates.Identity) -> None:
        riding = tuple(updates.encode(u) for u in self.buffer.pick(self.tuning.cap, self.limit()))
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
            self.learn(update)
        # A sender held for failed must hear so, or it would never take a new life.
        if sender in self.roster.failed:
            self.buffer.put(self.roster.failed[sender])
        self.heard_at = self.clock.now()
        if kind == "ping":
            self.on_ping(number, source, about)
        elif kind == "ping-req":
            asyncio.get_running_loop().create_task(self.relay(number, source, about))
        elif kind == "ack":
            self.on_ack(number, about)

    def on_ping(self, number: int, source: network.Address, about: updates.Identity) -> None:
        # The answer names the life that gave it: a new life at the address is no sign of the old one's.
        self.send("ack", number, source, self.identity)
        if about != self.identity and about.name == self.identity.name:
            self.buffer.put(self.own_update())

    def on_ack(self, number: int, about: updates.Identity) -> None:
        future = self.acks.get(number)
        if future is not None and not future.done():
            future.set_result(about)

    async def probe(self, target: updates.Update, number: int, patience: float) -> bool:
        """One ping and its ack within `patience`; an ack given by another life does not count."""
        future = asyncio.get_running_loop().create_future()
        self.acks[number] = future
        self.send("ping", number, target.card.address, target.identity)
        try:
            async with asyncio.timeout(patience):
                answerer = await future
        except TimeoutError:
            return False
        finally:
            self.acks.pop(number, None)
        # Somebody else answers at the address, or a new life of the same node: the old life is over.
        if answerer != target.identity:
            self.learn(target._replace(state=updates.State.CONFIRM))
        return answerer == target.identity

    async def relay(self, number: int, source: network.Address, about: updates.Identity) -> None:
        target = self.roster.members.get(about)
        if target is None:
            return
        self.sequence += 1
        if await self.probe(target, self.sequence, self.tuning.period):
            self.send("ack", number, source, about)

    # -- the period ----------------------------------------------------------------------------------
    async def run(self) -> None:
        started = self.clock.now()
        while True:
            await self.one_period(started)
            now = self.clock.now()
            overrun = now - started - self.tuning.period
            # A process that was paused has watched nobody meanwhile: its suspicions have not ripened.
            if overrun > self.tuning.period:
                self.suspected_at = {who: at + overrun for who, at in self.suspected_at.items()}
                started = now
            else:
                started += self.tuning.period
            self.ripen()

    async def one_period(self, started: float) -> None:
        end = started + self.tuning.period
        target = self.roster.next_target()
        if target is not None:
            self.sequence += 1
            number = self.sequence
            if not await self.probe(target, number, self.tuning.ping_patience):
                if not await self.probe_through_helpers(target, number, end):
                    self.suspect(target)
        await asyncio.sleep(max(0.0, end - self.clock.now()))

    async def probe_through_helpers(self, target: updates.Update, number: int, end: float) -> bool:
        future = asyncio.get_running_loop().create_future()
        self.acks[number] = future
        for helper in self.roster.helpers(self.tuning.helpers, target.identity):
            self.send("ping-req", number, helper.card.address, target.identity)
        try:
            async with asyncio.timeout(max(0.0, end - self.clock.now())):
                # A late direct ack counts as well: it bears the same number.
                return await future == target.identity
        except TimeoutError:
            return False
        finally:
            self.acks.pop(number, None)

    def suspect(self, target: updates.Update) -> None:
        current = self.roster.members.get(target.identity)
        if current is not None and current.state is updates.State.ALIVE:
            self.learn(current._replace(state=updates.State.SUSPECT))

    def ripen(self) -> None:
        """Suspicions past their time-out become Confirm."""
        now = self.clock.now()
        # A node that hears nobody is the one cut off: it must not declare the whole fleet failed.
        if now - self.heard_at > 2 * self.tuning.period:
            self.suspected_at = {who: now for who in self.suspected_at}
            return
        for identity, since in list(self.suspected_at.items()):
            if now - since >= self.suspicion_time():
                self.learn(self.roster.members[identity]._replace(state=updates.State.CONFIRM))

    def leave(self) -> None:
        """Say goodbye on a few pings at once; the rest of the fleet passes it on."""
        self.leaving = True
        self.buffer.put(self.own_update())
        for helper in self.roster.helpers(4, self.identity):
            self.sequence += 1
            self.send("ping", self.sequence, helper.card.address, helper.identity)
