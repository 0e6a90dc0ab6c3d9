"""Stand-ins for the platform, the origins, the clients and the operator, and the project's own programs.

Only the standard library is used. All addresses are loopback addresses; the folder for settings and disks is
a temporary one and is removed at the end.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
NET = f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"
ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}
BOUNDS = {
    "seed_lag": 3, "addr_reuse": 2, "contact": 3, "ack": 4, "catch_up": 4, "drain": 2, "grace": 6,
    "loss_slack": 0.2, "config_apply": 2, "fallback_slack": 0.25, "stretch_max": 5,
    "retry_budget_ratio": 0.2, "retry_window": 10, "retry_slack": 56, "cold_overrun": 1.5, "cold_slack": 5,
    "evacuation": 5, "purge": 2, "stale_slack": 2, "ceiling_window": 5, "ceiling_overrun": 1.1,
    "recovery": 15,
}
MEMORY_MB = {"edge": 300, "core": 296}
RESTART_SECONDS = 0.5


class CannotRun(Exception):
    """The case could not be run: nothing is said about the rule."""


def free_port_block(count, hosts):
    """Return the first of `count` ports in a row that are free on all hosts, over TCP and UDP."""
    for _ in range(200):
        first = random.randint(20000, 29000)
        held = []
        try:
            for host in hosts:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        held.append(one)
                        one.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise CannotRun("no free ports")


class Record:
    """What was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, *words):
        line = f"{time.monotonic() - self.started:8.3f} s  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Request:
    """A request as an origin read it."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.at = time.monotonic()

    @property
    def attempt(self):
        return self.headers.get("attempt-id", "")


async def read_head(reader):
    """Read a start line and headers; a line may end with LF alone, as RFC 9112 (2.2) lets a receiver take it."""
    line = b"\n"
    while line in (b"\n", b"\r\n"):
        line = await reader.readline()
    if not line:
        return None, {}
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            return line.rstrip(b"\r\n").decode("latin-1"), headers
        name, _, value = field.rstrip(b"\r\n").decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Origin:
    """One origin instance, which keeps to PROTOCOL.md."""

    def __init__(self, record, service, number, zone, work_seconds=0.01, objects=None):
        self.record, self.service, self.zone = record, service, zone
        self.instance = f"i-{service}-{number}"
        self.state = "ready"
        # Until when the platform's list calls it cold.
        self.cold_until = 0.0
        self.work_seconds = work_seconds
        # By path: (ETag, body, tags); shared by the origins of a service.
        self.objects = {} if objects is None else objects
        self.runs = []
        self.arrivals = []
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    return
                parts = line.split(" ")
                if len(parts) != 3:
                    writer.write(b"HTTP/1.1 400 Bad Request\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n")
                    return
                body = await read_body(reader, headers)
                request = Request(parts[0], parts[1], headers, body)
                await self.answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write(self, writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
        lines += [f"content-length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)

    async def answer(self, request, writer):
        own = {"answering-instance": self.instance}
        if request.target == "/health":
            self.write(writer, 200, own)
            return
        back = {"attempt-id": request.attempt} if request.attempt else {}
        self.arrivals.append(request)
        if request.headers.get("target-instance", self.instance) != self.instance:
            self.write(writer, 421, {**back, "not-executed": "1"})
            return
        if not request.attempt and request.method != "GET":
            self.write(writer, 400, {"not-executed": "1"})
            return
        self.runs.append(request)
        self.record.add(
            f"origin {self.instance} runs {request.method} {request.target} id {request.attempt or '-'}"
            f" body {len(request.body)} bytes"
        )
        await asyncio.sleep(self.work_seconds)
        seal = f"{self.instance}.{len(self.runs)}"
        path = request.target.partition("?")[0]
        if path in self.objects:
            etag, content, tags = self.objects[path]
            headers = {**back, "answer-seal": seal, "etag": etag, "object-tags": tags}
            if request.headers.get("if-none-match") == etag:
                self.write(writer, 304, headers)
            else:
                self.write(writer, 200, headers, content)
            return
        self.write(writer, 200, {**back, "answer-seal": seal}, b"done " + request.attempt.encode())


class Platform:
    """The platform's list of instances."""

    def __init__(self):
        self.origins = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()

    async def serve(self, reader, writer):
        try:
            line, headers = await read_head(reader)
            if line is not None:
                entries = [
                    {
                        "id": one.instance, "service": one.service, "address": f"127.0.0.1:{one.port}",
                        "zone": one.zone, "version": "v1", "slot_count": 8, "state": one.state,
                        "cold_remaining": round(max(0.0, one.cold_until - time.monotonic()), 3),
                    }
                    for one in self.origins
                ]
                body = json.dumps({"instance_set": entries, "next_token": None}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def toml_value(value):
    return json.dumps(value)


class Fleet:
    """Core machines, one role `core` each, and edge machines, with the commands of the deploy file.

    The stand-in of the platform starts a process again after a short delay when it has ended, and kills one
    that goes over the memory of its machine, as DEPLOY.md says.
    """

    def __init__(self, record, cores=3, edges=2, services=("content", "app"), origins_each=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="irisstand-review-"))
        self.machines = {}
        hosts = []
        zones = list(ZONES)
        for number in range(cores):
            self.machines[f"shield-{number + 1}"] = (f"{NET}.{number + 1}", zones[number % 3], "core")
        for number in range(edges):
            self.machines[f"edge-{number + 1}"] = (f"{NET}.{number + 101}", zones[number % 3], "edge")
        hosts = [ip for ip, _, _ in self.machines.values()]
        self.first_port = free_port_block(20, hosts)
        self.control, self.front, self.readiness = (self.first_port + 16 + n for n in range(3))
        self.processes = {}
        self.ends = {name: [] for name in self.machines}
        self.peak_mb = {name: 0.0 for name in self.machines}
        self.is_first_start = True
        self.is_ending = False
        self.keepers = []
        self.platform = Platform()
        self.objects = {service: {} for service in services}
        self.origins = [
            Origin(record, service, number + 1, zones[number % 3], objects=self.objects[service])
            for service in services
            for number in range(origins_each)
        ]
        self.version = 0

    def seeds(self):
        cores = [ip for ip, _, role in self.machines.values() if role == "core"]
        return [f"{ip}:{self.control}" for ip in cores[:3]]

    def settings(self, name):
        ip, zone, role = self.machines[name]
        listen = {"control": f"{ip}:{self.control}"}
        if role == "edge":
            listen = {"front": f"{ip}:{self.front}", "readiness": f"{ip}:{self.readiness}"}
        top = {
            "node_name": name, "role": role, "machine_class": "shield" if role == "core" else "edge",
            "served_roles": ["control_plane" if role == "core" else "edge"], "ip": ip, "zone": zone,
            "region": ZONES[zone], "internal_ports": [self.first_port, self.first_port + 15],
            "seed_nodes": self.seeds(), "first_start": self.is_first_start, "loss_counted": role == "core",
            "discovery": "platform", "entry_mode": "virtual_ip", "beat": 1.5, "config_mode": "parts",
        }
        if role == "core":
            top["data_dir"] = str(self.folder / name)
            (self.folder / name).mkdir(exist_ok=True)
        tables = {
            "zones": ZONES,
            "listen_addrs": listen,
            "limits": {
                "cpu_share": 0.86, "core_count": 1, "memory_mb": MEMORY_MB[role], "fd_limit": 4100,
                "link_mbps": 1000.0, "disk_mb": 256 if role == "core" else 0,
            },
            "fault_tolerance": {"machine_losses": 1, "zones": 1, "region_losses": 0},
            "bound_set": BOUNDS,
            "cloud_api": {"address": self.platform.address, "rate": 44.0, "duty_set": [], "lag": 0.8},
        }
        lines = [f"{key} = {toml_value(value)}" for key, value in top.items()]
        for table, content in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {toml_value(value)}" for key, value in content.items()]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self):
        await self.platform.start()
        for origin in self.origins:
            await origin.start()
        self.platform.origins = self.origins
        for name in self.machines:
            await self.start_process(name)
            self.keepers.append(asyncio.ensure_future(self.keep(name)))
        self.keepers.append(asyncio.ensure_future(self.watch_memory()))

    async def start_process(self, name):
        role = self.machines[name][2]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["IRISSTAND_CONFIG"] = str(self.settings(name))
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                "python3", f"platform/{role}_node.py", cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )

    async def keep(self, name):
        """Start a process again when it has ended."""
        while True:
            process = self.processes[name]
            code = await process.wait()
            if self.is_ending:
                return
            self.ends[name].append(code)
            self.record.add(f"process of {name} ended with {code}")
            await asyncio.sleep(RESTART_SECONDS)
            await self.start_process(name)

    def resident_mb(self, name):
        try:
            text = pathlib.Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        found = [line.split()[1] for line in text.splitlines() if line.startswith("RssAnon:")]
        return int(found[0]) * 1024 / 1e6 if found else 0.0

    async def watch_memory(self):
        """Kill a process that goes over the memory of its machine (its private memory alone is counted)."""
        while True:
            for name, (_, _, role) in self.machines.items():
                used = self.resident_mb(name)
                self.peak_mb[name] = max(self.peak_mb[name], used)
                if used > MEMORY_MB[role] and self.processes[name].returncode is None:
                    self.record.add(f"{name} uses {used:.0f} MB of {MEMORY_MB[role]} MB: killed")
                    self.processes[name].kill()
            await asyncio.sleep(0.01)

    async def stop(self):
        self.is_ending = True
        for keeper in self.keepers:
            keeper.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                # A process that the case stopped has to go on before it can end.
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await self.platform.stop()
        for origin in self.origins:
            await origin.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    # -- the operator --------------------------------------------------------------------------------
    def core_names(self):
        return [name for name, (_, _, role) in self.machines.items() if role == "core"]

    def edge_names(self):
        return [name for name, (_, _, role) in self.machines.items() if role == "edge"]

    async def order(self, method, path, body=None, node=None, timeout=1.0):
        """Make one call at one node; return the status (0: no clear answer) and the body."""
        name = node or self.core_names()[0]
        content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        headers = {"Host": f"{self.machines[name][0]}:{self.control}", "Content-Type": "application/json"}
        address = (self.machines[name][0], self.control)
        status, _, answer = await exchange(address, method, path, headers, content, timeout)
        try:
            return status, json.loads(answer) if answer else None
        except ValueError:
            return status, None

    async def order_until_taken(self, method, path, body=None, seconds=20.0):
        """Make an order as the operator does: to another node after no clear answer; return the status."""
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            node = self.core_names()[turn % len(self.core_names())]
            status, _ = await self.order(method, path, body, node)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self.record.add(f"operator: {method} {path} at {node}: {status}")
                return status
            turn += 1
            await asyncio.sleep(min(0.5, 0.1 * turn))
        return 0

    def route(self, name, kind, service, host="shop.example", **more):
        return {
            "name": name, "host": host, "prefix": f"/{name}/", "kind": kind, "timeout": 3.0, "target": 0.3,
            "priority": 1, "split": None, "attempts": 2, "cache_life": 20.0 if kind == "cacheable" else None,
            "version": self.version, "service": service, **more,
        }

    def first_configuration(self, **limits):
        self.version = 7
        return {
            "put": {
                "routes": [
                    self.route("views", "cacheable", "content"),
                    self.route("lists", "idempotent", "app"),
                    self.route("forms", "non_idempotent", "app"),
                ],
                "upstreams": [
                    {
                        "name": name, "probe": "/health", "connections": 110, "protocol": "h1", "tls": False,
                        "warmup": 3.0, "cold_rate": 9.8, "rate": 600.0 if name == "content" else None,
                        "version": self.version,
                    }
                    for name in ("content", "app")
                ],
                "limits": {
                    "header_bytes": 16384, "body_bytes": 67108864, "header": 3.0, "idle": 15.0,
                    "version": self.version, **limits,
                },
            },
            "drop": {"routes": []},
        }

    async def wait_ready(self, seconds=30.0):
        """Send the first configuration and wait until every edge answers on every route."""
        end = time.monotonic() + seconds
        status = await self.order_until_taken("POST", "/amendments", self.first_configuration(), seconds)
        if status != 200:
            raise CannotRun(f"the first configuration was not taken: {status}")
        for name in self.edge_names():
            while time.monotonic() < end:
                status, _, _ = await self.ask(name, "GET", "/lists/0", attempt=new_id())
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{name} does not serve")
        # Until the quota shares have been given, and the starts are a contact ago.
        await asyncio.sleep(4.0)

    # -- clients -------------------------------------------------------------------------------------
    async def ask(
        self, edge, method, target, attempt=None, host="shop.example", body=b"", remaining_ms=2500,
        headers=None, timeout=None,
    ):
        """Make one try of a client on a connection of its own; return status, headers, body (0: none)."""
        given = {
            "Host": host, "Attempt-Id": attempt or new_id(), "Time-Remaining": str(remaining_ms),
            **(headers or {}),
        }
        address = (self.machines[edge][0], self.front)
        return await exchange(address, method, target, given, body, timeout or remaining_ms / 1000)

    def runs(self, service=None):
        return [run for one in self.origins if service in (None, one.service) for run in one.runs]


def new_id():
    return f"{random.getrandbits(64):016x}"


async def read_answer(reader, method):
    line, headers = await read_head(reader)
    if line is None:
        return 0, {}, b""
    status = int(line.split(" ")[1])
    body = b"" if method == "HEAD" or status in (204, 304) else await read_body(reader, headers)
    return status, headers, body


async def exchange(address, method, target, headers, body, timeout):
    """Send one request on a new connection and return its whole answer; status 0 where none came."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=2**20)
            lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            return await read_answer(reader, method)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def main(folder, play, **shape):
    """Run a case: `play(fleet, record, trouble)` returns whether the rule held; exit with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.add(f"trouble: {trouble}")

    async def run():
        fleet = Fleet(record, **shape)
        try:
            async with asyncio.timeout(110):
                await fleet.start()
                await fleet.wait_ready()
                return await play(fleet, record, trouble)
        finally:
            await fleet.stop()

    try:
        held = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.add("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    record.close()
    sys.exit(0 if held else 1)
