"""What SWIM says about a member, and which of two updates overrides the other (SWIM paper, section 4.2)."""

import enum
import typing

# Limits of what is accepted from other nodes.
TEXT_LENGTH_LIMIT = 128
NUMBER_LIMIT = 2**53
PORT_LIMIT = 2**16


class Identity(typing.NamedTuple):
    """A node and one incarnation of its process; Confirm is final for that incarnation.

    Attributes:
        name: The node's name.
        incarnation_id: Random, drawn at each start and after each false Confirm. It is not the number of the
            paper, which `Update.incarnation_number` is: a node without a disk would forget that one.
    """

    name: str
    incarnation_id: str


class NodeInfo(typing.NamedTuple):
    """Where a member is and what it is; it never changes within an incarnation."""

    role: str
    machine: str
    site: str
    region: str
    host: str
    port: int
    http_port: int

    @property
    def address(self) -> tuple[str, int]:
        """Where peers reach the member."""
        return (self.host, self.port)

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "NodeInfo":
        """Check decoded fields; raises ValueError or TypeError if they are no node info."""
        info = cls(*_checked_fields(fields, len(cls._fields)))
        _check_texts(info.role, info.machine, info.site, info.region, info.host)
        _check_numbers(info.port, info.http_port)
        if not 0 < info.port < PORT_LIMIT or info.http_port >= PORT_LIMIT:
            raise ValueError("a port of an update is out of range")
        return info


class MemberState(enum.IntEnum):
    """The states of the paper: Alive, Suspect, Confirm."""

    ALIVE = 0
    SUSPECT = 1
    CONFIRM = 2


class Update(typing.NamedTuple):
    """One piece of news about a member.

    Attributes:
        state: What the member is said to be.
        identity: The member.
        incarnation_number: The paper's number, which only the member itself raises, to refute a suspicion.
        node_info: Where the member is and what it is.
        has_left: Whether the member itself said Confirm, at its shutdown.
    """

    state: MemberState
    identity: Identity
    incarnation_number: int
    node_info: NodeInfo
    has_left: bool = False

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the fields as they are sent, of types that msgpack can encode."""
        return (
            int(self.state),
            tuple(self.identity),
            self.incarnation_number,
            tuple(self.node_info),
            self.has_left,
        )

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Update":
        """Check decoded fields; raises ValueError or TypeError if they are no update."""
        state, (name, incarnation_id), incarnation_number, node_info, has_left = fields
        _check_texts(name, incarnation_id)
        _check_numbers(incarnation_number)
        if type(has_left) is not bool or not name:
            raise ValueError("an update names no member")
        identity = Identity(name, incarnation_id)
        return cls(MemberState(state), identity, incarnation_number, NodeInfo.from_wire(node_info), has_left)


def overrides(new: Update, old: Update) -> bool:
    """Return whether `new` takes the place of `old`, by the order of the paper; the sender does not matter.

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
        raise ValueError(f"{len(found)} fields in place of {length}")
    return found


def _check_texts(*texts: typing.Any) -> None:
    if not all(isinstance(text, str) and len(text) <= TEXT_LENGTH_LIMIT for text in texts):
        raise ValueError("a text of an update is not a short string")


def _check_numbers(*numbers: typing.Any) -> None:
    # bool is an int to Python.
    if not all(type(number) is int and 0 <= number < NUMBER_LIMIT for number in numbers):
        raise ValueError("a number of an update is not a number in range")
