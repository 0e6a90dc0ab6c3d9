"""A simulated disk whose writes become durable when the scheduler delivers their sync events."""

import asyncio
import collections.abc
import random

from irisstand.modelcheck import events, scheduler
from irisstand.simulator import memory_disk
from irisstand.state.storage import disk


class ModelDisk(memory_disk.MemoryDisk):
    """A disk that contains only synced files; a write is lost if the node crashes before its sync event.

    Args:
        event_scheduler: The scheduler that decides when each sync takes effect.
        randomness: The source of randomness, which all disks of the cluster share.
        name: The name of the node.
        incarnation: A callback that returns the node's incarnation number, for event labels.
        files: The initial files with their checksums, by file name.
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
        """Post a sync event for these files and wait until the scheduler delivers it."""
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
        """Remove files immediately, as the model has no events for removals."""
        for name in names:
            self.files.pop(name, None)
