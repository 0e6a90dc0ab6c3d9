"""The datagrams of the failure detector: ping, ping-req, ack (SWIM paper, sections 3.1 and 4.1)."""

import enum
import typing

from irisstand.membership import updates
from irisstand.transport import codec

# Of one datagram; a hostile one must not make a node work for long.
UPDATES_LIMIT = 64


class MessageKind(enum.StrEnum):
    """The kinds of datagram as they stand on the wire (paper, section 3.1)."""

    PING = "ping"
    PING_REQ = "ping-req"
    ACK = "ack"


class Datagram(typing.NamedTuple):
    """One message of the failure detector.

    Attributes:
        kind: A MessageKind, or the kind of a later version, of which only the updates are used.
        sequence_number: Of the ping or ping-req; an ack bears the number of what it answers.
        sender: The member that sends this datagram.
        target: Of a ping the member that is pinged; of a ping-req the one that is to be pinged; of an ack the
            one that is alive.
        piggybacked: Updates about members that the message carries.
    """

    kind: str
    sequence_number: int
    sender: updates.Identity
    target: updates.Identity
    piggybacked: tuple[updates.Update, ...] = ()

    def to_wire(self) -> bytes:
        """Return the payload of the datagram."""
        packed_updates = tuple(update.to_wire() for update in self.piggybacked)
        return codec.pack(
            (str(self.kind), self.sequence_number, tuple(self.sender), tuple(self.target), packed_updates)
        )

    @classmethod
    def from_wire(cls, payload: bytes) -> "Datagram":
        """Decode a payload.

        Raises:
            MalformedFrameError: The payload is not of an accepted protocol.
            ValueError, TypeError: The fields are not those of a datagram.
        """
        kind, number, (name, incarnation_id), (target_name, target_incarnation_id), packed = codec.unpack(
            payload
        )
        if len(packed) > UPDATES_LIMIT or type(number) is not int:
            raise ValueError("no such datagram")
        return cls(
            kind,
            number,
            updates.Identity(str(name), str(incarnation_id)),
            updates.Identity(str(target_name), str(target_incarnation_id)),
            tuple(updates.Update.from_wire(fields) for fields in packed),
        )
