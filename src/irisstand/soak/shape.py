"""Parameters of one soak run, drawn from a seed: processes, limits of the origins, conduct of clients."""

import random
import typing

# Grace period of the platform that nodes are deployed on: SIGKILL follows this long after SIGTERM.
GRACE_SECONDS = 6.0
# Lame duck time at shutdown: a node reports not ready but still accepts requests.
EDGE_LAME_DUCK_SECONDS = 2.3
OTHER_LAME_DUCK_SECONDS = 0.3
# Lame duck and drain time together; less than the grace period.
SHUTDOWN_SECONDS = 5.5
# A voter that is missing for this long is replaced.
REPLACE_VOTER_SECONDS = 1.2
# Fraction of the runs in which clients read responses slowly.
SLOW_READER_SHARE = 0.3
# Average time between two kills.
SECONDS_PER_KILL = 5.0
# With stuttering origins: the fraction of the requests that are answered more than once, and the average time
# between two purges.
STUTTER_SHARE = 0.9
SECONDS_PER_PURGE = 0.1
# Longest time that an origin works on a request; shorter with purges, so that many fetches begin anew.
LONG_WORK_SECONDS = (1.0, 3.0, 4.5)
STUTTER_WORK_FACTOR = 0.25
# Number of objects; with purges there are so few that most are purged while they are fetched.
OBJECT_COUNT = 150
HOT_OBJECT_COUNT = 6
# Average time between two overlapping series, and the fraction of the clients that never pause.
SECONDS_PER_SERIES = 4.0
BUSY_CLIENT_SHARE = 0.5
# From this number of edges on, a run always has `LARGE_FLEET_HOLDERS` holders.
LARGE_FLEET_EDGES = 40
LARGE_FLEET_HOLDERS = 10


class WorkTimes(typing.NamedTuple):
    """Range from which an origin draws the time that it works on a request; short times are more frequent.

    Attributes:
        least: Lower bound in seconds.
        most: Upper bound in seconds.
    """

    least: float
    most: float


class SoakShape(typing.NamedTuple):
    """Parameters of one run, drawn from a seed; the run prints them under these names.

    Attributes:
        seed: Seed of all random choices of the run except the network of the addresses.
        seconds: How long clients send requests, in seconds.
        edges: Number of edge processes (role "direct").
        holders: Number of processes with the role "holder".
        control_nodes: Number of control plane processes.
        zones: Number of sites that the processes are spread over.
        clients: Number of clients; each has its own connection.
        rate: Rate limit of the service "content" over all nodes together, in requests per second.
        connections: Connections that each origin of "content" accepts from all nodes together. If the
            number is small, most edges have no connection.
        work: How long an origin works on a request.
        object_bytes: Size of a response body in bytes.
        deadlines: Timeouts in seconds, one of which a client draws for each request.
        is_thin: Whether clients are thin clients, which read responses slowly.
        stops: Number of times that an edge is to be sent SIGTERM.
        kills: Number of times that processes are to be sent SIGKILL.
        series: Number of series in which signals, restarts and changes follow one another and overlap.
        busy_clients: Number of clients that send on their open connection without a pause until it ends.
        stutter_share: Fraction of the requests that origins answer more than once, the second time late.
        purges: Number of times that an object changes and is purged.
        objects: Number of objects that clients ask for.
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
    kills: int = 0
    series: int = 0
    busy_clients: int = 0
    stutter_share: float = 0.0
    purges: int = 0
    objects: int = OBJECT_COUNT


def draw(  # noqa: PLR0913 - the kinds of trouble are independent of each other
    seed: int,
    edges: int | None,
    seconds: float,
    *,
    kills: bool = False,
    series: bool = False,
    stutter: bool = False,
) -> SoakShape:
    """Draw the parameters of a run from its seed.

    Args:
        seed: Seed of the run.
        edges: Number of edges; None to draw it from the seed.
        seconds: How long clients send requests, in seconds.
        kills: Whether processes are killed, too, and lose their disks.
        series: Whether there are overlapping series, and clients that never pause.
        stutter: Whether origins answer some requests more than once, while objects change and are purged.
    """
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
        work=WorkTimes(0.1, randomness.choice(LONG_WORK_SECONDS) * (STUTTER_WORK_FACTOR if stutter else 1)),
        object_bytes=randomness.choice((600, 20_000, 200_000)) if is_thin else 600,
        deadlines=randomness.choice(((5.4, 9.9), (3.3, 5.4), (2.5, 9.3))),
        is_thin=is_thin,
        stops=max(3, int(seconds * count / 40)),
        kills=max(3, round(seconds / SECONDS_PER_KILL)) if kills else 0,
        series=max(2, round(seconds / SECONDS_PER_SERIES)) if series else 0,
        busy_clients=int(3 * count * BUSY_CLIENT_SHARE) if series else 0,
        stutter_share=STUTTER_SHARE if stutter else 0.0,
        objects=HOT_OBJECT_COUNT if stutter else OBJECT_COUNT,
        purges=round(seconds / SECONDS_PER_PURGE) if stutter else 0,
    )
