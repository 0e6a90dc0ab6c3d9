"""A disk in memory whose writes are durable at once, with faults: slow, stalled, full, damaged or wiped."""

import asyncio
import collections.abc
import random

from irisstand import errors
from irisstand.state.storage import disk

STALL_POLL_SECONDS = 0.05
DEFAULT_WRITE_SECONDS = 0.002


class MemoryDisk:
    """A disk that outlives the process using it.

    If the process is killed during a write of several files, the files written before the kill remain.

    Attributes:
        files: Contents with their checksums, by file name.
        quarantined: Names of damaged files that were set aside.
        stalled: Whether operations wait until the disk is no longer stalled.
        full: Whether every write fails.
        max_operation_seconds: Longest time of one disk operation, in seconds.
        writes: Number of files written so far.
        removals: Number of calls of `remove` so far.
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
        """Sleep for the random time of one disk operation, and as long as the disk is stalled."""
        await asyncio.sleep(self.randomness.uniform(0.1, 1.0) * self.max_operation_seconds)
        while self.stalled:  # noqa: ASYNC110 - draws and times of seeded days depend on polling
            await asyncio.sleep(STALL_POLL_SECONDS)

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files with checksums, one after another.

        Raises:
            errors.DiskFullError: The disk is full; files that were written before remain.
        """
        for name, content in files:
            await self.simulate_latency()
            if self.full:
                raise errors.DiskFullError("the simulated disk is full")
            self.files[name] = disk.add_checksum(content)
            self.writes += 1
        await self.simulate_latency()

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove files in the time of one operation, as the real disk only renames them for later use."""
        self.removals += 1
        await self.simulate_latency()
        for name in names:
            self.files.pop(name, None)

    async def load(self) -> disk.LoadedFiles:
        """Return the contents of intact files and the names of damaged files, which are removed."""
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
        """Invert the last byte of every file whose name contains this part; return their number."""
        names = [name for name in self.files if part in name]
        for name in names:
            content = bytearray(self.files[name])
            content[-1] ^= 0xFF
            self.files[name] = bytes(content)
        return len(names)
