"""Measures the sizes of rows, members and messages on the real code, for docs/CAPACITY.md."""

import functools
import random
import time
import tracemalloc
import typing

from irisstand import clocks, counters
from irisstand.balancing import fleet_limits
from irisstand.dataplane.cache import object_cache, objects
from irisstand.membership import detector, updates
from irisstand.state import items, replica, versions
from irisstand.transport import codec


class Figure(typing.NamedTuple):
    """A measured figure: a description of what was measured, its unit, and its value."""

    description: str
    unit: str
    value: float


def make_update(number: int) -> updates.Update:
    """Return the SWIM update that announces a live member, whose names derive from the number."""
    name = f"edge-zone-{number % 25}-{number}"
    zone, region = f"zone-{number % 25}", f"region-{number % 10}"
    node_info = updates.NodeInfo("direct", name, zone, region, "10.100.100.100", 7661, 8140)
    return updates.Update(updates.MemberState.ALIVE, updates.Identity(name, f"{number:016x}"), 0, node_info)


def bytes_per_object(make: typing.Callable[[int], object], count: int) -> float:
    """Return the bytes of memory per object after `make` was called `count` times and its results kept."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    retained = [make(number) for number in range(count)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(retained)


def member_bytes(members: int) -> float:
    """Return the bytes of memory per member in a failure detector that knows this many members."""
    clock = clocks.MonotonicClock()
    counter_registry = counters.Counters()
    failure_detector = detector.FailureDetector(
        "own", make_update(0).node_info, clock, random.Random(1), counter_registry
    )
    return bytes_per_object(lambda number: failure_detector.apply_update(make_update(number + 1)), members)


def row_bytes(prefix: str, value: typing.Any, rows: int) -> float:
    """Return the bytes of memory per row in a table of this many rows with equal values."""
    table_replica = replica.Replica(items.LEDGER)
    version = versions.Version(1, "core-1~ab")
    return bytes_per_object(
        lambda n: table_replica.put(items.Item(f"{prefix}/{n:08d}", version, value)), rows
    )


def object_bytes(body: int, count: int) -> float:
    """Return the bytes of memory per cached object without its body.

    Args:
        body: Bytes of each body.
        count: Number of objects in the cache.
    """
    cache = object_cache.ObjectCache(1 << 40)
    headers = (("etag", '"v1"'), ("content-type", "text/html"))

    def put(number: int) -> None:
        applied = versions.Version(number, "n")
        cache.put(
            f"s h/{number}", objects.CachedObject(200, headers, bytes(body), applied, 0.0, 0.0, 20.0, ("t",))
        )

    return bytes_per_object(put, count) - body


def processor_seconds(work: typing.Callable[[], object], times: int = 20) -> float:
    """Return the processor time of one call in seconds, as the mean of `times` calls."""
    started = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started) / times


def measure() -> list[Figure]:
    """Measure all sizes and return the figures."""
    applied = (123456, "core-region-1-zone-1-1~0123456789ab")
    known_versions = (("blueprint", applied, bytes(16)), ("ledger", applied, bytes(16)))
    same = ((applied, 0.12, bytes(16), ("same",)),) * 2
    purge = ("purge/path/host.example/objects/1234", applied, {"purge": "path"})
    piggybacked_updates = tuple(make_update(number).to_wire() for number in range(6))
    ping = ("ping", 123456, ("edge-zone-1-1", "0" * 16), ("edge-zone-2-2", "0" * 16), piggybacked_updates)
    figures = [
        Figure(
            "a request for changes of two tables",
            "bytes",
            len(codec.pack(("ask", 1234, ("after", known_versions)))),
        ),
        Figure("a reply for two tables without changes", "bytes", len(codec.pack(("result", 1234, same)))),
        Figure("a reply that carries one purge", "bytes", len(codec.pack(("result", 1, purge)))),
        Figure("a ping with six membership updates", "bytes", len(codec.pack(ping))),
        Figure("a ping without membership updates", "bytes", len(codec.pack((*ping[:4], ())))),
        Figure("a cached object without its body", "bytes", object_bytes(6000, 2000)),
        Figure("a row of a purge", "bytes", row_bytes("purge", {"purge": "path"}, 5000)),
        Figure("a row of an origin", "bytes", row_bytes("origin", dict.fromkeys("abcdefg", "x" * 12), 5000)),
    ]
    for members in (50, 200, 800, 2100):
        figures.append(Figure(f"a member in a cluster of {members}", "bytes", member_bytes(members)))
        member_list = [
            fleet_limits.Member(f"e{number}", "direct", f"z{number % 25}") for number in range(members)
        ]
        work = functools.partial(
            fleet_limits.connection_limit, "e1", member_list, "o", 58, is_fetched_by_holders=False
        )
        split_seconds = processor_seconds(work)
        figures.append(Figure(f"dividing connections among {members} nodes", "ms", split_seconds * 1000))
    return figures
