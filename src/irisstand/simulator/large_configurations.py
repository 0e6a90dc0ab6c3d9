"""Cost of large configurations, measured on the real code: bytes, processor time and memory of a node."""

import time
import tracemalloc
import types
import typing

import ormsgpack

from irisstand import node_context
from irisstand.dataplane.routing import route_table
from irisstand.simulator import sizes
from irisstand.state import items, replica, versions
from irisstand.state.replication import chunk_transfer, messages
from irisstand.validation import item_entries

LOOKUPS = 5000


def route(number: int, version: int = 1) -> dict[str, typing.Any]:
    """Return the item of one route."""
    fields = {"host": "api.example", "prefix": f"/extra/{number}/", "kind": "cacheable", "timeout": 2.5}
    more = {"attempts": 2, "cache_life": 10.0, "target": 0.4, "service": "content"}
    return {"name": f"extra-{number:05d}", "version": version, **fields, **more}


def filled(count: int) -> replica.Replica:
    """Return a table to which one change has brought so many routes."""
    copy = replica.Replica(items.CONFIGURATION)
    rows = [
        items.Row(f"route/extra-{n:05d}", {"version": 1, "item": route(n)}, is_removal=False)
        for n in range(count)
    ]
    copy.apply(items.Batch(versions.Version(1, "core-1"), copy.applied, tuple(rows)))
    return copy


def change_one(copy: replica.Replica) -> items.Item:
    """Change one route and return its new item."""
    version = versions.Version(copy.applied.counter + 1, "core-1")
    value = {"version": version.counter, "item": route(7, version.counter)}
    row = items.Row("route/extra-00007", value, is_removal=False)
    copy.apply(items.Batch(version, copy.applied, (row,)))
    changed: items.Item = copy.items[row.key]
    return changed


def chunks_of(copy: replica.Replica) -> list[chunk_transfer.Chunk]:
    """Return the whole table as chunks."""
    cursor = messages.Cursor(versions.NONE, replica.KEY_UPPER_BOUND)
    found: list[chunk_transfer.Chunk] = []
    while not found or found[-1].end is not None:
        found.append(chunk_transfer.build_chunk(copy, cursor))
        cursor = found[-1].end or cursor
    return found


def take(parts: list[chunk_transfer.Chunk], applied: versions.Version, root: bytes) -> replica.Replica:
    """Return the replica that an edge makes of the chunks."""
    copy = replica.Replica(items.CONFIGURATION)
    rows = [item for part in parts for item in chunk_transfer.unpack_items(part.packed_items)]
    if not copy.apply_changes(applied, root, rows, []):
        raise ValueError("the parts do not add up")
    return copy


def compiled(copy: replica.Replica) -> route_table.RouteTable:
    """Return the compiled routes of a configuration."""
    # Of the node context a route table uses only the configuration.
    context = typing.cast(node_context.NodeContext, types.SimpleNamespace(configuration=copy))
    table = route_table.RouteTable(context)
    table.refresh()
    return table


def timed(work: typing.Callable[[], object]) -> float:
    """Return the processor time of one call in milliseconds."""
    started = time.process_time()
    work()
    return (time.process_time() - started) * 1000


def memory(count: int) -> float:
    """Return the megabytes of the rows and of the routes compiled from them."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = filled(count)
    table = compiled(copy)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / 1e6 if table.by_name else 0.0


def measure(count: int) -> list[sizes.Figure]:
    """Measure a configuration of so many routes."""
    copy = filled(count)
    parts = chunks_of(copy)
    plain = sum(len(ormsgpack.packb(item.to_wire())) for item in copy.items.values())
    table = compiled(copy)
    listed = {"put": {"routes": [route(number) for number in range(count)]}}
    standing = {item.key: item.value["item"] for item in copy.items.values()}
    standing["upstream/content"] = {"name": "content"}
    figures = [
        sizes.Figure("all rows, packed", "kB", plain / 1000),
        sizes.Figure(
            "all rows in compressed parts", "kB", sum(len(part.packed_items) for part in parts) / 1000
        ),
        sizes.Figure("the largest part", "kB", max(len(part.packed_items) for part in parts) / 1000),
        sizes.Figure("parts", "parts", len(parts)),
        sizes.Figure("a core node cuts all parts, once for all askers", "ms", timed(lambda: chunks_of(copy))),
        sizes.Figure(
            "an edge takes all rows", "ms", timed(lambda: take(parts, copy.applied, copy.root_digest()))
        ),
        sizes.Figure("an edge compiles all rows", "ms", timed(lambda: compiled(copy))),
        sizes.Figure(
            "a core node checks a call with all rows", "ms", timed(lambda: item_entries.read(listed))
        ),
        sizes.Figure(
            "a core node checks the table as it would stand",
            "ms",
            timed(lambda: item_entries.faults_of_table(standing)),
        ),
        sizes.Figure("memory of rows and routes", "MB", memory(count)),
    ]
    changed = change_one(copy)
    figures.append(sizes.Figure("a changed row on its way", "bytes", len(ormsgpack.packb(changed.to_wire()))))
    figures.append(sizes.Figure("an edge compiles a changed row", "ms", timed(table.refresh)))
    path = f"/extra/{count - 1}/x"
    lookup = sizes.seconds(lambda: table.match("api.example", path), LOOKUPS)
    return [*figures, sizes.Figure("a lookup", "us", lookup * 1e6)]
