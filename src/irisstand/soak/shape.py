"""The shape of one soak run: how many processes, how scarce the origins are, and what the clients do."""

import random
import typing

# What the platform of the users sets for a stop: SIGKILL follows SIGTERM after the grace.
GRACE_SECONDS = 6.0
EDGE_LAME_DUCK_SECONDS = 2.3
OTHER_LAME_DUCK_SECONDS = 0.3
# Farewell and drain together.
SHUTDOWN_SECONDS = 5.5
# The part of the runs in which clients read slowly.
SLOW_READER_SHARE = 0.3
LARGE_FLEET_EDGES = 40
LARGE_FLEET_HOLDERS = 10


class WorkTimes(typing.NamedTuple):
    """How long origins work on a request, in seconds: drawn between the two, short times more often."""

    least: float
    most: float


class SoakShape(typing.NamedTuple):
    """One run, drawn from a seed.

    Attributes:
        seed: The seed of all draws.
        seconds: How long clients send.
        edges: Processes of role direct.
        holders: Processes of role holder.
        control_nodes: Processes of the control plane.
        zones: How many sites the processes are spread over.
        clients: Clients with a connection of their own each.
        rate: What the service of the objects may get from all nodes, in requests a second.
        connections: What each of its origins accepts from all nodes; with few, most edges have none.
        work: How long origins work.
        object_bytes: The size of an answer's body.
        deadlines: The seconds that a client waits, drawn for each request.
        is_thin: Whether clients take in answers slowly.
        stops: Edges that get SIGTERM.
    """

    seed: int
    seconds: float
    edges: int
    holders: int
    control_nodes: int
    zones: int
    clients: int
    rate: float
    connections: int
    work: WorkTimes
    object_bytes: int
    deadlines: tuple[float, ...]
    is_thin: bool
    stops: int


def draw(seed: int, edges: int | None, seconds: float) -> SoakShape:
    """Draw a shape; `edges` sets the number of edges, which is drawn too if it is None."""
    randomness = random.Random(seed)
    count = edges or randomness.choice((5, 8, 12, 16))
    zones = randomness.choice((1, 2, 3))
    is_thin = randomness.random() < SLOW_READER_SHARE
    return SoakShape(
        seed=seed,
        seconds=seconds,
        edges=count,
        holders=randomness.choice((0, 2, 2, 4)) if count < LARGE_FLEET_EDGES else LARGE_FLEET_HOLDERS,
        control_nodes=3,
        zones=zones,
        clients=3 * count,
        rate=randomness.choice((12.0, 25.0, 60.0)),
        connections=randomness.choice((14, 30, 58)),
        work=WorkTimes(0.1, randomness.choice((1.0, 3.0, 4.5))),
        object_bytes=randomness.choice((600, 20_000, 200_000)) if is_thin else 600,
        deadlines=randomness.choice(((5.4, 9.9), (3.3, 5.4), (2.5, 9.3))),
        is_thin=is_thin,
        stops=max(3, int(seconds * count / 40)),
    )
