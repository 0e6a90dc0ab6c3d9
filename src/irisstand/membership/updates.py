"""What SWIM says about a member, and which of two sayings wins (paper, section 4.2)."""

import enum
import typing


class Identity(typing.NamedTuple):
    """A node and one life of it: every start is a new life, so Confirm is final for the old one."""

    name: str
    incarnation_id: str


class NodeInfo(typing.NamedTuple):
    """Where a member is and what it is; it never changes within a life."""

    role: str
    machine: str
    site: str
    region: str
    host: str
    port: int
    http_port: int

    @property
    def address(self) -> tuple[str, int]:
        return (self.host, self.port)


class MemberState(enum.IntEnum):
    ALIVE = 0
    SUSPECT = 1
    CONFIRM = 2


class Update(typing.NamedTuple):
    state: MemberState
    identity: Identity
    incarnation_number: int
    node_info: NodeInfo
    has_left: bool = False


def overrides(new: Update, old: Update) -> bool:
    """The paper's order of preference, whoever sent either.

    >>> node_info = NodeInfo("edge", "m", "s", "r", "127.0.0.1", 1, 2)
    >>> me = Identity("a", "1")
    >>> overrides(Update(MemberState.ALIVE, me, 1, node_info), Update(MemberState.SUSPECT, me, 0, node_info))
    True
    >>> overrides(Update(MemberState.ALIVE, me, 1, node_info), Update(MemberState.SUSPECT, me, 1, node_info))
    False
    """
    if old.state is MemberState.CONFIRM:
        return False
    if new.state is MemberState.CONFIRM:
        return True
    if new.state is MemberState.SUSPECT and old.state is MemberState.ALIVE:
        return new.incarnation_number >= old.incarnation_number
    return new.incarnation_number > old.incarnation_number


def encode(update: Update) -> tuple:
    state, identity, incarnation_number, node_info, has_left = update
    return (int(state), tuple(identity), incarnation_number, tuple(node_info), has_left)


def decode(parts: typing.Any) -> Update:
    """Raises ValueError or TypeError on anything that is not an update."""
    state, (name, life), incarnation_number, node_info, has_left = parts
    role, machine, site, region, host, port, http_port = node_info
    words = (name, life, role, machine, site, region, host)
    if not all(isinstance(word, str) and len(word) <= 128 for word in words):
        raise ValueError("a word of an update is not a short string")
    if not all(
        type(number) is int and 0 <= number < 2**53 for number in (incarnation_number, port, http_port)
    ):
        raise ValueError("a number of an update is not one")
    if not 0 < port < 65536 or http_port >= 65536 or type(has_left) is not bool or not name:
        raise ValueError("an update names no member")
    place = NodeInfo(role, machine, site, region, host, port, http_port)
    return Update(MemberState(state), Identity(name, life), incarnation_number, place, has_left)
