"""Splits the connection limit of an origin over the nodes that connect to it; see docs/control/ceilings.md.

No node counts the connections of all nodes. Each node computes its own share of somewhat less than the
limit, so that the sum stays within the limit even if the nodes' member lists differ by a node or two. Rate
limits are split by recorded quota shares instead: see `rate_quota`.
"""

import math
import typing

from irisstand.balancing import rendezvous

# The fraction of an origin's limit that all nodes together use. The rest allows for member lists that differ
# and for requests with unequal travel times.
USABLE_FRACTION = 0.85
# The fraction of an origin's connections that belongs to object holders, where they fetch most objects.
HOLDER_FRACTION = 0.86
# A node that had a single connection could send no request while another one is in flight.
MIN_CONNECTIONS = 2
HOLDER_ROLE = "holder"


class Member(typing.NamedTuple):
    """A node that connects to origins: an edge (role `direct`) or an object holder (role `holder`)."""

    name: str
    role: str
    site: str


def connection_limit(
    own_name: str, members: list[Member], origin: str, limit: int, *, is_fetched_by_holders: bool
) -> int:
    """Return how many connections this node may open to an origin; 0 if it may open none.

    If object holders fetch a service's objects, most connections belong to them. If there are too few
    connections for all nodes, rendezvous hashing by the origin's name chooses the nodes that get some, so
    that each node gets connections to some of the origins.

    Args:
        own_name: The name of this node, which is one of the members.
        members: All nodes that connect to origins.
        origin: The instance name of the origin.
        limit: The number of connections that the origin accepts from all nodes together.
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
    """Return this node's share of the `total` connections that a group of nodes splits evenly."""
    share = total // len(group)
    if share >= MIN_CONNECTIONS:
        return share
    owners = rendezvous.ranked(origin, [(name, 1.0) for name in group])[: max(1, total // MIN_CONNECTIONS)]
    return MIN_CONNECTIONS if own_name in owners else 0
