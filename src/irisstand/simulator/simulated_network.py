"""State of the simulated network: latency, datagram loss, partitions, and the listeners at each address."""

import collections
import random
import typing

from irisstand.simulator import virtual_time
from irisstand.transport import network

# Shortest delays of a message in one direction; the longest is DELAY_SPREAD times as long.
DELAY_WITHIN_REGION_SECONDS = 0.0002
DELAY_BETWEEN_REGIONS_SECONDS = 0.006
DELAY_SPREAD = 1.5


class OpenStream(typing.Protocol):
    """One end of a connection, as far as the network uses it."""

    actor: virtual_time.Actor | None
    closed: bool

    def reset_peer(self) -> None:
        """Close the other end of the connection."""
        ...


class StreamHandler(typing.NamedTuple):
    """The process that accepts connections at an address, and its function for each of them."""

    actor: virtual_time.Actor
    on_stream: network.OnStream


class DatagramHandler(typing.NamedTuple):
    """The process that receives the datagrams of an address, and its function for each of them."""

    actor: virtual_time.Actor
    on_datagram: network.OnDatagram


class SimulatedNetwork:
    """The network between all simulated hosts.

    Attributes:
        loss: Share of all datagrams that are lost at random, from 0 to 1.
        partitioned_pairs: Pairs of hosts that cannot reach each other.
        regions: Name of the region of each host.
        listeners: Handler of new connections by the address at which it listens.
        ports: Handler of datagrams by the address to which it is bound.
        streams: Both ends of the connections that were open when the last one was opened.
        bytes_sent: Bytes of frames and datagrams that each host has sent.
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
        """Return a random delay in seconds for one message between two hosts."""
        is_near = self.regions.get(one) == self.regions.get(other)
        base = DELAY_WITHIN_REGION_SECONDS if is_near else DELAY_BETWEEN_REGIONS_SECONDS
        return base * self.randomness.uniform(1.0, DELAY_SPREAD)

    def is_machine_up(self, host: str) -> bool:
        """Return whether a host is up, which is when a process on it receives datagrams."""
        return any(address[0] == host for address in self.ports)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether a partition separates two hosts."""
        return one != other and frozenset((one, other)) in self.partitioned_pairs

    def partition(self, hosts: typing.Iterable[str], other_hosts: typing.Iterable[str]) -> None:
        """Separate each of these hosts from each of the other hosts, in addition to existing partitions."""
        other_hosts = list(other_hosts)
        self.partitioned_pairs |= {
            frozenset((one, other)) for one in hosts for other in other_hosts if one != other
        }

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitioned_pairs.clear()

    def disconnect(self, actor: virtual_time.Actor, *, reset: bool) -> None:
        """Close all listeners, datagram sockets and connections of a process that has ended.

        Args:
            actor: The process that has ended.
            reset: Whether the peers of its connections receive a reset; after a power loss they do not.
        """
        self.listeners = {at: entry for at, entry in self.listeners.items() if entry.actor is not actor}
        self.ports = {at: entry for at, entry in self.ports.items() if entry.actor is not actor}
        for stream in self.streams:
            if stream.actor is actor:
                stream.closed = True
                if reset:
                    stream.reset_peer()
        self.streams = [stream for stream in self.streams if not stream.closed]
