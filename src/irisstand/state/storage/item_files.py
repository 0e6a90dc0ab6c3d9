"""Which files hold one table's items on a voter's disk: single items, and segments that hold many.

A segment is written once and never changed. Of several versions of a key the highest counts, so only the
forgetting of a key has to be remembered while older versions of it lie in segments.
"""

import dataclasses
import hashlib
import typing

import ormsgpack

from irisstand.state import items, replica, versions

# More changed items than this go into one segment, since each file costs a sync of its own.
SINGLES_AT_ONCE = 8
# More single files than this are gathered in a segment: a start reads file by file.
SINGLES_LIMIT = 128
# More segments, or forgotten keys, than this are merged into one segment that holds the whole table.
SEGMENTS_LIMIT = 8
FORGOTTEN_LIMIT = 128


def item_file(table: str, item: items.Item) -> str:
    """Named by key and version, so that a new version never overwrites an old one."""
    key = hashlib.sha256(item.key.encode()).hexdigest()[:24]
    node = hashlib.sha256(item.version.node.encode()).hexdigest()[:8]
    return f"{table}.item.{key}.{item.version.counter:012d}.{node}"


def segment_file(table: str, number: int) -> str:
    return f"{table}.segment.{number:012d}"


def file_number(name: str) -> int:
    return int(name.rsplit(".", 1)[1])


@dataclasses.dataclass
class Layout:
    """Where the items of a table lie: single files by key, keys by segment, and what counts no more."""

    singles: dict[str, str] = dataclasses.field(default_factory=dict)
    segments: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    forgotten: dict[str, versions.Version] = dataclasses.field(default_factory=dict)

    def names(self) -> set[str]:
        return set(self.singles.values()) | set(self.segments)

    def in_segments(self, key: str) -> bool:
        return any(key in keys for keys in self.segments.values())


class Plan(typing.NamedTuple):
    """The layout that is to be, and the files to write for it."""

    layout: Layout
    files: list[tuple[str, bytes]]


def read_items(content: bytes, is_segment: bool) -> list[items.Item]:
    unpacked = ormsgpack.unpackb(content)
    return [items.Item.from_wire(parts) for parts in (unpacked if is_segment else [unpacked])]


def pack_segment(held: typing.Iterable[items.Item]) -> bytes:
    return ormsgpack.packb(tuple(item.to_wire() for item in held))


def load(
    copy: replica.Replica,
    layout: Layout,
    files: dict[str, bytes],
    segments: typing.Iterable[str],
    gone: set[str],
) -> None:
    """Fill copy and layout from the files that count: the record's segments, and singles not called gone."""
    table = copy.name
    singles: dict[str, items.Item] = {}
    for name in segments:
        held = read_items(files[name], True) if name in files else []
        layout.segments[name] = frozenset(item.key for item in held)
        for item in held:
            merge(copy, layout, item)
    for name, content in files.items():
        if not name.startswith(f"{table}.item.") or name in gone:
            continue
        try:
            (item,) = read_items(content, False)
        except (ValueError, TypeError):
            continue
        # A file written anew may come back under its earlier name with its later content.
        if item_file(table, item) == name:
            singles[name] = item
            merge(copy, layout, item)
    for name, item in singles.items():
        if copy.items.get(item.key) == item:
            layout.singles[item.key] = name


def merge(copy: replica.Replica, layout: Layout, item: items.Item) -> None:
    # Versions newer than the applied version belong to a commit that was cut short; it is done again.
    if item.version <= copy.applied and item.version > layout.forgotten.get(item.key, versions.NONE):
        copy.merge(item)


def plan(
    kept: replica.Replica, layout: Layout, wanted: dict[str, items.Item | None], whole: bool, segment: str
) -> Plan:
    """How the disk gets from what it holds to what is wanted, with few files and few syncs."""
    fresh = {key: item for key, item in wanted.items() if item is not None}
    forgotten = dict(layout.forgotten)
    for key, item in wanted.items():
        if item is None and key in kept.items and layout.in_segments(key):
            forgotten[key] = kept.items[key].version
    left = {key: name for key, name in layout.singles.items() if key not in wanted}
    crowded = len(layout.segments) >= SEGMENTS_LIMIT and needs_segment(fresh, left)
    if whole or crowded or len(forgotten) > FORGOTTEN_LIMIT:
        everything = {key: item for key, item in kept.items.items() if key not in wanted} | fresh
        return gathered({}, {}, everything, segment)
    if needs_segment(fresh, left):
        bundle = {key: kept.items[key] for key in left} | fresh
        return gathered(layout.segments, forgotten, bundle, segment)
    names = {key: item_file(kept.name, item) for key, item in fresh.items()}
    packed = [(names[key], ormsgpack.packb(item.to_wire())) for key, item in fresh.items()]
    return Plan(Layout(left | names, dict(layout.segments), forgotten), packed)


def needs_segment(fresh: dict, left: dict) -> bool:
    return len(fresh) > SINGLES_AT_ONCE or len(fresh) + len(left) > SINGLES_LIMIT


def gathered(segments: dict, forgotten: dict, held: dict[str, items.Item], segment: str) -> Plan:
    if not held:
        return Plan(Layout({}, dict(segments), forgotten), [])
    layout = Layout({}, {**segments, segment: frozenset(held)}, forgotten)
    return Plan(layout, [(segment, pack_segment(held.values()))])
