"""The sizes that are checked: who votes, what clients order and read, and what may go wrong."""

import typing

from irisstand.controlplane.changes import orders

ORDER, READ, ENROL = "order", "read", "enrol"


class Step(typing.NamedTuple):
    """A client's step at a node, begun once step `after` is over, or at once."""

    kind: str
    node: str
    order: orders.Order | None = None
    after: int | None = None


class Scenario(typing.NamedTuple):
    """`faults`: crashes and wipes that a run may have; `wiped`: whose disk may go, within what a majority
    bears; `leaves`: the voter whose place `d` takes.
    """

    name: str
    steps: tuple[Step, ...]
    sites: tuple[str, ...] = ("one", "two", "three", "four")
    faults: int = 1
    leaves: str = "c"
    wiped: tuple[str, ...] = ("a", "b", "c")


def site(change: str, weight: int, name: str = "north", **more: typing.Any) -> orders.Order:
    row = {"kind": "site", "name": name, "value": {"weight": weight}, **more}
    return orders.Order("change", change, [row])


def limits(version: int, size: int) -> orders.Order:
    value = {"version": version, "item": {"version": version, "header_bytes": size}}
    return orders.Order("amend", "", [("limits/all", value)])


# The smallest: one order, and a majority check after it.
SINGLE = Scenario("single", (Step(ORDER, "a", site("x", 1)), Step(READ, "c", after=0)))
# Two orders that expect the same version: one may win, and whoever reads after the yes sees it.
RACE = Scenario(
    "race",
    (
        Step(ORDER, "a", site("x", 1, expected="0@")),
        Step(ORDER, "b", site("y", 2, expected="0@")),
        Step(READ, "c", after=0),
    ),
)
# One order sent to two proposers: both name one result.
TWICE = Scenario(
    "twice",
    (
        Step(ORDER, "a", site("x", 1)),
        Step(ORDER, "b", site("x", 1)),
        Step(READ, "d", after=0),
    ),
)
# The second order comes when the first is over, however it ended, perhaps with its proposer.
HANDOVER = Scenario(
    "handover",
    (
        Step(ORDER, "a", site("x", 1)),
        Step(ORDER, "b", site("y", 2), after=0),
        Step(READ, "c", after=0),
    ),
)
# A change of voters beside an order.
VOTERS = Scenario(
    "voters",
    (
        Step(ORDER, "a", site("x", 1)),
        Step(ENROL, "b"),
        Step(ORDER, "a", site("y", 2), after=1),
        Step(READ, "d", after=2),
    ),
)
# Two of three voters in one site: that majority alone decides nothing.
SITES = Scenario(
    "sites",
    (
        Step(ORDER, "a", site("x", 1)),
        Step(ORDER, "b", site("y", 2)),
    ),
    sites=("one", "one", "two", "two"),
    wiped=("a", "b"),
)
# Two contents under one version, at two proposers.
CONTENTS = Scenario(
    "contents",
    (
        Step(ORDER, "a", limits(3, 1000)),
        Step(ORDER, "b", limits(3, 2000)),
        Step(READ, "c", after=0),
    ),
)

# Plug-in point: a scenario is an entry here.
REGISTRY = {one.name: one for one in (SINGLE, RACE, TWICE, HANDOVER, VOTERS, SITES, CONTENTS)}
