"""Scenarios of the model check: who votes, what clients order and read, and which faults may happen."""

import enum
import typing

from irisstand.controlplane.changes import orders


class StepKind(enum.StrEnum):
    """What a client asks of a node."""

    ORDER = "order"
    READ = "read"
    ENROL = "enrol"


class StepResult(enum.StrEnum):
    """How a client's step ended; LOST: the node crashed before it could say."""

    CONFIRMED = "yes"
    FAILED = "no"
    UNKNOWN = "unknown"
    LOST = "lost"
    READ = "read"


class ClientStep(typing.NamedTuple):
    """One request of a client.

    Attributes:
        kind: What is asked.
        node: The node that is asked.
        order: The order, for an order.
        after: Number of the step that must be over before; None: at once.
        newcomer: The node that becomes a voter, for an enrolment; None: the scenario's spare.
    """

    kind: StepKind
    node: str
    order: orders.Order | None = None
    after: int | None = None
    joining_node: str | None = None


class Scenario(typing.NamedTuple):
    """What one model check runs.

    Attributes:
        name: The name on the command line.
        steps: What clients do.
        sites: The site of each node, in the order of their names.
        faults: Number of crashes and wipes that a run may have.
        leaves: The voter that the spare replaces.
        wiped: Nodes whose disk may be lost, within what a majority survives.
    """

    name: str
    steps: tuple[ClientStep, ...]
    sites: tuple[str, ...] = ("one", "two", "three", "four")
    faults: int = 1
    replaced_voter: str = "c"
    wipeable_nodes: tuple[str, ...] = ("a", "b", "c")


def site_order(change: str, weight: int, name: str = "north", **fields: typing.Any) -> orders.Order:
    """Return an order that sets a site's weight under a change id."""
    row = {"kind": "site", "name": name, "value": {"weight": weight}, **fields}
    return orders.Order("change", change, [row])


def limits_order(version: int, header_bytes: int) -> orders.Order:
    """Return an order that amends the limits under a version number."""
    value = {"version": version, "item": {"version": version, "header_bytes": header_bytes}}
    return orders.Order("amend", "", [("limits/all", value)])


# The smallest: one order, and a majority check after it.
SINGLE = Scenario(
    "single", (ClientStep(StepKind.ORDER, "a", site_order("x", 1)), ClientStep(StepKind.READ, "c", after=0))
)
# Two orders that expect the same version: one may win, and whoever reads after the yes sees it.
RACE = Scenario(
    "race",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1, expected="0@")),
        ClientStep(StepKind.ORDER, "b", site_order("y", 2, expected="0@")),
        ClientStep(StepKind.READ, "c", after=0),
    ),
)
# One order sent to two proposers: both name one result.
TWICE = Scenario(
    "twice",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ORDER, "b", site_order("x", 1)),
        ClientStep(StepKind.READ, "d", after=0),
    ),
)
# The second order comes when the first is over, however it ended, perhaps with its proposer.
HANDOVER = Scenario(
    "handover",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ORDER, "b", site_order("y", 2), after=0),
        ClientStep(StepKind.READ, "c", after=0),
    ),
)
# A change of voters beside an order.
VOTERS = Scenario(
    "voters",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ENROL, "b"),
        ClientStep(StepKind.ORDER, "a", site_order("y", 2), after=1),
        ClientStep(StepKind.READ, "d", after=2),
    ),
)
# Two of three voters in one site: that majority alone decides nothing.
SITES = Scenario(
    "sites",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ORDER, "b", site_order("y", 2)),
    ),
    sites=("one", "one", "two", "two"),
    wipeable_nodes=("a", "b"),
)
# Two contents under one version, at two proposers.
CONTENTS = Scenario(
    "contents",
    (
        ClientStep(StepKind.ORDER, "a", limits_order(3, 1000)),
        ClientStep(StepKind.ORDER, "b", limits_order(3, 2000)),
        ClientStep(StepKind.READ, "c", after=0),
    ),
)

# Scenarios by name; a new one is an entry here.
ALL = (SINGLE, RACE, TWICE, HANDOVER, VOTERS, SITES, CONTENTS)
REGISTRY = {scenario.name: scenario for scenario in ALL}
