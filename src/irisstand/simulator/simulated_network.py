"""The simulated network between all machines: latency, loss, partitions, and who listens where."""

import collections
import random
import typing

from irisstand.simulator import virtual_time
from irisstand.transport import network

# One way, at the least; the most is half as much again.
DELAY_WITHIN_REGION_SECONDS = 0.0002
DELAY_BETWEEN_REGIONS_SECONDS = 0.006
DELAY_SPREAD = 1.5


class OpenStream(typing.Protocol):
    """What the network needs of one end of a connection."""

    actor: virtual_time.Actor | None
    closed: bool

    def reset_peer(self) -> None:
        """Close the other end."""
        ...


class StreamHandler(typing.NamedTuple):
    """Who accepts the connections at an address."""

    actor: virtual_time.Actor
    on_stream: network.OnStream


class DatagramHandler(typing.NamedTuple):
    """Who receives the datagrams at an address."""

    actor: virtual_time.Actor
    on_datagram: network.OnDatagram


class SimulatedNetwork:
    """The network between all machines.

    Attributes:
        loss: Share of datagrams that are lost.
        cuts: Pairs of hosts that cannot reach one another.
        regions: The region of each host.
        listeners: Who accepts connections at an address.
        ports: Who receives datagrams at an address.
        bytes_sent: Bytes by sending host.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.loss = 0.0
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.regions: dict[str, str] = {}
        self.listeners: dict[network.Address, StreamHandler] = {}
        self.ports: dict[network.Address, DatagramHandler] = {}
        self.streams: list[OpenStream] = []
        self.bytes_sent: collections.Counter[str] = collections.Counter()

    def delay(self, one: str, other: str) -> float:
        """Draw the delay of one message between two hosts, in seconds."""
        is_near = self.regions.get(one) == self.regions.get(other)
        base = DELAY_WITHIN_REGION_SECONDS if is_near else DELAY_BETWEEN_REGIONS_SECONDS
        return base * self.randomness.uniform(1.0, DELAY_SPREAD)

    def is_machine_up(self, host: str) -> bool:
        """Return whether a process on this host receives datagrams."""
        return any(address[0] == host for address in self.ports)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether two hosts cannot reach one another."""
        return one != other and frozenset((one, other)) in self.partitioned_pairs

    def partition(self, hosts: typing.Iterable[str], other_hosts: typing.Iterable[str]) -> None:
        """Cut the links between each of some hosts and each of the others."""
        other_hosts = list(other_hosts)
        self.partitioned_pairs |= {
            frozenset((one, other)) for one in hosts for other in other_hosts if one != other
        }

    def heal(self) -> None:
        """Undo all cuts."""
        self.partitioned_pairs.clear()

    def disconnect(self, actor: virtual_time.Actor, *, reset: bool) -> None:
        """Close what a process that is gone had open.

        Args:
            actor: The process.
            reset: Whether its peers get a reset; they get none when the machine lost its power.
        """
        self.listeners = {at: entry for at, entry in self.listeners.items() if entry.actor is not actor}
        self.ports = {at: entry for at, entry in self.ports.items() if entry.actor is not actor}
        for stream in self.streams:
            if stream.actor is actor:
                stream.closed = True
                if reset:
                    stream.reset_peer()
        self.streams = [stream for stream in self.streams if not stream.closed]
