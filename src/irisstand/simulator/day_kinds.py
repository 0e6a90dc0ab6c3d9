"""Kinds of simulated days: shape of the cluster, limits of services, faults and initial configuration."""

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
# Low enough for the clients of a day to reach: a limit that is never reached leaves its check untested.
LOW_LIMITS: origin_invariants.ServiceLimits = {
    "content": origin_invariants.ServiceLimit(30, 15),
    "application": origin_invariants.ServiceLimit(20, 12),
}
HIGH_LIMITS: origin_invariants.ServiceLimits = {
    "content": origin_invariants.ServiceLimit(200, 100),
    "application": origin_invariants.ServiceLimit(200, 100),
}
# Number of paths whose service operators change during a day.
SWITCH_PATHS = 3


class DayKind(typing.NamedTuple):
    """Parameters of a simulated day.

    Attributes:
        shape: Number of nodes and origins, their sites, and the rate of client requests.
        faults: Kinds of faults to inject; empty means all kinds but the total loss of the cluster.
        pauses: Shortest and longest pause between two faults, in virtual seconds.
        capacity: Configured capacity of each shield, in requests per second.
        limits: Rate limit and concurrency limit of each service.
        replace_after: Virtual seconds after which an unreachable voter is replaced.
    """

    shape: processes.ClusterShape = SHAPE
    faults: tuple[str, ...] = ()
    pauses: tuple[float, float] = fault_injector.DEFAULT_PAUSES_SECONDS
    capacity: int = 100
    limits: origin_invariants.ServiceLimits = LOW_LIMITS
    replace_after: float = 5.0


# All kinds of days by the name that the command line takes.
KINDS = {
    "busy": DayKind(),
    # All sites are in one region, and each request has a deadline of one second.
    "kildespor": DayKind(SHAPE._replace(sites=ONE_REGION, deadline=1.0)),
    # The pauses between faults are long enough for machines to go to standby, and capacities are so low that
    # the loss of any machine can leave too little capacity.
    "quiet": DayKind(
        SHAPE._replace(edges=4, rate=25),
        faults=("kill", "power", "freeze", "isolate", "drain", "wipe", "origin-down", "evacuate"),
        pauses=(8.0, 25.0),
        capacity=10,
    ),
    # Several times a day all nodes lose power at once, amid changes, purges and faults of single nodes.
    "dark": DayKind(
        faults=("total-loss", "gone-after-yes", "kill", "wipe", "split", "stall"), pauses=(1.0, 5.0)
    ),
    # Origins answer twice, late, while they are slow, fail and move, and while nodes are lost.
    "stuttering": DayKind(
        faults=("origin-stutter", "origin-stutter", "origin-slow", "origin-fault", "kill", "split"),
        pauses=(0.3, 2.0),
    ),
    # Planned operations all day: graceful restarts, evacuations of sites, replaced machines and origins.
    "planned": DayKind(
        faults=("roll", "drain", "evacuate", "core-replaced", "origin-leaves", "origins-replaced", "split"),
        pauses=(2.0, 6.0),
    ),
}


def first_configuration(kind: DayKind) -> list[dict[str, typing.Any]]:
    """Return the rows of the first change of a day, which configures services, paths and shields."""
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
    """Return the row that routes the numbered switch path to this service; the path is cached for 2 s."""
    value = {"grants": [{"service": service, "methods": ["GET"]}], "life": 2}
    return {"kind": "path", "name": f"/switch-{number}", "value": value}
