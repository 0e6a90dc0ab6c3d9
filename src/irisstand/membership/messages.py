"""The datagrams of the failure detector: ping, ping-req and ack (SWIM paper, sections 3.1 and 4.1)."""

import enum
import typing

from irisstand.membership import updates
from irisstand.transport import codec

# The most updates that are accepted in one datagram, so that a hostile one does not cause much work.
UPDATES_LIMIT = 64


class MessageKind(enum.StrEnum):
    """The kinds of datagrams, with the names that are sent (SWIM paper, section 3.1)."""

    PING = "ping"
    PING_REQ = "ping-req"
    ACK = "ack"


class Datagram(typing.NamedTuple):
    """A message of the failure detector.

    Attributes:
        kind: A `MessageKind`, or a kind that a later version sends, of which only the updates are used.
        sequence_number: The number of a ping or ping-req; an ack has the number of what it answers.
        sender: The member that sends the datagram.
        target: In a ping, the member that is pinged; in a ping-req, the member to be pinged; in an ack, the
            member that is alive.
        piggybacked: Updates about members that the datagram carries along.
    """

    kind: str
    sequence_number: int
    sender: updates.Identity
    target: updates.Identity
    piggybacked: tuple[updates.Update, ...] = ()

    def to_wire(self) -> bytes:
        """Return the payload of the datagram in the form that is sent."""
        packed_updates = tuple(update.to_wire() for update in self.piggybacked)
        return codec.pack(
            (str(self.kind), self.sequence_number, tuple(self.sender), tuple(self.target), packed_updates)
        )

    @classmethod
    def from_wire(cls, payload: bytes) -> "Datagram":
        """Decode the payload of a datagram.

        Raises:
            MalformedFrameError: The payload is not a message in an accepted protocol.
            ValueError, TypeError: The fields are not those of a datagram.
        """
        kind, number, (name, incarnation_id), (target_name, target_incarnation_id), packed = codec.unpack(
            payload
        )
        if len(packed) > UPDATES_LIMIT or type(number) is not int:
            raise ValueError("a datagram has too many updates, or a sequence number that is not an integer")
        return cls(
            kind,
            number,
            updates.Identity(str(name), str(incarnation_id)),
            updates.Identity(str(target_name), str(target_incarnation_id)),
            tuple(updates.Update.from_wire(fields) for fields in packed),
        )
