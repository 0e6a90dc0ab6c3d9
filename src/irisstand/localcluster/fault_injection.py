"""Trouble laid under the real programs: delay, cuts, lost datagrams, bad disks, clocks that jump.

A rehearsal starts its daemons by this module: it puts its own network and disk where the programs look for
the real ones and then runs them unchanged. What the weather is stands in a file that the rehearsal rewrites.
"""

import asyncio
import collections.abc
import json
import os
import pathlib
import random
import sys
import time
import typing

from irisstand import errors
from irisstand.state.storage import disk as disks
from irisstand.transport import network

VARIABLE = "IRISSTAND_WEATHER"
ONE_WAY = 0.006
FULL, STALLED = "full", "stalled"


class Weather:
    """What the file said last; read again ten times a second, on a thread."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.content: dict[str, typing.Any] = {}
        self.read()
        self.own = self.content["self"][os.environ[VARIABLE + "_NAME"]]

    def read(self) -> None:
        # Renamed into place by the rehearsal, so what is read is whole.
        self.content = json.loads(self.path.read_text())

    async def follow(self) -> None:
        while True:
            await asyncio.to_thread(self.read)
            await asyncio.sleep(0.1)

    def place(self, port: int) -> dict[str, str]:
        return self.content["places"].get(str(port), self.own)

    def delay(self, port: int) -> float:
        return ONE_WAY if self.place(port)["region"] != self.own["region"] else 0.0

    def is_cut(self, port: int) -> bool:
        """A cut is a list of names on one side; everybody else is on the other."""
        other = self.place(port)["name"]
        return any((self.own["name"] in side) != (other in side) for side in self.content["cuts"])

    def disk(self) -> str:
        return self.content["disks"].get(self.own["name"], "")


class Stream:
    """The caller's end of a connection, with the way there and the way back on it."""

    def __init__(self, inner: network.Stream, weather: Weather, port: int) -> None:
        self.inner, self.weather, self.port = inner, weather, port
        self.free_at = 0.0

    async def read(self) -> bytes:
        payload = await self.inner.read()
        await asyncio.sleep(self.weather.delay(self.port))
        while self.weather.is_cut(self.port):
            await asyncio.sleep(0.05)
        return payload

    def write(self, payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        # In order, and never lost: a cut holds what TCP would send again.
        self.free_at = max(self.free_at, loop.time() + self.weather.delay(self.port))
        loop.call_at(self.free_at, self.send, payload)

    def send(self, payload: bytes) -> None:
        if self.weather.is_cut(self.port):
            asyncio.get_running_loop().call_later(0.05, self.send, payload)
        else:
            self.inner.write(payload)

    async def flush(self) -> None:
        await self.inner.flush()

    def close(self) -> None:
        self.inner.close()


class Port:
    def __init__(self, inner: network.Port, weather: Weather) -> None:
        self.inner, self.weather = inner, weather

    def send(self, payload: bytes, address: network.Address) -> None:
        if self.weather.is_cut(address[1]) or random.random() < self.weather.content["loss"]:
            return
        delay = self.weather.delay(address[1])
        asyncio.get_running_loop().call_later(delay, self.inner.send, payload, address)

    def close(self) -> None:
        self.inner.close()


REAL_NETWORK, REAL_DISK = network.RealNetwork, disks.FolderDisk


class Network(REAL_NETWORK):
    weather: Weather

    async def connect(self, address: network.Address) -> network.Stream:
        while self.weather.is_cut(address[1]):
            await asyncio.sleep(0.05)
        return Stream(await super().connect(address), self.weather, address[1])

    async def listen(self, address: network.Address, on_stream: network.OnStream) -> typing.Any:
        self.following = asyncio.get_running_loop().create_task(self.weather.follow())
        return await super().listen(address, on_stream)

    async def datagrams(self, address: network.Address, on_datagram: network.OnDatagram) -> network.Port:
        return Port(await super().datagrams(address, on_datagram), self.weather)


class Disk(REAL_DISK):
    weather: Weather

    async def write(self, files: collections.abc.Sequence[tuple[str, bytes]]) -> None:
        while self.weather.disk() == STALLED:
            await asyncio.sleep(0.05)
        if self.weather.disk() == FULL:
            raise errors.DiskFullError(f"no space left in {self.path}, says the rehearsal")
        await super().write(files)


def main() -> None:
    """fault_injection PROGRAM [FLAGS]: the program of that name, under these faults."""
    weather = Weather(pathlib.Path(os.environ[VARIABLE]))
    Network.weather = Disk.weather = weather
    network.RealNetwork, disks.FolderDisk = Network, Disk
    wall_clock = time.time
    time.time = lambda: wall_clock() + weather.content["jump"]
    program = sys.argv.pop(1)
    if program == "controlplane":
        from irisstand.controlplane import program as programs
    else:
        from irisstand.dataplane import program as programs
    programs.main()


if __name__ == "__main__":
    main()
