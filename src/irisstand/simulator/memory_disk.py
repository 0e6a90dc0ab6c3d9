"""A disk in memory: slow, stalled, full, torn or lost; it holds only what was synced."""

import asyncio
import collections.abc
import random

from irisstand import errors
from irisstand.state.storage import disk

STALL_POLL_SECONDS = 0.05
DEFAULT_WRITE_SECONDS = 0.002


class MemoryDisk:
    """Survives its process. Of a write that a kill cuts short some files may be on it.

    Attributes:
        files: Sealed contents by file name.
        quarantined: Names of damaged files that were put aside.
        stalled: No write ends.
        full: Every write fails.
        slowness: Longest time of one write, in seconds.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.files: dict[str, bytes] = {}
        self.quarantined: list[str] = []
        self.stalled = False
        self.full = False
        self.max_operation_seconds = DEFAULT_WRITE_SECONDS
        self.writes = 0
        self.removals = 0

    async def simulate_latency(self) -> None:
        """Take the time of one disk operation."""
        await asyncio.sleep(self.randomness.uniform(0.1, 1.0) * self.max_operation_seconds)
        while self.stalled:  # noqa: ASYNC110 - the draws and times of seeded days rest on polling
            await asyncio.sleep(STALL_POLL_SECONDS)

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files one after another.

        Raises:
            errors.DiskFullError: The disk is full; files written before it was are there.
        """
        for name, content in files:
            await self.simulate_latency()
            if self.full:
                raise errors.DiskFullError("the simulated disk is full")
            self.files[name] = disk.add_checksum(content)
            self.writes += 1
        await self.simulate_latency()

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove files, all in the time of one operation: the real disk renames them for later use."""
        self.removals += 1
        await self.simulate_latency()
        for name in names:
            self.files.pop(name, None)

    async def load(self) -> disk.LoadedFiles:
        """Return the contents of intact files by name, and the names of damaged ones, which are removed."""
        intact: dict[str, bytes] = {}
        damaged: list[str] = []
        for name in sorted(self.files):
            try:
                intact[name] = disk.strip_checksum(self.files[name])
            except errors.TornFileError:
                damaged.append(name)
                del self.files[name]
        return disk.LoadedFiles(intact, damaged)

    def corrupt(self, part: str) -> int:
        """Flip a byte in every file whose name contains this part; return how many there are."""
        names = [name for name in self.files if part in name]
        for name in names:
            content = bytearray(self.files[name])
            content[-1] ^= 0xFF
            self.files[name] = bytes(content)
        return len(names)
