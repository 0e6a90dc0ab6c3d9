"""The disk of the model: a write is durable once the scheduler delivers its sync."""

import asyncio
import collections.abc
import random

from irisstand.modelcheck import events, scheduler
from irisstand.simulator import memory_disk
from irisstand.state.storage import disk


class ModelDisk(memory_disk.MemoryDisk):
    """Holds what was synced; a write whose sync was not delivered before a crash is lost.

    Args:
        event_scheduler: Where syncs are posted.
        randomness: The source that all disks of the cluster share.
        name: The node's name.
        incarnation: Returns the node's incarnation, for labels.
        files: Sealed files to begin with, by name.
    """

    def __init__(
        self,
        event_scheduler: scheduler.Scheduler,
        randomness: random.Random,
        name: str,
        incarnation: collections.abc.Callable[[], int],
        files: dict[str, bytes],
    ) -> None:
        super().__init__(randomness)
        self.scheduler = event_scheduler
        self.name = name
        self.incarnation = incarnation
        self.files = dict(files)

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Post a sync of these files and wait until it is delivered."""
        synced = asyncio.get_running_loop().create_future()
        written = list(files)

        def sync() -> None:
            for name, content in written:
                self.files[name] = disk.add_checksum(content)
            if not synced.done():
                synced.set_result(None)

        contents = b"".join(name.encode() + content for name, content in written)
        label = f"{self.name}.{self.incarnation()} sync {events.digest(contents)}"
        self.scheduler.post(events.Event(events.EventKind.SYNC, self.name, self.name, label, sync))
        await synced

    async def remove(self, names: collections.abc.Sequence[str]) -> None:
        """Remove files at once: removals are not events of the model."""
        for name in names:
            self.files.pop(name, None)
