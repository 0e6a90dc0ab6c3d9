"""SWIM updates about members, and which of two updates overrides the other (SWIM paper, section 4.2)."""

import enum
import typing

# Limits on the texts and numbers that are accepted from other nodes.
TEXT_LENGTH_LIMIT = 128
NUMBER_LIMIT = 2**53
PORT_LIMIT = 2**16


class Identity(typing.NamedTuple):
    """A node and one incarnation of its process; Confirm is final for this incarnation.

    Attributes:
        name: The name of the node.
        incarnation_id: A random id, which is chosen at each start and after each false Confirm. It is not the
            incarnation number of the paper, which is `Update.incarnation_number`: a node without a disk would
            forget that number when it restarts.
    """

    name: str
    incarnation_id: str


class NodeInfo(typing.NamedTuple):
    """The role, location and ports of a member, which never change within an incarnation."""

    role: str
    machine: str
    site: str
    region: str
    host: str
    port: int
    http_port: int

    @property
    def address(self) -> tuple[str, int]:
        """The host and port at which peers reach the member."""
        return (self.host, self.port)

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "NodeInfo":
        """Decode and check received fields; raises ValueError or TypeError if they are not a node info."""
        info = cls(*_checked_fields(fields, len(cls._fields)))
        _check_texts(info.role, info.machine, info.site, info.region, info.host)
        _check_numbers(info.port, info.http_port)
        if not 0 < info.port < PORT_LIMIT or info.http_port >= PORT_LIMIT:
            raise ValueError("a port in an update is out of range")
        return info


class MemberState(enum.IntEnum):
    """The states of a member in the SWIM paper: Alive, Suspect, Confirm."""

    ALIVE = 0
    SUSPECT = 1
    CONFIRM = 2


class Update(typing.NamedTuple):
    """A statement about the state of a member, which is disseminated to all members.

    Attributes:
        state: The state that the member is said to be in.
        identity: The member and its incarnation.
        incarnation_number: The incarnation number of the paper, which only the member itself raises, to
            refute a suspicion.
        node_info: The role, location and ports of the member.
        has_left: Whether the member itself sent this Confirm when it shut down.
    """

    state: MemberState
    identity: Identity
    incarnation_number: int
    node_info: NodeInfo
    has_left: bool = False

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields of the update as plain values, which msgpack can encode."""
        return (
            int(self.state),
            tuple(self.identity),
            self.incarnation_number,
            tuple(self.node_info),
            self.has_left,
        )

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Update":
        """Decode and check received fields; raises ValueError or TypeError if they are not an update."""
        state, (name, incarnation_id), incarnation_number, node_info, has_left = fields
        _check_texts(name, incarnation_id)
        _check_numbers(incarnation_number)
        if type(has_left) is not bool or not name:
            raise ValueError("an update has no member name, or a has_left flag that is not a bool")
        identity = Identity(name, incarnation_id)
        return cls(MemberState(state), identity, incarnation_number, NodeInfo.from_wire(node_info), has_left)


def overrides(new: Update, old: Update) -> bool:
    """Return whether `new` overrides `old` in the order of the paper, whichever member sent it.

    >>> node_info = NodeInfo("edge", "m", "s", "r", "127.0.0.1", 1, 2)
    >>> me = Identity("a", "1")
    >>> suspect = Update(MemberState.SUSPECT, me, 1, node_info)
    >>> overrides(Update(MemberState.ALIVE, me, 2, node_info), suspect)
    True
    >>> overrides(Update(MemberState.ALIVE, me, 1, node_info), suspect)
    False
    """
    if old.state is MemberState.CONFIRM:
        return False
    if new.state is MemberState.CONFIRM:
        return True
    if new.state is MemberState.SUSPECT and old.state is MemberState.ALIVE:
        return new.incarnation_number >= old.incarnation_number
    return new.incarnation_number > old.incarnation_number


def _checked_fields(fields: typing.Any, length: int) -> list[typing.Any]:
    found = list(fields)
    if len(found) != length:
        raise ValueError(f"a node info has {len(found)} fields in place of {length}")
    return found


def _check_texts(*texts: typing.Any) -> None:
    if not all(isinstance(text, str) and len(text) <= TEXT_LENGTH_LIMIT for text in texts):
        raise ValueError("a text in an update is not a string, or is too long")


def _check_numbers(*numbers: typing.Any) -> None:
    # A bool is an int in Python, so the exact type is checked.
    if not all(type(number) is int and 0 <= number < NUMBER_LIMIT for number in numbers):
        raise ValueError("a number in an update is not an integer in range")
