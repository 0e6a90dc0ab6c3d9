"""Fault injection under the real programs: delay, partitions, lost datagrams, bad disks, clocks that jump.

A local cluster starts its programs by this module, which puts its own network and disk where the programs
look for the real ones and then runs them unchanged. The cluster rewrites the file that has the faults.
"""

import asyncio
import collections.abc
import importlib
import json
import os
import pathlib
import random
import sys
import time
import typing

from irisstand import errors
from irisstand.state.storage import disk
from irisstand.transport import network

FAULT_FILE_VARIABLE = "IRISSTAND_WEATHER"
DELAY_BETWEEN_REGIONS_SECONDS = 0.006
POLL_SECONDS = 0.05
READ_INTERVAL_SECONDS = 0.1
DISK_FULL = "full"
DISK_STALLED = "stalled"


class FaultFile:
    """The faults as the file had them last; it is read ten times a second, on a thread."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.content: dict[str, typing.Any] = {}
        self.read()
        self.own = self.content["self"][os.environ[FAULT_FILE_VARIABLE + "_NAME"]]

    def read(self) -> None:
        """Read the file, which the cluster replaces as a whole."""
        self.content = json.loads(self.path.read_text())

    async def poll(self) -> None:
        """Read the file again and again."""
        while True:
            await asyncio.to_thread(self.read)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    def process_at(self, port: int) -> dict[str, str]:
        """Return name, site and region of the process at a port."""
        process: dict[str, str] = self.content["places"].get(str(port), self.own)
        return process

    def delay(self, port: int) -> float:
        """Return the delay to the process at a port, one way, in seconds."""
        return DELAY_BETWEEN_REGIONS_SECONDS if self.process_at(port)["region"] != self.own["region"] else 0.0

    def is_partitioned(self, port: int) -> bool:
        """Return whether a partition lies between: each is a list of the names on one side."""
        other = self.process_at(port)["name"]
        return any((self.own["name"] in side) != (other in side) for side in self.content["cuts"])

    def disk(self) -> str:
        """Return the fault of the own disk, or an empty text."""
        fault: str = self.content["disks"].get(self.own["name"], "")
        return fault


class FaultyStream:
    """The caller's end of a connection, with the delays and partitions of both directions."""

    def __init__(self, inner: network.Stream, faults: FaultFile, port: int) -> None:
        self.inner = inner
        self.faults = faults
        self.port = port
        self.next_send_at = 0.0

    async def read(self) -> bytes:
        """Return the next payload once it could have arrived."""
        payload = await self.inner.read()
        await asyncio.sleep(self.faults.delay(self.port))
        while self.faults.is_partitioned(self.port):  # noqa: ASYNC110 - another process changes the file
            await asyncio.sleep(POLL_SECONDS)
        return payload

    def write(self, payload: bytes) -> None:
        """Send a payload after the delay: in order and never lost, since TCP sends again."""
        loop = asyncio.get_running_loop()
        self.next_send_at = max(self.next_send_at, loop.time() + self.faults.delay(self.port))
        loop.call_at(self.next_send_at, self.send, payload)

    def send(self, payload: bytes) -> None:
        """Write a payload, or try again later across a partition."""
        if self.faults.is_partitioned(self.port):
            asyncio.get_running_loop().call_later(POLL_SECONDS, self.send, payload)
        else:
            self.inner.write(payload)

    async def flush(self) -> None:
        """Wait until the queue of the real connection is short."""
        await self.inner.flush()

    def close(self) -> None:
        """Close what is below."""
        self.inner.close()


class FaultyDatagramSocket:
    """A datagram port that loses datagrams."""

    def __init__(self, inner: network.DatagramSocket, faults: FaultFile) -> None:
        self.inner = inner
        self.faults = faults

    def send(self, payload: bytes, address: network.Address) -> None:
        """Send a datagram after the delay, or lose it."""
        if self.faults.is_partitioned(address[1]) or random.random() < self.faults.content["loss"]:
            return
        delay = self.faults.delay(address[1])
        asyncio.get_running_loop().call_later(delay, self.inner.send, payload, address)

    def close(self) -> None:
        """Close what is below."""
        self.inner.close()


class FaultyNetwork(network.RealNetwork):
    """The real network with faults."""

    faults: FaultFile

    async def connect(self, address: network.Address) -> network.Stream:
        """Connect, across a partition once it has healed."""
        while self.faults.is_partitioned(address[1]):  # noqa: ASYNC110 - another process changes the file
            await asyncio.sleep(POLL_SECONDS)
        return FaultyStream(await super().connect(address), self.faults, address[1])

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> typing.Any:
        """Listen, and follow the file of faults from now on."""
        self.poll_task = asyncio.get_running_loop().create_task(self.faults.poll())
        return await super().listen(address, on_stream)

    async def open_datagram_socket(
        self, address: network.Address, on_datagram: network.OnDatagram
    ) -> network.DatagramSocket:
        """Open a datagram port."""
        return FaultyDatagramSocket(await super().open_datagram_socket(address, on_datagram), self.faults)


class FaultyDisk(disk.FolderDisk):
    """The real disk, which may be stalled or full."""

    faults: FaultFile

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files once the disk is not stalled.

        Raises:
            errors.DiskFullError: The disk is full.
        """
        while self.faults.disk() == DISK_STALLED:  # noqa: ASYNC110 - another process changes the file
            await asyncio.sleep(POLL_SECONDS)
        if self.faults.disk() == DISK_FULL:
            raise errors.DiskFullError(f"no space left in {self.path}, says the rehearsal")
        await super().write(files)


def main() -> None:
    """Run the program that the first argument names, under faults, with the other arguments."""
    faults = FaultFile(pathlib.Path(os.environ[FAULT_FILE_VARIABLE]))
    FaultyNetwork.faults = faults
    FaultyDisk.faults = faults
    # The programs look their network and disk up by these names.
    setattr(network, "RealNetwork", FaultyNetwork)  # noqa: B010 - a class cannot be assigned to in typed code
    setattr(disk, "FolderDisk", FaultyDisk)  # noqa: B010 - as above
    wall_clock = time.time
    time.time = lambda: wall_clock() + faults.content["jump"]
    program = sys.argv.pop(1)
    # Imported by name and late: the program must see the replaced classes, and two modules are called so.
    importlib.import_module(f"irisstand.{program}.program").main()


if __name__ == "__main__":
    main()
