"""A local cluster: all programs as processes on one machine; it ends only processes that it started."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing

import aiohttp

from irisstand import errors

HTTP_OK = 200


class ProcessPlacement(typing.NamedTuple):
    """Name, program, place and ports of a process."""

    name: str
    program: str
    role: str
    machine: str
    site: str
    region: str
    port: int
    http_port: int


def free_ports(count: int) -> list[int]:
    """Return so many TCP ports of 127.0.0.1 that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


class ClusterShape(typing.NamedTuple):
    """Numbers of machines, and the sites they are spread over, each with its region."""

    edges: int
    shields: int
    stores: int
    sites: tuple[tuple[str, str], ...]
    content_origins: int
    application_origins: int
    rate: float
    deadline: float


SHAPES = {
    "thin": ClusterShape(1, 1, 1, (("north", "one"),), 1, 1, 20, 3.0),
    "karbes": ClusterShape(
        8, 5, 2, (("north", "one"), ("south", "one"), ("east", "two"), ("west", "two")), 4, 8, 165, 3.0
    ),
    "kildespor": ClusterShape(
        9, 5, 2, (("alpha", "one"), ("beta", "one"), ("gamma", "one"), ("delta", "one")), 4, 8, 375, 1.0
    ),
}


def place_processes(shape: ClusterShape) -> list[ProcessPlacement]:
    """Return the processes of a shape, spread over its sites."""
    places = []
    wanted = [("edge", shape.edges), ("shield", shape.shields), ("store", shape.stores)]
    ports = iter(free_ports(2 * (shape.edges + 2 * shape.shields + shape.stores)))
    for role, count in wanted:
        for number in range(1, count + 1):
            site, region = shape.sites[(number - 1) % len(shape.sites)]
            machine = f"{role}-machine-{number}"
            where = (machine, site, region)
            places.append(
                ProcessPlacement(f"{role}-{number}", "dataplane", role, *where, next(ports), next(ports))
            )
            if role == "shield":
                name = f"agency-{number}"
                places.append(
                    ProcessPlacement(name, "controlplane", "agency", *where, next(ports), next(ports))
                )
    return places


class LocalCluster:
    """The processes of one cluster, their settings files, and the file with the injected faults.

    Attributes:
        weather: The faults that `fault_injection` reads in each process.
    """

    def __init__(self, shape: ClusterShape, folder: pathlib.Path, platform_port: int) -> None:
        self.shape = shape
        self.folder = folder
        self.platform_port = platform_port
        self.places = {place.name: place for place in place_processes(shape)}
        self.lost = 0
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        control_nodes = [place for place in self.places.values() if place.program == "controlplane"]
        self.seeds = [f"127.0.0.1:{place.port}" for place in control_nodes[:3]]
        self.founding = len(control_nodes)
        cards = {
            name: {"name": name, "site": place.site, "region": place.region}
            for name, place in self.places.items()
        }
        self.report = folder / "weather.json"
        self.weather: dict[str, typing.Any] = {
            "self": cards,
            "places": {str(p.port): cards[p.name] for p in self.places.values()},
            "cuts": [],
            "loss": 0.0,
            "disks": {},
            "jump": 0.0,
        }
        folder.mkdir(parents=True, exist_ok=True)
        self.forecast()

    def named(self, role: str) -> list[ProcessPlacement]:
        """Return the processes of a role."""
        return [place for place in self.places.values() if place.role == role]

    def start(self, name: str) -> None:
        """Write the settings of a process and start it."""
        place = self.places[name]
        settings = {
            "name": name,
            "machine": place.machine,
            "site": place.site,
            "region": place.region,
            "host": "127.0.0.1",
            "port": place.port,
            "http_port": place.http_port,
            "seeds": self.seeds,
        }
        if place.program == "controlplane":
            settings |= {"data": str(self.folder / name), "founding": self.founding}
            settings |= {"platform": f"127.0.0.1:{self.platform_port}", "platform_interval": 0.5}
        else:
            settings["role"] = place.role
        path = self.folder / f"{name}.toml"
        # JSON strings, numbers and lists of strings are TOML as well.
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()))
        entry = ["-m", "irisstand.localcluster.fault_injection", place.program]
        command = [sys.executable, *entry, "--settings", str(path)]
        environment = {**os.environ, "IRISSTAND_WEATHER": str(self.report), "IRISSTAND_WEATHER_NAME": name}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    def forecast(self, **changes: typing.Any) -> None:
        """Change the injected faults; the processes see it within about a tenth of a second."""
        self.weather |= changes
        aside = self.report.with_suffix(".aside")
        aside.write_text(json.dumps(self.weather))
        aside.rename(self.report)

    def start_all(self) -> None:
        """Start all processes."""
        for name in self.places:
            self.start(name)

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    async def ended(self, name: str, patience: float = 10.0) -> int:
        """Wait on a thread until a process has ended, and return its exit code."""
        return await asyncio.to_thread(self.processes[name].wait, patience)

    def wipe(self, name: str) -> None:
        """Lose a disk; its directory is kept under another name for inspection."""
        self.lost += 1
        (self.folder / name).rename(self.folder / f"{name}.lost-{self.lost}")

    def stop_all(self) -> None:
        """End all processes, in order if they do."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f"http://127.0.0.1:{self.places[name].http_port}"

    async def ready(self, session: aiohttp.ClientSession, names: list[str], patience: float = 30.0) -> None:
        """Wait until every one of these calls itself ready; a process that ended is an error at once."""
        end = asyncio.get_running_loop().time() + patience
        for name in names:
            while True:
                if self.processes[name].poll() is not None:
                    raise errors.IrisError(f"{name} ended; its log is {self.folder / name}.log")
                try:
                    async with session.get(self.url(name) + "/_irisstand/ready") as response:
                        if response.status == HTTP_OK:
                            break
                        why = await response.text()
                except aiohttp.ClientError as error:
                    why = repr(error)
                if asyncio.get_running_loop().time() > end:
                    raise errors.IrisError(f"{name} did not get ready: {why}")
                await asyncio.sleep(0.1)
