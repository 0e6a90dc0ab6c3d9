"""What big configurations cost, measured on the real code: bytes on the way, processor time at each node."""

import time
import tracemalloc
import types
import typing

import ormsgpack

from irisstand.dataplane.routing import route_table
from irisstand.simulator import sizes
from irisstand.state import items, replica, versions
from irisstand.state.replication import chunk_transfer, messages
from irisstand.validation import item_entries

LOOKUPS = 5000


class Figure(typing.NamedTuple):
    what: str
    unit: str
    figure: float


def route(number: int, version: int = 1) -> dict[str, typing.Any]:
    fields = {"host": "api.example", "prefix": f"/extra/{number}/", "kind": "cacheable", "timeout": 2.5}
    more = {"attempts": 2, "cache_life": 10.0, "target": 0.4, "service": "content"}
    return {"name": f"extra-{number:05d}", "version": version, **fields, **more}


def filled(count: int) -> replica.Replica:
    """A table to which one change has brought so many routes."""
    copy = replica.Replica(items.CONFIGURATION)
    rows = [items.Row(f"route/extra-{n:05d}", {"version": 1, "item": route(n)}, False) for n in range(count)]
    copy.apply(items.Batch(versions.Version(1, "core-1"), copy.applied, tuple(rows)))
    return copy


def change_one(copy: replica.Replica) -> items.Item:
    version = versions.Version(copy.applied.counter + 1, "core-1")
    value = {"version": version.counter, "item": route(7, version.counter)}
    row = items.Row("route/extra-00007", value, False)
    copy.apply(items.Batch(version, copy.applied, (row,)))
    return copy.items[row.key]


def parts_of(copy: replica.Replica) -> list[chunk_transfer.Chunk]:
    cursor, found = messages.Cursor(versions.NONE, replica.KEY_UPPER_BOUND), []
    while not found or found[-1].end is not None:
        found.append(chunk_transfer.cut_chunk(copy, cursor))
        cursor = found[-1].end or cursor
    return found


def take(parts: list[chunk_transfer.Chunk], applied: versions.Version, root: bytes) -> replica.Replica:
    """What an edge does with the parts."""
    copy = replica.Replica(items.CONFIGURATION)
    rows = [item for part in parts for item in chunk_transfer.unpack_items(part.packed_items)]
    if not copy.apply_changes(applied, root, rows, []):
        raise ValueError("the parts do not add up")
    return copy


def compiled(copy: replica.Replica) -> route_table.RouteTable:
    table = route_table.RouteTable(types.SimpleNamespace(configuration=copy))
    table.refresh()
    return table


def timed(work: typing.Callable[[], object]) -> float:
    started = time.process_time()
    work()
    return (time.process_time() - started) * 1000


def memory(count: int) -> float:
    """Megabytes of the rows and of the routes compiled from them."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = filled(count)
    table = compiled(copy)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / 1e6 if table.by_name else 0.0


def measure(count: int) -> list[Figure]:
    copy = filled(count)
    parts = parts_of(copy)
    plain = sum(len(ormsgpack.packb(item.to_wire())) for item in copy.items.values())
    table = compiled(copy)
    listed = {"put": {"routes": [route(number) for number in range(count)]}}
    standing = {item.key: item.value["item"] for item in copy.items.values()}
    standing["upstream/content"] = {"name": "content"}
    figures = [
        Figure("all rows, packed", "kB", plain / 1000),
        Figure("all rows in compressed parts", "kB", sum(len(part.packed_items) for part in parts) / 1000),
        Figure("the largest part", "kB", max(len(part.packed_items) for part in parts) / 1000),
        Figure("parts", "parts", len(parts)),
        Figure("a core node cuts all parts, once for all askers", "ms", timed(lambda: parts_of(copy))),
        Figure("an edge takes all rows", "ms", timed(lambda: take(parts, copy.applied, copy.root_digest()))),
        Figure("an edge compiles all rows", "ms", timed(lambda: compiled(copy))),
        Figure("a core node checks a call with all rows", "ms", timed(lambda: item_entries.read(listed))),
        Figure(
            "a core node checks the table as it would stand",
            "ms",
            timed(lambda: item_entries.faults_of(standing)),
        ),
        Figure("memory of rows and routes", "MB", memory(count)),
    ]
    changed = change_one(copy)
    figures.append(Figure("a changed row on its way", "bytes", len(ormsgpack.packb(changed.to_wire()))))
    figures.append(Figure("an edge compiles a changed row", "ms", timed(table.refresh)))
    path = f"/extra/{count - 1}/x"
    lookup = sizes.seconds(lambda: table.match("api.example", path), LOOKUPS)
    return [*figures, Figure("a lookup", "us", lookup * 1e6)]
