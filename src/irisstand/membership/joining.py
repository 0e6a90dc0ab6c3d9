"""Joining by seeds, and the exchange of member lists: what the SWIM paper leaves open (docs/swim.md)."""

import asyncio
import typing

from irisstand import errors
from irisstand.membership import detector, updates
from irisstand.transport import network, peers

# The kind of request on the wire.
EXCHANGE_KIND = "roster"
EXCHANGE_INTERVAL_PERIODS = 10
EXCHANGE_TIMEOUT_SECONDS = 2.0
# How often an exchange is with a seed, whatever its state: after a partition, nobody else may be on the list.
SEED_EXCHANGE_PROBABILITY = 0.3
# Between calls of the seeds while no member is known.
SEED_RETRY_SECONDS = 0.08
# What an exchange may end with: a failed call, or a malformed reply.
EXCHANGE_ERRORS = (errors.IrisError, ValueError, TypeError)


class ExchangeRequest(typing.NamedTuple):
    """A request for a peer's member list.

    Attributes:
        digest: Of the caller's list. A peer with an equal list sends nothing back; "" asks for all of it.
        member_updates: What the caller tells of itself or of all members.
    """

    digest: typing.Any
    member_updates: list[updates.Update]

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the request."""
        return (self.digest, tuple(update.to_wire() for update in self.member_updates))

    @classmethod
    def from_wire(cls, body: typing.Any) -> "ExchangeRequest":
        """Check a decoded body; raises ValueError or TypeError if it is no request for a member list."""
        digest, packed = body
        return cls(digest, [updates.Update.from_wire(fields) for fields in packed])


class Peer(typing.NamedTuple):
    """Whom to exchange member lists with; the name is empty for whoever answers at the address."""

    address: network.Address
    name: str


class Joiner:
    """Finds the first members by the seeds, and later compares member lists with others."""

    def __init__(
        self,
        detector: detector.FailureDetector,
        transport: peers.Transport,
        seeds: list[network.Address],
    ) -> None:
        self.detector = detector
        self.transport = transport
        self.seeds: list[network.Address] = []
        self.set_seeds(seeds)
        self.joined = asyncio.Event()
        transport.handlers[EXCHANGE_KIND] = self.on_exchange

    def set_seeds(self, seeds: list[network.Address]) -> None:
        """Take other seeds; this node's own address is left out."""
        own = self.detector.node_info.address
        self.seeds = [(host, port) for host, port in seeds if (host, port) != own]

    async def on_exchange(self, _sender: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Take a peer's updates, and return those of all members if its list differs from this node's."""
        request = ExchangeRequest.from_wire(body)
        for update in request.member_updates:
            self.detector.apply_update(update)
        if request.digest == self._digest():
            return ()
        return tuple(update.to_wire() for update in self._all_updates())

    async def exchange(self, address: network.Address, name: str, *, sends_all: bool) -> None:
        """Send updates to a peer and take those that it sends back.

        Args:
            address: The peer's address.
            name: The peer's node name; "" for whoever answers there.
            sends_all: Whether to send the updates of all members and ask for the peer's whole list.
        """
        if sends_all:
            request = ExchangeRequest("", self._all_updates())
        else:
            request = ExchangeRequest(self._digest(), [self.detector.own_update()])
        reply = await self.transport.call(
            address, name, EXCHANGE_KIND, request.to_wire(), EXCHANGE_TIMEOUT_SECONDS
        )
        for fields in reply:
            self.detector.apply_update(updates.Update.from_wire(fields))

    def _digest(self) -> str:
        return self.detector.member_list.digest(self.detector.own_update())

    def _all_updates(self) -> list[updates.Update]:
        return [self.detector.own_update(), *self.detector.member_list.all_updates()]

    async def run(self) -> None:
        """Join, and exchange member lists for as long as the process lives."""
        period = self.detector.parameters.period_seconds
        while True:
            members = list(self.detector.member_list.members.values())
            if not members:
                await self._call_seeds()
            if self.detector.member_list.members or not self.seeds:
                self.joined.set()
            if not members:
                # All nodes may have been started at this moment: the first one up should not wait for long.
                await asyncio.sleep(period if self.detector.member_list.members else SEED_RETRY_SECONDS)
                continue
            await asyncio.sleep(EXCHANGE_INTERVAL_PERIODS * period)
            await self._exchange_with_random_peer(members)

    async def _call_seeds(self) -> None:
        # All at once, until one has answered: a seed without power answers nothing at all.
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self.exchange(seed, "", sends_all=True)) for seed in self.seeds]
        pending = set(tasks)
        try:
            while pending and not self.detector.member_list.members:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    error = task.exception()
                    if error is not None and not isinstance(error, EXCHANGE_ERRORS):
                        raise error
        finally:
            for task in pending:
                task.cancel()

    async def _exchange_with_random_peer(self, members: list[updates.Update]) -> None:
        peer = self._choose_peer(members)
        try:
            await self.exchange(peer.address, peer.name, sends_all=False)
        except EXCHANGE_ERRORS:
            self.detector.counters.add("swim_compare_failed")

    def _choose_peer(self, members: list[updates.Update]) -> "Peer":
        randomness = self.detector.randomness
        seed = randomness.choice(self.seeds) if self.seeds else None
        if seed is not None and randomness.random() < SEED_EXCHANGE_PROBABILITY:
            return Peer(seed, "")
        member = randomness.choice(members)
        return Peer(member.node_info.address, member.identity.name)
