"""A disk in memory: slow, stalled, full, torn, or lost, and holding only what was synced."""

import asyncio
import collections.abc
import random

from irisstand import errors
from irisstand.state.storage import disk as disks


class MemoryDisk:
    """Survives its process. What a kill cuts short may be on it in part, file by file."""

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.files: dict[str, bytes] = {}
        self.quarantined: list[str] = []
        self.stalled = False
        self.full = False
        self.slowness = 0.002
        self.writes = 0
        self.removals = 0

    async def turn(self) -> None:
        await asyncio.sleep(self.randomness.uniform(0.1, 1.0) * self.slowness)
        while self.stalled:
            await asyncio.sleep(0.05)

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        for name, content in files:
            await self.turn()
            if self.full:
                raise errors.DiskFullError("the simulated disk is full")
            self.files[name] = disks.add_checksum(content)
            self.writes += 1
        await self.turn()

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        # Renamed to be written anew, not deleted, so all together they cost no more than one turn.
        self.removals += 1
        await self.turn()
        for name in names:
            self.files.pop(name, None)

    async def load(self) -> disks.LoadedFiles:
        sound: dict[str, bytes] = {}
        torn: list[str] = []
        for name in sorted(self.files):
            try:
                sound[name] = disks.strip_checksum(self.files[name])
            except errors.TornFileError:
                torn.append(name)
                del self.files[name]
        return disks.LoadedFiles(sound, torn)

    def corrupt(self, part: str) -> int:
        """Flip a byte in every file whose name has this part."""
        named = [name for name in self.files if part in name]
        for name in named:
            content = bytearray(self.files[name])
            content[-1] ^= 0xFF
            self.files[name] = bytes(content)
        return len(named)
