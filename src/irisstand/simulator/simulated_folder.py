"""A folder in memory under the disk's own code: what a loss of power may do to it, name by name."""

import errno
import random


class PowerLossError(Exception):
    """The machine goes off at this file operation, which has not been done."""


class SimulatedFolder:
    """Contents count once written; each name that changed since the last sync is kept or lost by itself.

    Files are numbered as inodes are, so that a file which was renamed and then written anew can be found
    under its old name with its new content.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.contents: dict[int, bytes] = {}
        self.entries: dict[str, int] = {}
        self.synced: dict[str, int] = {}
        self.numbers = 0
        self.operations = self.syncs = self.written = 0
        self.off_at: int | None = None
        self.full_at: range = range(0)

    def step(self) -> None:
        self.operations += 1
        if self.operations == self.off_at:
            raise PowerLossError

    def lose_power(self) -> None:
        """Every entry made, renamed or removed since the last sync may be as it was or as it is."""
        kept = {}
        for name in sorted(self.synced.keys() | self.entries.keys()):
            chosen = self.randomness.choice((self.synced, self.entries))
            if name in chosen:
                kept[name] = chosen[name]
        self.entries, self.synced, self.off_at = dict(kept), kept, None

    # -- what a disk asks for ------------------------------------------------------------------------
    def make(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.entries)

    def exists(self, name: str) -> bool:
        return name in self.entries

    def read(self, name: str) -> bytes:
        return self.contents[self.entries[name]]

    def size(self, name: str) -> int:
        return len(self.read(name))

    def links(self, name: str) -> int:
        return list(self.entries.values()).count(self.entries[name])

    def write(self, name: str, content: bytes) -> None:
        if name not in self.entries:
            self.numbers += 1
            self.entries[name] = self.numbers
            self.contents[self.numbers] = b""
        number = self.entries[name]
        old = self.contents[number]
        # Halfway it is part new and part old.
        half = self.randomness.randrange(len(content))
        self.contents[number] = content[:half] + old[half:]
        self.step()
        if self.operations in self.full_at:
            raise OSError(errno.ENOSPC, "the simulated disk is full")
        self.contents[number] = content + old[len(content) :]
        self.syncs += 1
        self.written += len(content)

    def rename(self, name: str, other: str) -> None:
        self.step()
        self.entries[other] = self.entries.pop(name)

    def unlink(self, name: str) -> None:
        self.step()
        del self.entries[name]

    def sync(self) -> None:
        self.step()
        self.synced = dict(self.entries)
        self.syncs += 1
