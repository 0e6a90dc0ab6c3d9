"""Starts, stops and watches the processes of a local cluster. Only processes that it started are ended."""

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
    """Which program a process runs, in which role, at which emulated location and on which ports.

    Attributes:
        program: The package whose module `program` runs: `dataplane` or `controlplane`.
        role: `edge`, `shield` or `store`; `agency` for a control plane node.
        port: Port of 127.0.0.1 for messages between nodes.
        http_port: TCP port of 127.0.0.1 for HTTP.
    """

    name: str
    program: str
    role: str
    machine: str
    site: str
    region: str
    port: int
    http_port: int


def free_ports(count: int) -> list[int]:
    """Return `count` different TCP ports of 127.0.0.1 that are free at present."""
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


class ClusterShape(typing.NamedTuple):
    """Size, sites and load of a network.

    Attributes:
        shields: Number of shields; each shares its machine with a control plane node.
        sites: Name and region of each site; nodes and origins are spread over them in turn.
        rate: Requests of all clients together, per second.
        deadline: Time that a request to a service may take, in seconds.
    """

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
    """Return a placement for each process of a shape, spread over its sites in turn."""
    placements = []
    role_counts = [("edge", shape.edges), ("shield", shape.shields), ("store", shape.stores)]
    ports = iter(free_ports(2 * (shape.edges + 2 * shape.shields + shape.stores)))
    for role, count in role_counts:
        for number in range(1, count + 1):
            site, region = shape.sites[(number - 1) % len(shape.sites)]
            machine = f"{role}-machine-{number}"
            location = (machine, site, region)
            placements.append(
                ProcessPlacement(f"{role}-{number}", "dataplane", role, *location, next(ports), next(ports))
            )
            if role == "shield":
                name = f"agency-{number}"
                placements.append(
                    ProcessPlacement(name, "controlplane", "agency", *location, next(ports), next(ports))
                )
    return placements


class LocalCluster:
    """The processes of one cluster, their settings files, and the file with the injected faults.

    Attributes:
        folder: Directory of settings, data, logs and fault file.
        platform_port: TCP port of 127.0.0.1 of the emulated platform, which lists the origins.
        placements: Program, location and ports of each process, by its name.
        lost_disk_count: Number of data directories that were moved aside to emulate the loss of a disk.
        seeds: Addresses of the control plane nodes that a starting node contacts first.
        founder_count: Number of control plane nodes that found the network together.
        faults: Content of the fault file, which `fault_injection` polls in each process.
    """

    def __init__(self, shape: ClusterShape, folder: pathlib.Path, platform_port: int) -> None:
        self.shape = shape
        self.folder = folder
        self.platform_port = platform_port
        self.placements = {placement.name: placement for placement in place_processes(shape)}
        self.lost_disk_count = 0
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        control_plane_nodes = [
            placement for placement in self.placements.values() if placement.program == "controlplane"
        ]
        self.seeds = [f"127.0.0.1:{placement.port}" for placement in control_plane_nodes[:3]]
        self.founder_count = len(control_plane_nodes)
        identities = {
            name: {"name": name, "site": placement.site, "region": placement.region}
            for name, placement in self.placements.items()
        }
        self.faults_path = folder / "weather.json"
        self.faults: dict[str, typing.Any] = {
            "self": identities,
            "places": {str(p.port): identities[p.name] for p in self.placements.values()},
            "cuts": [],
            "loss": 0.0,
            "disks": {},
            "jump": 0.0,
        }
        folder.mkdir(parents=True, exist_ok=True)
        self.set_faults()

    def with_role(self, role: str) -> list[ProcessPlacement]:
        """Return the placements of all processes in a role."""
        return [placement for placement in self.placements.values() if placement.role == role]

    def start(self, name: str) -> None:
        """Write the settings file of a process and start the process; its output is appended to its log."""
        placement = self.placements[name]
        settings = {
            "name": name,
            "machine": placement.machine,
            "site": placement.site,
            "region": placement.region,
            "host": "127.0.0.1",
            "port": placement.port,
            "http_port": placement.http_port,
            "seeds": self.seeds,
        }
        if placement.program == "controlplane":
            settings |= {"data": str(self.folder / name), "founding": self.founder_count}
            settings |= {"platform": f"127.0.0.1:{self.platform_port}", "platform_interval": 0.5}
        else:
            settings["role"] = placement.role
        path = self.folder / f"{name}.toml"
        # Strings, numbers and lists of strings have the same syntax in JSON as in TOML.
        path.write_text("".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items()))
        module_arguments = ["-m", "irisstand.localcluster.fault_injection", placement.program]
        command = [sys.executable, *module_arguments, "--settings", str(path)]
        environment = {
            **os.environ,
            "IRISSTAND_WEATHER": str(self.faults_path),
            "IRISSTAND_WEATHER_NAME": name,
        }
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    def set_faults(self, **changes: typing.Any) -> None:
        """Change the injected faults; the processes see the change within about a tenth of a second.

        Args:
            **changes: New values of the fault file's keys: `cuts` (partitions), `loss` (share of datagrams),
                `disks` (fault by name of the process) and `jump` (seconds added to the wall clocks).
        """
        self.faults |= changes
        temporary_path = self.faults_path.with_suffix(".aside")
        temporary_path.write_text(json.dumps(self.faults))
        temporary_path.rename(self.faults_path)

    def start_all(self) -> None:
        """Start all processes of the cluster."""
        for name in self.placements:
            self.start(name)

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal, by default SIGKILL, to a process that was started."""
        self.processes[name].send_signal(signal_number)

    async def wait_for_exit(self, name: str, timeout_seconds: float = 10.0) -> int:
        """Return the exit status of a process once it has exited; a thread waits for it."""
        return await asyncio.to_thread(self.processes[name].wait, timeout_seconds)

    def wipe(self, name: str) -> None:
        """Emulate the loss of a node's disk; its data directory is renamed and so kept for inspection."""
        self.lost_disk_count += 1
        (self.folder / name).rename(self.folder / f"{name}.lost-{self.lost_disk_count}")

    def stop_all(self) -> None:
        """End all processes with SIGTERM, suspended ones too; kill one that does not exit in ten seconds."""
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
        """Return the base URL of a process's HTTP interface."""
        return f"http://127.0.0.1:{self.placements[name].http_port}"

    async def wait_until_ready(
        self, session: aiohttp.ClientSession, names: list[str], timeout_seconds: float = 30.0
    ) -> None:
        """Wait until the readiness endpoint of each of the named processes answers 200.

        Raises:
            errors.IrisError: A process has exited, or not all were ready within the timeout.
        """
        end = asyncio.get_running_loop().time() + timeout_seconds
        for name in names:
            while True:
                if self.processes[name].poll() is not None:
                    raise errors.IrisError(f"process {name} has exited; its log is {self.folder / name}.log")
                try:
                    async with session.get(self.url(name) + "/_irisstand/ready") as response:
                        if response.status == HTTP_OK:
                            break
                        why = await response.text()
                except aiohttp.ClientError as error:
                    why = repr(error)
                if asyncio.get_running_loop().time() > end:
                    raise errors.IrisError(
                        f"process {name} did not become ready in time; it last reported: {why}"
                    )
                await asyncio.sleep(0.1)
