"""Scenarios for the model checker: voters and sites, requests of clients, and faults that may be injected."""

import enum
import typing

from irisstand.controlplane.changes import orders


class StepKind(enum.StrEnum):
    """The kinds of requests that clients make."""

    ORDER = "order"
    READ = "read"
    ENROL = "enrol"


class StepResult(enum.StrEnum):
    """The result of a client step.

    Attributes:
        CONFIRMED: The order was confirmed as in force.
        FAILED: The order was refused, or the read failed.
        UNKNOWN: The node reported that the outcome of the order is unknown.
        LOST: The node was down, or crashed before it reported a result.
        READ: A heartbeat round for the read completed.
    """

    CONFIRMED = "yes"
    FAILED = "no"
    UNKNOWN = "unknown"
    LOST = "lost"
    READ = "read"


class ClientStep(typing.NamedTuple):
    """A request that a client makes.

    Attributes:
        kind: The kind of the request.
        node: The name of the node that receives the request.
        order: The order to submit, if the request is an order.
        after: The number of the step that must have a result before this one starts; None to start at once.
        joining_node: The name of the node to enrol as a voter, if the request is an enrolment; None for the
            spare node.
    """

    kind: StepKind
    node: str
    order: orders.Order | None = None
    after: int | None = None
    joining_node: str | None = None


class Scenario(typing.NamedTuple):
    """The clients, nodes and faults of one model check.

    Attributes:
        name: The name of the scenario on the command line.
        steps: The requests of clients.
        sites: The site of each node, in the order of the node names.
        faults: The maximum number of crashes and wipes in a run.
        replaced_voter: The name of the voter that the spare node replaces when it is enrolled.
        wipeable_nodes: The names of the nodes whose disks may be wiped without the loss of a majority.
    """

    name: str
    steps: tuple[ClientStep, ...]
    sites: tuple[str, ...] = ("one", "two", "three", "four")
    faults: int = 1
    replaced_voter: str = "c"
    wipeable_nodes: tuple[str, ...] = ("a", "b", "c")


def site_order(change: str, weight: int, name: str = "north", **fields: typing.Any) -> orders.Order:
    """Return an order that sets the weight of a site.

    Args:
        change: The change id of the order.
        weight: The weight of the site.
        name: The name of the site.
        **fields: More fields of the row, such as the version that the order expects.
    """
    row = {"kind": "site", "name": name, "value": {"weight": weight}, **fields}
    return orders.Order("change", change, [row])


def limits_order(version: int, header_bytes: int) -> orders.Order:
    """Return an order that amends the limits.

    Args:
        version: The version number of the amended item.
        header_bytes: The new limit for the size of headers, in bytes.
    """
    value = {"version": version, "item": {"version": version, "header_bytes": header_bytes}}
    return orders.Order("amend", "", [("limits/all", value)])


# The smallest scenario: one order, and a read once the order has a result.
SINGLE = Scenario(
    "single", (ClientStep(StepKind.ORDER, "a", site_order("x", 1)), ClientStep(StepKind.READ, "c", after=0))
)
# Two orders expect the same version of a row, so at most one is confirmed; a later read must see it.
RACE = Scenario(
    "race",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1, expected="0@")),
        ClientStep(StepKind.ORDER, "b", site_order("y", 2, expected="0@")),
        ClientStep(StepKind.READ, "c", after=0),
    ),
)
# The same order is sent to two proposers, which must report the same result.
TWICE = Scenario(
    "twice",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ORDER, "b", site_order("x", 1)),
        ClientStep(StepKind.READ, "d", after=0),
    ),
)
# The second order starts when the first has any result, also if the first proposer crashed.
HANDOVER = Scenario(
    "handover",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ORDER, "b", site_order("y", 2), after=0),
        ClientStep(StepKind.READ, "c", after=0),
    ),
)
# The voter set changes while an order is being decided.
VOTERS = Scenario(
    "voters",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ENROL, "b"),
        ClientStep(StepKind.ORDER, "a", site_order("y", 2), after=1),
        ClientStep(StepKind.READ, "d", after=2),
    ),
)
# Two of the three voters are in one site, so a majority of these two alone must not decide anything.
SITES = Scenario(
    "sites",
    (
        ClientStep(StepKind.ORDER, "a", site_order("x", 1)),
        ClientStep(StepKind.ORDER, "b", site_order("y", 2)),
    ),
    sites=("one", "one", "two", "two"),
    wipeable_nodes=("a", "b"),
)
# Two proposers each get an amendment with the same version number, but with different content.
CONTENTS = Scenario(
    "contents",
    (
        ClientStep(StepKind.ORDER, "a", limits_order(3, 1000)),
        ClientStep(StepKind.ORDER, "b", limits_order(3, 2000)),
        ClientStep(StepKind.READ, "c", after=0),
    ),
)

# All scenarios; a new one is added to `ALL` and thereby to the registry by name.
ALL = (SINGLE, RACE, TWICE, HANDOVER, VOTERS, SITES, CONTENTS)
REGISTRY = {scenario.name: scenario for scenario in ALL}
