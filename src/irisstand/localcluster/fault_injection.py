"""Fault injection below the real programs: delays, partitions, datagram loss, faulty disks, clock jumps.

A local cluster starts each of its programs through this module. It replaces the classes of the network and
the disk by ones that inject faults, and then runs the program unchanged. Which faults are active stands in a
file that the local cluster rewrites and each process polls.
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
# Interval of checks whether a partition or a stall of the disk has ended.
POLL_SECONDS = 0.05
# Interval of reads of the fault file.
READ_INTERVAL_SECONDS = 0.1
DISK_FULL = "full"
DISK_STALLED = "stalled"


class FaultFile:
    """The injected faults, as read last from the fault file: a thread reads it ten times a second.

    Attributes:
        path: The fault file, which all processes of the local cluster share.
        content: The decoded JSON of the file.
        own: Name, site and region of the process that this code runs in.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.content: dict[str, typing.Any] = {}
        self.read()
        self.own = self.content["self"][os.environ[FAULT_FILE_VARIABLE + "_NAME"]]

    def read(self) -> None:
        """Read the fault file; the local cluster replaces it atomically, so it is never half written."""
        self.content = json.loads(self.path.read_text())

    async def poll(self) -> None:
        """Read the fault file ten times a second until the task is cancelled."""
        while True:
            await asyncio.to_thread(self.read)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    def process_at(self, port: int) -> dict[str, str]:
        """Return name, site and region of the process at a port; for an unknown port, of this process."""
        process: dict[str, str] = self.content["places"].get(str(port), self.own)
        return process

    def delay(self, port: int) -> float:
        """Return the one-way network delay to the process that listens on a port, in seconds."""
        return DELAY_BETWEEN_REGIONS_SECONDS if self.process_at(port)["region"] != self.own["region"] else 0.0

    def is_partitioned(self, port: int) -> bool:
        """Return whether a partition separates this process from the one that listens on a port.

        The fault file describes a partition by the names of the processes on one of its two sides.
        """
        other = self.process_at(port)["name"]
        return any((self.own["name"] in side) != (other in side) for side in self.content["cuts"])

    def disk(self) -> str:
        """Return the fault of this process's disk, `stalled` or `full`, or an empty text if it has none."""
        fault: str = self.content["disks"].get(self.own["name"], "")
        return fault


class FaultyStream:
    """The client's end of a connection, which applies delays and partitions to both directions.

    Attributes:
        inner: The real connection.
        faults: The injected faults.
        port: TCP port of the server, by which the process at the other end is found.
        next_send_at: When the payload that was queued last is sent, in seconds of the event loop's clock.
    """

    def __init__(self, inner: network.Stream, faults: FaultFile, port: int) -> None:
        self.inner = inner
        self.faults = faults
        self.port = port
        self.next_send_at = 0.0

    async def read(self) -> bytes:
        """Return the next payload after the network delay; during a partition, after its end."""
        payload = await self.inner.read()
        await asyncio.sleep(self.faults.delay(self.port))
        while self.faults.is_partitioned(self.port):  # noqa: ASYNC110 - another process changes the file
            await asyncio.sleep(POLL_SECONDS)
        return payload

    def write(self, payload: bytes) -> None:
        """Send a payload after the network delay, in order and without loss, since TCP retransmits."""
        loop = asyncio.get_running_loop()
        self.next_send_at = max(self.next_send_at, loop.time() + self.faults.delay(self.port))
        loop.call_at(self.next_send_at, self.send, payload)

    def send(self, payload: bytes) -> None:
        """Write a payload to the real connection, or try again later while a partition separates the ends."""
        if self.faults.is_partitioned(self.port):
            asyncio.get_running_loop().call_later(POLL_SECONDS, self.send, payload)
        else:
            self.inner.write(payload)

    def abort(self) -> None:
        """Close the connection at once."""
        self.close()

    async def flush(self) -> None:
        """Wait until the send buffer of the real connection has room."""
        await self.inner.flush()

    def close(self) -> None:
        """Close the real connection."""
        self.inner.close()


class FaultyDatagramSocket:
    """A datagram socket that delays datagrams and drops some of them."""

    def __init__(self, inner: network.DatagramSocket, faults: FaultFile) -> None:
        self.inner = inner
        self.faults = faults

    def send(self, payload: bytes, address: network.Address) -> None:
        """Send a datagram after the network delay, unless a partition or the random loss drops it."""
        if self.faults.is_partitioned(address[1]) or random.random() < self.faults.content["loss"]:
            return
        delay = self.faults.delay(address[1])
        asyncio.get_running_loop().call_later(delay, self.inner.send, payload, address)

    def close(self) -> None:
        """Close the real datagram socket."""
        self.inner.close()


class FaultyNetwork(network.RealNetwork):
    """The real network, with delays, partitions and datagram loss from the fault file."""

    faults: FaultFile

    async def connect(self, address: network.Address) -> network.Stream:
        """Open a connection; during a partition, wait for its end first."""
        while self.faults.is_partitioned(address[1]):  # noqa: ASYNC110 - another process changes the file
            await asyncio.sleep(POLL_SECONDS)
        return FaultyStream(await super().connect(address), self.faults, address[1])

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> typing.Any:
        """Accept connections at an address, and begin to poll the fault file in a task."""
        self.poll_task = asyncio.get_running_loop().create_task(self.faults.poll())
        return await super().listen(address, on_stream)

    async def open_datagram_socket(
        self, address: network.Address, on_datagram: network.OnDatagram
    ) -> network.DatagramSocket:
        """Open a datagram socket that delays and drops datagrams."""
        return FaultyDatagramSocket(await super().open_datagram_socket(address, on_datagram), self.faults)


class FaultyDisk(disk.FolderDisk):
    """The real disk, whose writes wait or fail while the fault file says that it is stalled or full."""

    faults: FaultFile

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        """Write files; while the disk is stalled, wait first.

        Raises:
            errors.DiskFullError: The fault file says that the disk is full.
        """
        while self.faults.disk() == DISK_STALLED:  # noqa: ASYNC110 - another process changes the file
            await asyncio.sleep(POLL_SECONDS)
        if self.faults.disk() == DISK_FULL:
            raise errors.DiskFullError(f"no space left in {self.path} (injected fault)")
        await super().write(files)


def main() -> None:
    """Run the program that the first argument names with the remaining arguments, and inject faults."""
    faults = FaultFile(pathlib.Path(os.environ[FAULT_FILE_VARIABLE]))
    FaultyNetwork.faults = faults
    FaultyDisk.faults = faults
    # The programs create their network and disk through these names when they run.
    setattr(network, "RealNetwork", FaultyNetwork)  # noqa: B010 - a class cannot be assigned to in typed code
    setattr(disk, "FolderDisk", FaultyDisk)  # noqa: B010 - a class cannot be assigned to in typed code
    wall_clock = time.time
    time.time = lambda: wall_clock() + faults.content["jump"]
    program = sys.argv.pop(1)
    # The module is imported only now, so that the program sees the replaced classes, and by its full name:
    # dataplane and controlplane each have a module `program`.
    importlib.import_module(f"irisstand.{program}.program").main()


if __name__ == "__main__":
    main()
