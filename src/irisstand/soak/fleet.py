"""The processes of a soak run: their settings, starts, signals and ends; it ends only what it started."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import typing

from irisstand.soak import records, shape

PORT = 7002
HTTP_PORT = 7003
FRONT_PORT = 7004
RESTART_DELAY_SECONDS = 0.3
INTERPRETER_START_SECONDS = 0.3
MEMORY_CHECK_SECONDS = 0.5
BYTES_PER_MB = 1e6
PROGRAM_MODULES = {
    "direct": "irisstand.dataplane.program",
    "holder": "irisstand.dataplane.program",
    "agency": "irisstand.controlplane.program",
}


class ProcessAddress(typing.NamedTuple):
    """Where a process runs: its name, role, site and IP number."""

    name: str
    role: str
    site: str
    host: str


class Fleet:
    """All processes of a run, each at a loopback address of its own and kept running until the end.

    Attributes:
        lives: How often each process was started.
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
        self.is_stopping = False
        self.background_tasks: list[asyncio.Task[None]] = []

    def with_role(self, role: str) -> list[ProcessAddress]:
        """Return the places of a role."""
        return [address for address in self.addresses.values() if address.role == role]

    def settings_of(self, address: ProcessAddress) -> dict[str, typing.Any]:
        """Return the settings of a process."""
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
        }
        if address.role == "agency":
            data = self.folder / address.name
            control_plane_settings = {"data": str(data), "found_by_seeds": True, "voters": len(control)}
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
        """Start all processes, and keep them running."""
        for name in self.addresses:
            await self.start(name)
            self.background_tasks.append(asyncio.create_task(self.restart_on_exit(name)))
        self.background_tasks.append(asyncio.create_task(self.watch_memory()))

    async def start(self, name: str) -> None:
        """Write the settings of a process and start it."""
        address = self.addresses[name]
        path = self.folder / f"{name}.toml"
        # JSON strings, numbers and lists of strings are TOML as well.
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in self.settings_of(address).items()]
        path.write_text("".join(lines))
        with open(self.folder / f"{name}.log", "ab") as log:  # noqa: ASYNC230 - a local file, once a start
            self.processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", PROGRAM_MODULES[address.role], "--settings", str(path)),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )
        self.start_counts[name] += 1
        self.started_at[name] = asyncio.get_running_loop().time()

    async def restart_on_exit(self, name: str) -> None:
        """Start a process again whenever it has ended."""
        while True:
            code = await self.processes[name].wait()
            if self.is_stopping:
                return
            stop = self.records.stops.get((name, self.start_counts[name]))
            if stop is None:
                self.records.unexpected_ends.append(f"{name} ended by itself with {code}")
            else:
                stop.ended_at = asyncio.get_running_loop().time()
                stop.code = code
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            await self.start(name)

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process that runs."""
        process = self.processes[name]
        age = asyncio.get_running_loop().time() - self.started_at[name]
        # The interpreter itself cannot be made to ignore a hang-up while it starts.
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
        """Note the most memory that each role had resident, and how late this process itself is."""
        loop = asyncio.get_running_loop()
        while True:
            for name, process in self.processes.items():
                role = self.addresses[name].role
                used = resident_mb(process.pid)
                self.records.peak_memory_mb[role] = max(self.records.peak_memory_mb.get(role, 0.0), used)
            due_at = loop.time() + MEMORY_CHECK_SECONDS
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            lag = loop.time() - due_at
            self.records.longest_lag_seconds = max(self.records.longest_lag_seconds, lag)

    async def stop_all(self) -> None:
        """End all processes, in order if they do."""
        self.is_stopping = True
        for keeper in self.background_tasks:
            keeper.cancel()
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
    """Return the places of a run: addresses in a part of 127.0.0.0/8 that is drawn anew for each run."""
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


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 if it has ended."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
