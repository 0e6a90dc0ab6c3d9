"""Joining through seeds, and exchange of member lists, which the SWIM paper leaves open (docs/swim.md)."""

import asyncio
import typing

from irisstand import errors
from irisstand.membership import detector, updates
from irisstand.transport import network, peers

# The kind of the request between nodes that exchanges member lists.
EXCHANGE_KIND = "roster"
# How many protocol periods lie between two exchanges of member lists.
EXCHANGE_INTERVAL_PERIODS = 10
# How long an exchange waits for the peer's reply.
EXCHANGE_TIMEOUT_SECONDS = 2.0
# The share of exchanges that are made with a seed, listed as a member or not: after a partition the member
# list may lack every node on the other side.
SEED_EXCHANGE_PROBABILITY = 0.3
# The pause between requests to the seeds while no member is known.
SEED_RETRY_SECONDS = 0.08
# The errors of a failed exchange: the request failed, or the reply is malformed.
EXCHANGE_ERRORS = (errors.IrisError, ValueError, TypeError)


class ExchangeRequest(typing.NamedTuple):
    """A request for a peer's member list.

    Attributes:
        digest: The digest of the requester's member list. A peer whose list has the same digest returns
            nothing; "" requests the whole list.
        member_updates: The requester's update about itself, or its updates about all members.
    """

    digest: typing.Any
    member_updates: list[updates.Update]

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the request in the form that is sent."""
        return (self.digest, tuple(update.to_wire() for update in self.member_updates))

    @classmethod
    def from_wire(cls, body: typing.Any) -> "ExchangeRequest":
        """Decode and check a body; raises ValueError or TypeError if it is not an exchange request."""
        digest, packed = body
        return cls(digest, [updates.Update.from_wire(fields) for fields in packed])


class Peer(typing.NamedTuple):
    """A peer to exchange member lists with; an empty name means whichever node answers at the address."""

    address: network.Address
    name: str


class Joiner:
    """Finds the first members through the seeds, and then regularly exchanges member lists with other nodes.

    Attributes:
        joined: Set once a member is known, or if there are no seeds.
    """

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
        """Replace the addresses of the seeds; this node's own address is left out."""
        own = self.detector.node_info.address
        self.seeds = [(host, port) for host, port in seeds if (host, port) != own]

    async def on_exchange(self, _sender: str, body: typing.Any) -> tuple[typing.Any, ...]:
        """Apply a peer's updates, and return the updates about all members if the peer's list differs."""
        request = ExchangeRequest.from_wire(body)
        for update in request.member_updates:
            self.detector.apply_update(update)
        if request.digest == self._digest():
            return ()
        return tuple(update.to_wire() for update in self._all_updates())

    async def exchange(self, address: network.Address, name: str, *, sends_all: bool) -> None:
        """Send updates to a peer and apply the updates that it returns.

        Args:
            address: The address of the peer.
            name: The node name of the peer; "" for whichever node answers at the address.
            sends_all: Whether to send the updates about all members and request the peer's whole list.
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
        """Join the cluster, then exchange member lists for as long as the process runs."""
        period = self.detector.parameters.period_seconds
        while True:
            members = list(self.detector.member_list.members.values())
            if not members:
                await self._call_seeds()
            if self.detector.member_list.members or not self.seeds:
                self.joined.set()
            if not members:
                # All nodes may be starting now, and the first one up should not wait long for the others.
                await asyncio.sleep(period if self.detector.member_list.members else SEED_RETRY_SECONDS)
                continue
            await asyncio.sleep(EXCHANGE_INTERVAL_PERIODS * period)
            await self._exchange_with_random_peer(members)

    async def _call_seeds(self) -> None:
        # All seeds are called at once until one has answered: one that has lost power never replies.
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
