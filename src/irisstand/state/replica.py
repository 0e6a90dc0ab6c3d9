"""A node's replica of one table: its items, its applied version, recent removals, and how old it may be."""

import collections
import collections.abc
import typing

from irisstand.state import digests, item_table, items, versions

# How many removals a replica remembers. A peer that is only a little behind is sent the removed keys.
REMOVAL_RECORDS_LIMIT = 2000
# Sorts after every key, so a search from (version, KEY_UPPER_BOUND) starts after that version.
KEY_UPPER_BOUND = chr(0x10FFFF)


class RemovalRecord(typing.NamedTuple):
    """A key that a batch removed without leaving a tombstone, and the version of the batch."""

    version: versions.Version
    key: str


class Changes(typing.NamedTuple):
    """The items that were written to a table, and the keys that were removed, after some version."""

    changed: list[items.Item]
    removed_keys: list[str]


class Replica(item_table.ItemTable):
    """A node's replica of one table.

    Attributes:
        name: The name of the table.
        removal_records: The most recent removals, the oldest first.
        applied: The newest version whose changes the replica holds.
        current_as_of: The time, in seconds of the node's clock, up to which the replica holds every confirmed
            change; None if no such time is known.
        watchers: Callbacks that are called after each change of the replica.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.removal_records: collections.deque[RemovalRecord] = collections.deque(
            maxlen=REMOVAL_RECORDS_LIMIT
        )
        self.applied = versions.NONE
        self.current_as_of: float | None = None
        self.watchers: list[collections.abc.Callable[[], None]] = []

    def age(self, now: float) -> float | None:
        """Return for how many seconds the replica may have missed changes, or None if that is unknown."""
        return None if self.current_as_of is None else now - self.current_as_of

    def confirm_current(self, current_at: float) -> None:
        """Record that the replica held every confirmed change at a time.

        Args:
            current_at: When the confirming request was sent, not when its reply arrived, in seconds of the
                node's clock.
        """
        if self.current_as_of is None or current_at > self.current_as_of:
            self.current_as_of = current_at

    def changes_since(self, applied: versions.Version) -> Changes:
        """Return the items that were written and the keys that were removed above a version.

        Removals that are no longer remembered are missing; the receiver detects that by the root digest.
        """
        changed = [self.items[key] for _, key in self.keys_by_version.irange((applied, KEY_UPPER_BOUND))]
        removed = [
            key for version, key in self.removal_records if version > applied and key not in self.items
        ]
        return Changes(changed, removed)

    def remove_and_record(self, key: str, version: versions.Version) -> None:
        """Remove a key, and record the version of its removal for peers that have not applied it yet."""
        if self.remove(key):
            self.removal_records.append(RemovalRecord(version, key))

    def apply(self, batch: items.Batch) -> None:
        """Apply a batch that consensus has decided, and set the applied version to the batch's version."""
        for key, value, is_removal in batch.rows:
            if is_removal:
                self.remove_and_record(key, batch.version)
            else:
                self.merge(items.Item(key, batch.version, value))
        self.applied = batch.version
        self.notify_watchers()

    def apply_changes(
        self,
        applied: versions.Version,
        root_digest: bytes,
        changed: list[items.Item],
        removed_keys: list[str],
    ) -> bool:
        """Apply what a peer holds above this replica's applied version, if that makes the replicas equal.

        If the peer no longer remembers a removal, an item that all others have removed would remain here.
        In that case the root digests differ and nothing is changed.

        Args:
            applied: The applied version of the peer's replica.
            root_digest: The root digest of the peer's replica.
            changed: The peer's items above this replica's applied version.
            removed_keys: The keys that the peer removed above this replica's applied version.

        Returns:
            Whether the changes were applied.
        """
        if applied < self.applied:
            return False
        expected = self.digests.copy()
        for key in {item.key for item in changed} | set(removed_keys):
            expected.subtract(key, self.item_digests.get(key, 0))
        item_digests = [digests.item_digest(item) for item in changed]
        for item, digest in zip(changed, item_digests, strict=True):
            expected.add(item.key, digest)
        if expected.root() != root_digest:
            return False
        for key in removed_keys:
            self.remove_and_record(key, applied)
        for item, digest in zip(changed, item_digests, strict=True):
            self.put(item, digest)
        self.applied = applied
        self.notify_watchers()
        return True

    def replace_unless_older(self, other: "Replica") -> bool:
        """Take over the content of a repaired replica in one step, so no reader sees a half-repaired table.

        Returns:
            Whether the other replica was at least as new as this one and was taken over.
        """
        if other.applied < self.applied:
            return False
        self.replace_content(other)
        self.notify_watchers()
        return True

    def replace_content(self, other: "Replica") -> None:
        """Take over the content and applied version of another replica, which must not be used afterwards."""
        self.items = other.items
        self.keys_by_version = other.keys_by_version
        self.item_digests = other.item_digests
        self.digests = other.digests
        self.counts_by_prefix = other.counts_by_prefix
        self.removal_records = other.removal_records
        self.applied = other.applied

    def notify_watchers(self) -> None:
        """Call all registered watchers of the replica."""
        for watcher in self.watchers:
            watcher()

    def clone(self) -> "Replica":
        """Return a new replica with the same content, without watchers and with an unknown age."""
        cloned = Replica(self.name)
        cloned.items = self.items.copy()
        cloned.keys_by_version = self.keys_by_version.copy()
        cloned.item_digests = dict(self.item_digests)
        cloned.digests = self.digests.copy()
        cloned.counts_by_prefix = self.counts_by_prefix.copy()
        cloned.removal_records = self.removal_records.copy()
        cloned.applied = self.applied
        return cloned
