"""Processes of a soak run: writes their settings, starts, signals and stops them, and no other processes."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import typing

from irisstand.soak import machine_limits, records, shape

# Ports of every process at its own address: for other nodes, for HTTP of operators and probes, and for the
# clients of edges.
PORT = 7002
HTTP_PORT = 7003
FRONT_PORT = 7004
# Pause between the exit of a process and its next start.
RESTART_DELAY_SECONDS = 0.3
# Age below which a process may still be starting its Python interpreter and receives no SIGHUP.
INTERPRETER_START_SECONDS = 0.3
MEMORY_CHECK_SECONDS = 0.5
# Module that is run for a process of each role.
PROGRAM_MODULES = {
    "direct": "irisstand.dataplane.program",
    "holder": "irisstand.dataplane.program",
    "agency": "irisstand.controlplane.program",
}


class ProcessAddress(typing.NamedTuple):
    """Name, role, site and IP address of one process of the run."""

    name: str
    role: str
    site: str
    host: str


class Fleet:
    """Starts all processes of a run, each at its own loopback address, and restarts each one that exits.

    Attributes:
        plan: Sizes and parameters of the run.
        folder: Directory of the settings, data and log files of the processes.
        platform_port: Port on 127.0.0.1 where the emulated platform lists the origins.
        records: Where stops, unexpected exits and memory use are recorded.
        addresses: Address of each process by its name.
        processes: Latest started process by name.
        start_counts: How many times each process has been started, by name.
        started_at: Event loop time of the latest start of each process, in seconds.
        lost_disks: Names of the processes whose disk is empty at the next start.
        is_stopping: Whether the run is over, so that a process that exits isn't started again.
        background_tasks: Tasks that restart the processes and measure their memory.
    """

    def __init__(
        self, plan: shape.SoakShape, folder: pathlib.Path, platform_port: int, run_records: records.Records
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.platform_port = platform_port
        self.records = run_records
        self.addresses = assign_addresses(plan)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.start_counts: dict[str, int] = dict.fromkeys(self.addresses, 0)
        self.started_at: dict[str, float] = {}
        self.lost_disks: set[str] = set()
        self.is_stopping = False
        self.background_tasks: list[asyncio.Task[None]] = []

    def with_role(self, role: str) -> list[ProcessAddress]:
        """Return the addresses of all processes that have a role."""
        return [address for address in self.addresses.values() if address.role == role]

    def settings_of(self, address: ProcessAddress) -> dict[str, typing.Any]:
        """Return the content of the settings file of a process."""
        control = self.with_role("agency")
        lame_duck_seconds = (
            shape.EDGE_LAME_DUCK_SECONDS if address.role == "direct" else shape.OTHER_LAME_DUCK_SECONDS
        )
        settings = {
            "name": address.name,
            "machine": f"m-{address.name}",
            "site": address.site,
            "region": "one",
            "host": address.host,
            "port": PORT,
            "http_port": HTTP_PORT,
            "seeds": [f"{node.host}:{PORT}" for node in control[:3]],
            "farewell": lame_duck_seconds,
            "drain": shape.SHUTDOWN_SECONDS - lame_duck_seconds,
            "replace_after": shape.REPLACE_VOTER_SECONDS,
        }
        if address.role == "agency":
            data = self.folder / address.name
            control_plane_settings = {"data": str(data), "found_by_seeds": True, "voters": len(control)}
            control_plane_settings["may_found"] = self.start_counts[address.name] == 0
            control_plane_settings |= {
                "platform": f"127.0.0.1:{self.platform_port}",
                "platform_interval": 0.5,
            }
            return {**settings, **control_plane_settings, "duties": "platform-watch,rate-parts,retention"}
        settings |= {"role": address.role, "holder_edges": 1.0, "second_allowance": 50.0}
        if address.role == "direct":
            settings["front"] = f"{address.host}:{FRONT_PORT}"
        return settings

    async def start_all(self) -> None:
        """Start all processes and the tasks that restart them and measure their memory."""
        for name in self.addresses:
            await self.start(name)
            self.background_tasks.append(asyncio.create_task(self.restart_on_exit(name)))
        self.background_tasks.append(asyncio.create_task(self.watch_memory()))

    async def start(self, name: str) -> None:
        """Write the settings file of a process and start the process."""
        address = self.addresses[name]
        path = self.folder / f"{name}.toml"
        # Strings, numbers, booleans and lists of strings are written the same in JSON and in TOML.
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in self.settings_of(address).items()]
        path.write_text("".join(lines))
        with open(self.folder / f"{name}.log", "ab") as log:  # noqa: ASYNC230 - local file
            self.processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", PROGRAM_MODULES[address.role], "--settings", str(path)),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=dict(os.environ),
                preexec_fn=machine_limits.LIMITS_BY_ROLE[address.role].apply,
            )
        self.start_counts[name] += 1
        self.started_at[name] = asyncio.get_running_loop().time()

    async def restart_on_exit(self, name: str) -> None:
        """Restart a process whenever it exits, and record each exit, until the run is over."""
        while True:
            code = await self.processes[name].wait()
            if self.is_stopping:
                return
            self.record_exit(name, code)
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            if name in self.lost_disks:
                self.lost_disks.remove(name)
                shutil.rmtree(self.folder / name, ignore_errors=True)
            await self.start(name)

    def record_exit(self, name: str, code: int) -> None:
        """Record the exit of a process; one that was sent no signal ended by itself."""
        key = (name, self.start_counts[name])
        stop = self.records.stops.get(key)
        if key in self.records.kills:
            return
        if stop is None:
            self.records.unexpected_ends.append(f"{name} exited with code {code} without SIGTERM")
            return
        stop.ended_at = asyncio.get_running_loop().time()
        stop.code = code

    def kill(self, name: str, *, loses_disk: bool = False) -> None:
        """Send SIGKILL to a process if it is running; its disk may be empty at the next start."""
        process = self.processes[name]
        if process.returncode is not None:
            return
        self.records.kills[name, self.start_counts[name]] = asyncio.get_running_loop().time()
        process.kill()
        if loses_disk:
            self.lost_disks.add(name)

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send SIGTERM or SIGHUP to a process if it is running, and record the signal."""
        process = self.processes[name]
        age = asyncio.get_running_loop().time() - self.started_at[name]
        # SIGHUP kills a Python interpreter that is still starting: no handler can be installed yet.
        if process.returncode is not None or (
            signal_number is signal.SIGHUP and age < INTERPRETER_START_SECONDS
        ):
            return
        if signal_number is signal.SIGTERM:
            now = asyncio.get_running_loop().time()
            key = (name, self.start_counts[name])
            self.records.stops.setdefault(key, records.Stop(*key, sent_at=now, age_seconds=age))
        else:
            self.records.sighups += 1
        process.send_signal(signal_number)

    async def watch_memory(self) -> None:
        """Record the peak resident memory of each role and the longest lag of this process's event loop."""
        loop = asyncio.get_running_loop()
        while True:
            for name, process in self.processes.items():
                role = self.addresses[name].role
                used = machine_limits.resident_mb(process.pid)
                self.records.peak_memory_mb[role] = max(self.records.peak_memory_mb.get(role, 0.0), used)
                descriptors = machine_limits.open_descriptors(process.pid)
                self.records.peak_descriptors[role] = max(
                    self.records.peak_descriptors.get(role, 0), descriptors
                )
            due_at = loop.time() + MEMORY_CHECK_SECONDS
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            lag = loop.time() - due_at
            self.records.longest_lag_seconds = max(self.records.longest_lag_seconds, lag)

    async def stop_all(self) -> None:
        """Send SIGTERM to all processes, and SIGKILL to those that exceed the grace period by 4 seconds."""
        self.is_stopping = True
        for task in self.background_tasks:
            task.cancel()
        running = [process for process in self.processes.values() if process.returncode is None]
        for process in running:
            process.terminate()
        for process in running:
            try:
                async with asyncio.timeout(shape.GRACE_SECONDS + 4):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()


def assign_addresses(plan: shape.SoakShape) -> dict[str, ProcessAddress]:
    """Assign each process an address in a random /24 network of 127.0.0.0/8, drawn anew for each run."""
    randomness = random.SystemRandom()
    net = f"127.{randomness.randint(20, 250)}.{randomness.randint(1, 250)}"
    addresses = {}
    counts = (("agency", plan.control_nodes), ("holder", plan.holders), ("direct", plan.edges))
    number = 0
    for role, count in counts:
        for index in range(count):
            number += 1
            prefix = "edge" if role == "direct" else role
            name = f"{prefix}-{index + 1}"
            addresses[name] = ProcessAddress(name, role, f"z{index % plan.zones + 1}", f"{net}.{number}")
    return addresses
