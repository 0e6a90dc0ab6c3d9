"""The files that hold the items of one table on a voter's disk: item files and segments.

An item file holds one item and a segment holds many. A segment is written once and never changed. If files
hold several versions of a key, the highest is valid; therefore only the removal of a key has to be recorded
for as long as segments hold older versions of it.
"""

import collections.abc
import dataclasses
import typing

import ormsgpack

from irisstand.state import items, replica, versions
from irisstand.state.storage import file_names

# More changed items than this are written as one segment, since each file costs a sync of its own.
ITEM_FILES_AT_ONCE_LIMIT = 8
# More item files than this are merged into a segment, because a start of the process reads each file.
ITEM_FILES_LIMIT = 128
# More segments or removed keys than this are merged into a single segment that holds the whole table.
SEGMENTS_LIMIT = 8
REMOVED_KEYS_LIMIT = 128


@dataclasses.dataclass
class Layout:
    """Which files hold the items of a table.

    Attributes:
        item_files: The name of the item file of each key that has one, by key.
        segments: The keys that each segment holds, by the name of the segment.
        removed: The removed keys that segments still hold, each with the highest version to be ignored.
    """

    item_files: dict[str, str] = dataclasses.field(default_factory=dict)
    segments: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    removed: dict[str, versions.Version] = dataclasses.field(default_factory=dict)

    def names(self) -> set[str]:
        """Return the names of all files that are in use."""
        return set(self.item_files.values()) | set(self.segments)

    def is_in_segment(self, key: str) -> bool:
        """Return whether a segment holds any version of a key."""
        return any(key in keys for keys in self.segments.values())


class WritePlan(typing.NamedTuple):
    """The new layout of a table's files, and the files to write for it as pairs of name and content."""

    layout: Layout
    files: list[tuple[str, bytes]]


def pack_item(item: items.Item) -> bytes:
    """Return the content of a file that holds one item."""
    return ormsgpack.packb(item.to_wire())


def unpack_item(content: bytes) -> items.Item:
    """Decode the content of an item file.

    Raises:
        ValueError, TypeError: The content is not an item.
    """
    return items.Item.from_wire(ormsgpack.unpackb(content))


def pack_segment(segment_items: collections.abc.Iterable[items.Item]) -> bytes:
    """Return the content of a segment that holds these items."""
    return ormsgpack.packb(tuple(item.to_wire() for item in segment_items))


def unpack_segment(content: bytes) -> list[items.Item]:
    """Decode the content of a segment into its items."""
    return [items.Item.from_wire(fields) for fields in ormsgpack.unpackb(content)]


def load(
    saved: replica.Replica,
    layout: Layout,
    files: dict[str, bytes],
    segments: collections.abc.Iterable[str],
    obsolete_items: set[str],
) -> None:
    """Load the valid items of a table into a replica, and their file names into a layout.

    Args:
        saved: The replica to fill, with its applied version set.
        layout: The layout to fill, with its removed keys set.
        files: The contents of all intact files by name.
        segments: The names of the segments that the table's record lists as in use.
        obsolete_items: The names of the item files that the table's record lists as obsolete.
    """
    for name in segments:
        segment_items = unpack_segment(files[name]) if name in files else []
        layout.segments[name] = frozenset(item.key for item in segment_items)
        for item in segment_items:
            merge(saved, layout, item)
    item_by_file: dict[str, items.Item] = {}
    for name, content in files.items():
        if not name.startswith(file_names.item_prefix(saved.name)) or name in obsolete_items:
            continue
        try:
            item = unpack_item(content)
        except (ValueError, TypeError):
            continue
        # After a power loss, a file may have an earlier name than its content has; such a file is ignored.
        if file_names.item_file(saved.name, item) == name:
            item_by_file[name] = item
            merge(saved, layout, item)
    for name, item in item_by_file.items():
        if saved.items.get(item.key) == item:
            layout.item_files[item.key] = name


def merge(saved: replica.Replica, layout: Layout, item: items.Item) -> None:
    """Store an item that was read from disk, unless its version is to be ignored."""
    # A version above the applied version is from an interrupted commit, which will be carried out again.
    if item.version <= saved.applied and item.version > layout.removed.get(item.key, versions.NONE):
        saved.merge(item)


def plan(
    saved: replica.Replica,
    layout: Layout,
    unsaved: dict[str, items.Item | None],
    segment: str,
    *,
    rewrite: bool,
) -> WritePlan:
    """Return a plan for saving changed items that takes few files and few syncs.

    Args:
        saved: The replica as the disk holds it.
        layout: The files that hold it.
        unsaved: The items to write by key; None for keys to remove.
        segment: The name for a new segment, in case the plan writes one.
        rewrite: Whether to write the whole table, because the disk does not hold the items that it should.
    """
    changed = {key: item for key, item in unsaved.items() if item is not None}
    removed = dict(layout.removed)
    for key, item in unsaved.items():
        if item is None and key in saved.items and layout.is_in_segment(key):
            removed[key] = saved.items[key].version
    kept_files = {key: name for key, name in layout.item_files.items() if key not in unsaved}
    needs_segment = (
        len(changed) > ITEM_FILES_AT_ONCE_LIMIT or len(changed) + len(kept_files) > ITEM_FILES_LIMIT
    )
    is_crowded = len(layout.segments) >= SEGMENTS_LIMIT and needs_segment
    if rewrite or is_crowded or len(removed) > REMOVED_KEYS_LIMIT:
        unchanged = {key: item for key, item in saved.items.items() if key not in unsaved}
        return segment_plan({}, {}, unchanged | changed, segment)
    if needs_segment:
        gathered = {key: saved.items[key] for key in kept_files}
        return segment_plan(layout.segments, removed, gathered | changed, segment)
    new_files = {key: file_names.item_file(saved.name, item) for key, item in changed.items()}
    packed = [(new_files[key], pack_item(item)) for key, item in changed.items()]
    return WritePlan(Layout(kept_files | new_files, dict(layout.segments), removed), packed)


def segment_plan(
    segments: dict[str, frozenset[str]],
    removed: dict[str, versions.Version],
    segment_items: dict[str, items.Item],
    segment: str,
) -> WritePlan:
    """Return a plan that writes the given items as an additional segment and keeps no item files."""
    if not segment_items:
        return WritePlan(Layout({}, dict(segments), removed), [])
    layout = Layout({}, {**segments, segment: frozenset(segment_items)}, removed)
    return WritePlan(layout, [(segment, pack_segment(segment_items.values()))])
