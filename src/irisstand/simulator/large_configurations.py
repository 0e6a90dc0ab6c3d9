"""Measures what large configurations cost one node: bytes, processor time and memory, on the real code."""

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


def route_item(number: int, version: int = 1) -> dict[str, typing.Any]:
    """Return the configuration item of one route, whose name and prefix derive from the number."""
    fields = {"host": "api.example", "prefix": f"/extra/{number}/", "kind": "cacheable", "timeout": 2.5}
    other_fields = {"attempts": 2, "cache_life": 10.0, "target": 0.4, "service": "content"}
    return {"name": f"extra-{number:05d}", "version": version, **fields, **other_fields}


def replica_with_routes(count: int) -> replica.Replica:
    """Return a replica of the configuration after one change that added this number of routes."""
    table_replica = replica.Replica(items.CONFIGURATION)
    rows = [
        items.Row(f"route/extra-{n:05d}", {"version": 1, "item": route_item(n)}, is_removal=False)
        for n in range(count)
    ]
    table_replica.apply(items.Batch(versions.Version(1, "core-1"), table_replica.applied, tuple(rows)))
    return table_replica


def change_one_route(table_replica: replica.Replica) -> items.Item:
    """Apply a change of one route to a replica and return the new item."""
    version = versions.Version(table_replica.applied.counter + 1, "core-1")
    value = {"version": version.counter, "item": route_item(7, version.counter)}
    row = items.Row("route/extra-00007", value, is_removal=False)
    table_replica.apply(items.Batch(version, table_replica.applied, (row,)))
    changed: items.Item = table_replica.items[row.key]
    return changed


def build_chunks(table_replica: replica.Replica) -> list[chunk_transfer.Chunk]:
    """Return the whole table as the chunks that a full transfer sends."""
    cursor = messages.Cursor(versions.NONE, replica.KEY_UPPER_BOUND)
    chunks: list[chunk_transfer.Chunk] = []
    while not chunks or chunks[-1].end is not None:
        chunks.append(chunk_transfer.build_chunk(table_replica, cursor))
        cursor = chunks[-1].end or cursor
    return chunks


def replica_from_chunks(
    chunks: list[chunk_transfer.Chunk], applied: versions.Version, root: bytes
) -> replica.Replica:
    """Return the replica that an edge builds from the chunks of a full transfer."""
    table_replica = replica.Replica(items.CONFIGURATION)
    rows = [item for chunk in chunks for item in chunk_transfer.unpack_items(chunk.packed_items)]
    if not table_replica.apply_changes(applied, root, rows, []):
        raise ValueError("the rows of the chunks do not match the root digest")
    return table_replica


def compile_routes(table_replica: replica.Replica) -> route_table.RouteTable:
    """Return the route table that is compiled from a replica of the configuration."""
    # A route table uses no attribute of the node context but the configuration.
    context = typing.cast(node_context.NodeContext, types.SimpleNamespace(configuration=table_replica))
    table = route_table.RouteTable(context)
    table.refresh()
    return table


def processor_milliseconds(work: typing.Callable[[], object]) -> float:
    """Return the processor time of one call, in milliseconds."""
    started = time.process_time()
    work()
    return (time.process_time() - started) * 1000


def memory_megabytes(count: int) -> float:
    """Return the memory of this number of rows and of the routes compiled from them, in megabytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table_replica = replica_with_routes(count)
    table = compile_routes(table_replica)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / 1e6 if table.by_name else 0.0


def measure(count: int) -> list[sizes.Figure]:
    """Measure a configuration of this number of routes and return the figures."""
    table_replica = replica_with_routes(count)
    chunks = build_chunks(table_replica)
    packed_bytes = sum(len(ormsgpack.packb(item.to_wire())) for item in table_replica.items.values())
    table = compile_routes(table_replica)
    call = {"put": {"routes": [route_item(number) for number in range(count)]}}
    items_by_key = {item.key: item.value["item"] for item in table_replica.items.values()}
    items_by_key["upstream/content"] = {"name": "content"}
    figures = [
        sizes.Figure("all rows, packed", "kB", packed_bytes / 1000),
        sizes.Figure(
            "all rows in compressed chunks", "kB", sum(len(chunk.packed_items) for chunk in chunks) / 1000
        ),
        sizes.Figure("the largest chunk", "kB", max(len(chunk.packed_items) for chunk in chunks) / 1000),
        sizes.Figure("chunks", "chunks", len(chunks)),
        sizes.Figure(
            "a voter builds all chunks, once for all requesters",
            "ms",
            processor_milliseconds(lambda: build_chunks(table_replica)),
        ),
        sizes.Figure(
            "an edge applies all rows",
            "ms",
            processor_milliseconds(
                lambda: replica_from_chunks(chunks, table_replica.applied, table_replica.root_digest())
            ),
        ),
        sizes.Figure(
            "an edge compiles all rows", "ms", processor_milliseconds(lambda: compile_routes(table_replica))
        ),
        sizes.Figure(
            "a voter validates an order of all rows",
            "ms",
            processor_milliseconds(lambda: item_entries.read(call)),
        ),
        sizes.Figure(
            "a voter validates the table after the order",
            "ms",
            processor_milliseconds(lambda: item_entries.faults_of_table(items_by_key)),
        ),
        sizes.Figure("memory of rows and routes", "MB", memory_megabytes(count)),
    ]
    changed = change_one_route(table_replica)
    figures.append(
        sizes.Figure("a message of one changed row", "bytes", len(ormsgpack.packb(changed.to_wire())))
    )
    figures.append(
        sizes.Figure("an edge compiles a changed row", "ms", processor_milliseconds(table.refresh))
    )
    path = f"/extra/{count - 1}/x"
    lookup = sizes.processor_seconds(lambda: table.match("api.example", path), LOOKUPS)
    return [*figures, sizes.Figure("a lookup of a route", "us", lookup * 1e6)]
