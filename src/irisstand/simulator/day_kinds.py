"""Kinds of simulated days: shape of the cluster, limits of the services, faults and first configuration."""

import typing

from irisstand.localcluster import processes
from irisstand.simulator import fault_injector, origin_invariants

SHAPE = processes.ClusterShape(
    edges=3,
    shields=5,
    stores=2,
    sites=(("north", "one"), ("south", "one"), ("east", "two"), ("west", "two")),
    content_origins=4,
    application_origins=4,
    rate=40,
    deadline=3.0,
)
ONE_REGION = tuple((site, "one") for site in ("alpha", "beta", "gamma", "delta"))
SERVICES = ("content", "application")
# Low enough to be reached: a limit that nobody reaches shows nothing.
LOW_LIMITS: origin_invariants.ServiceLimits = {
    "content": origin_invariants.ServiceLimit(30, 15),
    "application": origin_invariants.ServiceLimit(20, 12),
}
HIGH_LIMITS: origin_invariants.ServiceLimits = {
    "content": origin_invariants.ServiceLimit(200, 100),
    "application": origin_invariants.ServiceLimit(200, 100),
}
# Number of paths that changes point at different services.
SWITCH_PATHS = 3


class DayKind(typing.NamedTuple):
    """How a day goes.

    Attributes:
        shape: The shape of the cluster.
        faults: Kinds of faults; empty: all but the total loss.
        pauses: Shortest and longest pause between faults, in virtual seconds.
        capacity: Requests per second that a shield is configured for.
        limits: Limits of the services.
        replace_after: Seconds after which a lost voter is replaced.
    """

    shape: processes.ClusterShape = SHAPE
    faults: tuple[str, ...] = ()
    pauses: tuple[float, float] = fault_injector.DEFAULT_PAUSES_SECONDS
    capacity: int = 100
    limits: origin_invariants.ServiceLimits = LOW_LIMITS
    replace_after: float = 5.0


# Kinds of days by name; a new one is an entry here.
KINDS = {
    "busy": DayKind(),
    # One region, and no more than a second for any request.
    "kildespor": DayKind(SHAPE._replace(sites=ONE_REGION, deadline=1.0)),
    # Long enough between losses for machines to go to standby, with capacities that make each loss count.
    "quiet": DayKind(
        SHAPE._replace(edges=4, rate=25),
        faults=("kill", "power", "freeze", "isolate", "drain", "wipe", "origin-down", "evacuate"),
        pauses=(8.0, 25.0),
        capacity=10,
    ),
    # All nodes are lost now and again, during changes, purges and smaller losses.
    "dark": DayKind(
        faults=("total-loss", "gone-after-yes", "kill", "wipe", "split", "stall"), pauses=(1.0, 5.0)
    ),
    # Operators work all day: restarts in order, evacuations, machines replaced.
    "planned": DayKind(
        faults=("roll", "drain", "evacuate", "core-replaced", "origin-leaves", "origins-replaced", "split"),
        pauses=(2.0, 6.0),
    ),
}


def first_configuration(kind: DayKind) -> list[dict[str, typing.Any]]:
    """Return the rows that the operators of a day send first."""
    services = [
        {
            "kind": "service",
            "name": name,
            "value": {
                "deadline": kind.shape.deadline,
                "ceiling": {"rate": limit.rate, "inflight": limit.in_flight},
            },
        }
        for name, limit in kind.limits.items()
    ]
    path_values: dict[str, dict[str, typing.Any]] = {
        "/vacancies/": {"grants": [{"service": "content", "methods": ["GET"]}], "life": 5},
        "/shortlists/": {"grants": [{"service": "application", "methods": ["GET"]}]},
        "/applications": {"grants": [{"service": "application", "methods": ["POST"]}]},
    }
    paths = [{"kind": "path", "name": name, "value": value} for name, value in path_values.items()]
    shields = [
        {"kind": "shield", "name": f"shield-machine-{number + 1}", "value": {"limit": kind.capacity}}
        for number in range(kind.shape.shields)
    ]
    switches = [switch_row(number, "content") for number in range(SWITCH_PATHS)]
    return [*services, *paths, *shields, *switches]


def switch_row(number: int, service: str) -> dict[str, typing.Any]:
    """Return the row of a path that operators point now at one service, now at the other."""
    value = {"grants": [{"service": service, "methods": ["GET"]}], "life": 2}
    return {"kind": "path", "name": f"/switch-{number}", "value": value}
