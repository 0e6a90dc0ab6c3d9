"""A folder in memory that `disk.FolderDisk` can use, with power losses that undo unsynced renames."""

import errno
import random


class PowerLossError(Exception):
    """The simulated machine loses power at a file operation, before the operation is complete."""


class SimulatedFolder:
    """A folder in memory, where a written content is durable at once, and a name once the folder is synced.

    A power loss keeps or undoes each change of a name since the last sync, at random. Files have numbers like
    inodes, so that a file which was renamed and then overwritten can reappear under its old name with its new
    content.

    Attributes:
        contents: Contents by file number.
        entries: File numbers by name, as the running system sees them.
        synced_entries: File numbers by name, as of the last sync of the folder.
        last_file_number: Number of the file that was made last.
        operations: Number of file operations so far that change the folder.
        syncs: Number of syncs of files and of the folder so far.
        bytes_written: Bytes of content written so far.
        power_loss_operation: Number of the operation at which the power is lost; None: at none.
        full_operations: Numbers of the operations at which the disk is full.
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
        """Count a file operation, and raise PowerLossError if the power is to be lost at it."""
        self.operations += 1
        if self.operations == self.power_loss_operation:
            raise PowerLossError

    def lose_power(self) -> None:
        """Keep or undo at random each creation, renaming and removal of a name since the last sync."""
        kept = {}
        for name in sorted(self.synced_entries.keys() | self.entries.keys()):
            chosen = self.randomness.choice((self.synced_entries, self.entries))
            if name in chosen:
                kept[name] = chosen[name]
        self.entries = dict(kept)
        self.synced_entries = kept
        self.power_loss_operation = None

    # -- the interface `folder.Folder` ---------------------------------------------------------------
    def make(self) -> None:
        """Do nothing, since the simulated folder always exists."""

    def names(self) -> list[str]:
        """Return the names of all files in alphabetical order."""
        return sorted(self.entries)

    def exists(self, name: str) -> bool:
        """Return whether the folder has a file of this name."""
        return name in self.entries

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return self.contents[self.entries[name]]

    def size(self, name: str) -> int:
        """Return the size of a file in bytes."""
        return len(self.read(name))

    def links(self, name: str) -> int:
        """Return the number of names (hard links) that refer to the file of this name."""
        return list(self.entries.values()).count(self.entries[name])

    def write(self, name: str, content: bytes) -> None:
        """Overwrite the beginning of a file, or make the file, and sync its content.

        Raises:
            OSError: The disk is full.
            PowerLossError: The power is lost when only the first part of the content is written.
        """
        if name not in self.entries:
            self.last_file_number += 1
            self.entries[name] = self.last_file_number
            self.contents[self.last_file_number] = b""
        number = self.entries[name]
        old = self.contents[number]
        # A power loss during the write leaves a first part of random length new and the rest old.
        half = self.randomness.randrange(len(content))
        self.contents[number] = content[:half] + old[half:]
        self.count_operation()
        if self.operations in self.full_operations:
            raise OSError(errno.ENOSPC, "the simulated disk is full")
        self.contents[number] = content + old[len(content) :]
        self.syncs += 1
        self.bytes_written += len(content)

    def rename(self, name: str, other: str) -> None:
        """Rename a file, replacing any file that has the other name."""
        self.count_operation()
        self.entries[other] = self.entries.pop(name)

    def unlink(self, name: str) -> None:
        """Remove a name from the folder; the content stays readable under other names."""
        self.count_operation()
        del self.entries[name]

    def sync(self) -> None:
        """Sync the folder, which makes all its names durable."""
        self.count_operation()
        self.synced_entries = dict(self.entries)
        self.syncs += 1
