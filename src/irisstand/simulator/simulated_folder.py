"""A directory in memory under the disk's own code: what a loss of power may do to it, name by name."""

import errno
import random


class PowerLossError(Exception):
    """The machine loses its power at this file operation, which has not been done."""


class SimulatedFolder:
    """Contents are durable once written; a power loss keeps or loses each name changed since the sync.

    Files are numbered as inodes are, so that a file which was renamed and then written anew can be found
    under its old name with its new content.

    Attributes:
        contents: Contents by file number.
        entries: File numbers by name, as the running system sees them.
        synced: File numbers by name, as of the last sync.
        off_at: The operation at which the power is lost; None: never.
        full_at: Operations during which the disk is full.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.contents: dict[int, bytes] = {}
        self.entries: dict[str, int] = {}
        self.synced_entries: dict[str, int] = {}
        self.last_file_number = 0
        self.operations = 0
        self.syncs = 0
        self.bytes_written = 0
        self.power_loss_operation: int | None = None
        self.full_operations: range = range(0)

    def count_operation(self) -> None:
        """Count a file operation, and lose the power if this is its moment."""
        self.operations += 1
        if self.operations == self.power_loss_operation:
            raise PowerLossError

    def lose_power(self) -> None:
        """Keep or lose each entry that was made, renamed or removed since the last sync."""
        kept = {}
        for name in sorted(self.synced_entries.keys() | self.entries.keys()):
            chosen = self.randomness.choice((self.synced_entries, self.entries))
            if name in chosen:
                kept[name] = chosen[name]
        self.entries = dict(kept)
        self.synced_entries = kept
        self.power_loss_operation = None

    # -- what a disk asks for ------------------------------------------------------------------------
    def make(self) -> None:
        """Make the directory, which is there already."""

    def names(self) -> list[str]:
        """Return the names of all files in order."""
        return sorted(self.entries)

    def exists(self, name: str) -> bool:
        """Return whether a file has this name."""
        return name in self.entries

    def read(self, name: str) -> bytes:
        """Return a file's content."""
        return self.contents[self.entries[name]]

    def size(self, name: str) -> int:
        """Return a file's size in bytes."""
        return len(self.read(name))

    def links(self, name: str) -> int:
        """Return how many names a file has."""
        return list(self.entries.values()).count(self.entries[name])

    def write(self, name: str, content: bytes) -> None:
        """Write over the beginning of a file, which is made if need be, and sync its content.

        Raises:
            OSError: The disk is full.
            PowerLossError: The power is lost with half of it written.
        """
        if name not in self.entries:
            self.last_file_number += 1
            self.entries[name] = self.last_file_number
            self.contents[self.last_file_number] = b""
        number = self.entries[name]
        old = self.contents[number]
        # A loss of power in between leaves the first part new and the rest old.
        half = self.randomness.randrange(len(content))
        self.contents[number] = content[:half] + old[half:]
        self.count_operation()
        if self.operations in self.full_operations:
            raise OSError(errno.ENOSPC, "the simulated disk is full")
        self.contents[number] = content + old[len(content) :]
        self.syncs += 1
        self.bytes_written += len(content)

    def rename(self, name: str, other: str) -> None:
        """Give a file another name, in place of a file that has it."""
        self.count_operation()
        self.entries[other] = self.entries.pop(name)

    def unlink(self, name: str) -> None:
        """Remove a name."""
        self.count_operation()
        del self.entries[name]

    def sync(self) -> None:
        """Make all entries durable."""
        self.count_operation()
        self.synced_entries = dict(self.entries)
        self.syncs += 1
