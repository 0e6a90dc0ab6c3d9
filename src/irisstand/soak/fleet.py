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
RESTART_SECONDS = 0.3
INTERPRETER_SECONDS = 0.3
MEMORY_CHECK_SECONDS = 0.5
BYTES_PER_MB = 1e6
PROGRAMS = {
    "direct": "irisstand.dataplane.program",
    "holder": "irisstand.dataplane.program",
    "agency": "irisstand.controlplane.program",
}


class Place(typing.NamedTuple):
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
        self, plan: shape.SoakShape, folder: pathlib.Path, platform_port: int, seen: records.Records
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.platform_port = platform_port
        self.records = seen
        self.places = place_processes(plan)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.lives: dict[str, int] = dict.fromkeys(self.places, 0)
        self.started_at: dict[str, float] = {}
        self.is_ending = False
        self.keepers: list[asyncio.Task[None]] = []

    def named(self, role: str) -> list[Place]:
        """Return the places of a role."""
        return [place for place in self.places.values() if place.role == role]

    def settings(self, place: Place) -> dict[str, typing.Any]:
        """Return the settings of a process."""
        control = self.named("agency")
        farewell = shape.EDGE_FAREWELL_SECONDS if place.role == "direct" else shape.OTHER_FAREWELL_SECONDS
        settings = {
            "name": place.name,
            "machine": f"m-{place.name}",
            "site": place.site,
            "region": "one",
            "host": place.host,
            "port": PORT,
            "http_port": HTTP_PORT,
            "seeds": [f"{node.host}:{PORT}" for node in control[:3]],
            "farewell": farewell,
            "drain": shape.SHUTDOWN_SECONDS - farewell,
        }
        if place.role == "agency":
            data = self.folder / place.name
            more = {"data": str(data), "found_by_seeds": True, "voters": len(control)}
            more |= {"platform": f"127.0.0.1:{self.platform_port}", "platform_interval": 0.5}
            return {**settings, **more, "duties": "platform-watch,rate-parts,retention"}
        settings |= {"role": place.role, "holder_edges": 1.0, "second_allowance": 50.0}
        if place.role == "direct":
            settings["front"] = f"{place.host}:{FRONT_PORT}"
        return settings

    async def start_all(self) -> None:
        """Start all processes, and keep them running."""
        for name in self.places:
            await self.start(name)
            self.keepers.append(asyncio.create_task(self.keep(name)))
        self.keepers.append(asyncio.create_task(self.watch_memory()))

    async def start(self, name: str) -> None:
        """Write the settings of a process and start it."""
        place = self.places[name]
        path = self.folder / f"{name}.toml"
        # JSON strings, numbers and lists of strings are TOML as well.
        lines = [f"{key} = {json.dumps(value)}\n" for key, value in self.settings(place).items()]
        path.write_text("".join(lines))
        with open(self.folder / f"{name}.log", "ab") as log:  # noqa: ASYNC230 - a local file, once a start
            self.processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", PROGRAMS[place.role], "--settings", str(path)),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )
        self.lives[name] += 1
        self.started_at[name] = asyncio.get_running_loop().time()

    async def keep(self, name: str) -> None:
        """Start a process again whenever it has ended."""
        while True:
            code = await self.processes[name].wait()
            if self.is_ending:
                return
            stop = self.records.stops.get((name, self.lives[name]))
            if stop is None:
                self.records.unexpected_ends.append(f"{name} ended by itself with {code}")
            else:
                stop.ended_at = asyncio.get_running_loop().time()
                stop.code = code
            await asyncio.sleep(RESTART_SECONDS)
            await self.start(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that runs."""
        process = self.processes[name]
        age = asyncio.get_running_loop().time() - self.started_at[name]
        # The interpreter itself cannot be made to ignore a hang-up while it starts.
        if process.returncode is not None or (number is signal.SIGHUP and age < INTERPRETER_SECONDS):
            return
        if number is signal.SIGTERM:
            now = asyncio.get_running_loop().time()
            key = (name, self.lives[name])
            self.records.stops.setdefault(key, records.Stop(*key, sent_at=now, age_seconds=age))
        else:
            self.records.hangups += 1
        process.send_signal(number)

    async def watch_memory(self) -> None:
        """Note the most memory that each role had resident, and how late this process itself is."""
        loop = asyncio.get_running_loop()
        while True:
            for name, process in self.processes.items():
                role = self.places[name].role
                used = resident_mb(process.pid)
                self.records.peak_memory_mb[role] = max(self.records.peak_memory_mb.get(role, 0.0), used)
            due_at = loop.time() + MEMORY_CHECK_SECONDS
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            lag = loop.time() - due_at
            self.records.longest_lag_seconds = max(self.records.longest_lag_seconds, lag)

    async def stop_all(self) -> None:
        """End all processes, in order if they do."""
        self.is_ending = True
        for keeper in self.keepers:
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


def place_processes(plan: shape.SoakShape) -> dict[str, Place]:
    """Return the places of a run: addresses in a part of 127.0.0.0/8 that is drawn anew for each run."""
    draws = random.SystemRandom()
    net = f"127.{draws.randint(20, 250)}.{draws.randint(1, 250)}"
    places = {}
    counts = (("agency", plan.control_nodes), ("holder", plan.holders), ("direct", plan.edges))
    number = 0
    for role, count in counts:
        for index in range(count):
            number += 1
            prefix = "edge" if role == "direct" else role
            name = f"{prefix}-{index + 1}"
            places[name] = Place(name, role, f"z{index % plan.zones + 1}", f"{net}.{number}")
    return places


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 if it has ended."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
