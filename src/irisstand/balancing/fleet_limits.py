"""Connection limits of origins, split over the nodes that reach them; see docs/control/ceilings.md.

No node counts for all. Connections are split evenly, below the limit, so that member lists that differ by a
node or two do no harm. Rate limits are split by recorded quota shares instead: see `rate_quota`.
"""

import math
import typing

from irisstand.balancing import rendezvous

# Of a limit over all nodes: the rest is for member lists that differ and requests that travel unequally long.
USABLE_FRACTION = 0.85
# Of an origin's connections, what object holders have where they fetch most objects.
HOLDER_FRACTION = 0.86
# With a single connection, it is in use while the next is needed.
MIN_CONNECTIONS = 2
HOLDER_ROLE = "holder"


class Member(typing.NamedTuple):
    """A node that reaches origins: an edge (role `direct`), or an object holder (role `holder`)."""

    name: str
    role: str
    site: str


def connection_limit(
    own_name: str, members: list[Member], origin: str, limit: int, *, is_fetched_by_holders: bool
) -> int:
    """Return how many connections this node may have to an origin; 0 for none.

    Where holders fetch a service's objects, most connections belong to them. Where there are too few for all
    nodes, rendezvous hashing by the origin chooses who has some, so that each node has some to some origins.

    Args:
        own_name: This node's name, which is among the members.
        members: All nodes that reach origins.
        origin: The origin's instance name.
        limit: The connections that the origin accepts from all nodes together.
        is_fetched_by_holders: Whether object holders fetch objects of the origin's service.

    >>> listed = [Member(f"e{number}", "direct", "n") for number in range(8)] + [Member("h", "holder", "n")]
    >>> connection_limit("e1", listed, "o", 100, is_fetched_by_holders=False)
    10
    >>> connection_limit("h", listed, "o", 100, is_fetched_by_holders=True)
    73
    >>> sum(connection_limit(member.name, listed, "o", 10, is_fetched_by_holders=False) for member in listed)
    8
    """
    holders = [member.name for member in members if member.role == HOLDER_ROLE]
    edges = [member.name for member in members if member.role != HOLDER_ROLE]
    total = math.floor(limit * USABLE_FRACTION)
    is_holder = own_name in holders
    if holders and is_fetched_by_holders:
        holder_total = math.floor(total * HOLDER_FRACTION)
        total = holder_total if is_holder else total - holder_total
    elif is_holder:
        return 0
    return even_share(own_name, holders if is_holder else edges, origin, total)


def even_share(own_name: str, group: list[str], origin: str, total: int) -> int:
    """Return this node's part of connections that are split over a group of nodes."""
    share = total // len(group)
    if share >= MIN_CONNECTIONS:
        return share
    owners = rendezvous.ranked(origin, [(name, 1.0) for name in group])[: max(1, total // MIN_CONNECTIONS)]
    return MIN_CONNECTIONS if own_name in owners else 0
