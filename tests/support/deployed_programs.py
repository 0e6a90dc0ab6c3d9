"""The programs that the platform deploys, run on loopback with emulated platform, origins and operator."""

import asyncio
import json
import os
import pathlib
import signal
import sys

import aiohttp
import aiohttp.web
import deployed_settings

from irisstand.emulators import upstream_emulator
from irisstand.localcluster import processes

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.append(str(ROOT / "platform"))

import platform_settings  # noqa: E402

HEADER_NAMES = platform_settings.header_names.REGISTRY[platform_settings.VOCABULARY]
HOST = "a.example"


class DeployedNetwork:
    """Three control plane nodes and one edge; `async with` starts and ends their processes.

    Args:
        folder: Where settings, data and logs are kept.
        limits: The machine's limits by the first part of a process's name; a process without an entry has
            none, and all variables of this process. A holder runs beside shield-1 if it has an entry.
        make_origin: Returns an origin.
    """

    def __init__(self, folder, limits=None, make_origin=upstream_emulator.UpstreamEmulator):
        self.folder = str(folder)
        self.limits = limits or {}
        # The folder that processes are started in.
        self.root = ROOT
        first_port = processes.free_ports(1)[0]
        self.ports = (min(first_port, 60000), *processes.free_ports(3))
        self.processes = {}
        self.origins = [
            make_origin(service, f"i-{service}{number}", f"z{number}", HEADER_NAMES)
            for service in ("content", "app")
            for number in (1, 2)
        ]
        self.version = 0

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(auto_decompress=False)
        for origin in self.origins:
            await origin.start()
        app = aiohttp.web.Application()
        app.router.add_get("/instances", self.instances)
        self.platform_server = aiohttp.web.AppRunner(app, access_log=None)
        await self.platform_server.setup()
        await aiohttp.web.TCPSite(self.platform_server, "127.0.0.1", 0).start()
        self.platform_address = "{}:{}".format(*self.platform_server.addresses[0])
        for number in (1, 2, 3):
            await self.start(f"shield-{number}", number, f"z{number}")
        if "holder" in self.limits:
            await self.start("holder-1", 1, "z1")
        await self.start("edge-1", 4, "z1")
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.session.close()
        await self.platform_server.cleanup()
        for origin in self.origins:
            await origin.stop()

    async def start(self, name, number, zone):
        kind = name.partition("-")[0]
        limits = self.limits.get(kind)
        given = {}
        if limits is not None:
            given = {"memory_mb": limits.memory_mb, "descriptors": limits.descriptors}
        path = deployed_settings.write_settings(
            name, number, self.ports, zone, self.platform_address, self.folder, **given
        )
        variables = {
            name: os.environ[name] for name in deployed_settings.PLATFORM_VARIABLES if name in os.environ
        }
        environment = os.environ if limits is None else variables
        self.processes[name] = await asyncio.create_subprocess_exec(
            *self.command_of(kind),
            cwd=self.root,
            env={**environment, platform_settings.SETTINGS_FILE_VARIABLE: str(path)},
            stderr=self.open_log(name) if limits is not None else asyncio.subprocess.PIPE,
            preexec_fn=None if limits is None else limits.apply,
        )

    def command_of(self, kind):
        """Return the command that starts a process of a kind."""
        program = {"shield": "core_node.py", "holder": "holder_node.py", "edge": "edge_node.py"}[kind]
        return [sys.executable, f"platform/{program}"]

    def open_log(self, name):
        return open(pathlib.Path(self.folder) / f"{name}.log", "ab")

    def log_of(self, name):
        """Return what a process with limits has written to its standard error, in all its lives."""
        return (pathlib.Path(self.folder) / f"{name}.log").read_text()

    def exit_codes(self):
        """Return the exit code of each process that has ended, by name."""
        return {name: p.returncode for name, p in self.processes.items() if p.returncode is not None}

    async def instances(self, request):
        """Serve the platform's list of origin instances, two entries a page."""
        page = int(request.query.get("page_token", "0"))
        entries = [
            {
                "id": origin.instance,
                "service": origin.service,
                "address": f"127.0.0.1:{origin.port}",
                "zone": origin.site,
                "version": "v1",
                "slot_count": 4,
                "state": origin.state,
                "cold_remaining": origin.cold,
            }
            for origin in self.origins
        ]
        next_page = str(page + 1) if len(entries) > 2 * page + 2 else None
        return aiohttp.web.json_response(
            {"instance_set": entries[2 * page : 2 * page + 2], "next_token": next_page}
        )

    def address_of_pages(self, name):
        """Return the host and port of the HTTP pages of a process."""
        if "shield" in name:
            return f"127.0.7.{name[-1]}", self.ports[1]
        return "127.0.7.4", self.ports[3]

    def address_of_frames(self, name):
        """Return the host and port on which a process takes frames of other nodes."""
        if "shield" in name:
            return f"127.0.7.{name[-1]}", self.ports[0]
        return "127.0.7.4", self.ports[0] + 1

    async def shows_pages(self, name):
        """Return whether a process answers on its HTTP pages."""
        url = "http://{}:{}/_irisstand/live".format(*self.address_of_pages(name))
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    # -- operator --------------------------------------------------------------------------------
    async def call(self, method, path, body=None, node=1):
        content = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        url = f"http://127.0.7.{node}:{self.ports[1]}{path}"
        try:
            async with self.session.request(method, url, data=content) as response:
                return response.status, await response.json()
        except aiohttp.ClientError:
            return 0, None

    def route(self, name, kind, service, **fields):
        return {
            "name": name,
            "version": self.version,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout": 3,
            "target": 0.3,
            "priority": 1,
            "attempts": 2,
            "cache_life": 5,
            "regions": [],
            "service": service,
            **fields,
        }

    def initial_configuration(self):
        self.version += 1
        kinds = {"objects": "cacheable", "reads": "idempotent", "writes": "non_idempotent"}
        routes = [
            self.route(name, kind, "content" if name == "objects" else "app") for name, kind in kinds.items()
        ]
        services = [
            {
                "name": name,
                "version": self.version,
                "probe": "/health",
                "connections": 50,
                "warmup": 3,
                "cold_rate": 5,
                "rate": 500,
                "protocol": "h1",
                "tls": False,
            }
            for name in ("content", "app")
        ]
        limits = {"header_bytes": 8192, "body_bytes": 100000, "header": 2, "idle": 5, "version": self.version}
        return {"put": {"routes": routes, "upstreams": services, "limits": limits}, "drop": {"routes": []}}

    # -- clients -----------------------------------------------------------------------------------
    async def send_request(self, path, method="GET", body=None, request_id="r1", **headers):
        url = f"http://127.0.7.4:{self.ports[2]}{path}"
        given = {"Host": HOST, "Attempt-Id": request_id, "Time-Remaining": "2500", **headers}
        try:
            async with self.session.request(method, url, data=body, headers=given) as response:
                return response.status, response.headers, await response.read()
        except aiohttp.ClientError:
            return 0, {}, b""

    async def readiness_status(self):
        try:
            async with self.session.get(f"http://127.0.7.4:{self.ports[3]}/_irisstand/ready") as response:
                return response.status
        except aiohttp.ClientError:
            return 0

    def origin_runs(self, service):
        """Return the requests that the origins of a service have run."""
        return [run for origin in self.origins if origin.service == service for run in origin.runs]

    async def wait_until(self, condition, seconds=20):
        """Poll until `await condition()` is true."""
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(0.05)

    async def wait_until_serving(self):
        """Configure the network, and wait until the edge serves requests of both services."""
        await self.wait_until(lambda: self.accepts(self.initial_configuration()))
        await self.wait_until(lambda: self.responds_with("/reads/0", 200))
        await self.wait_until(lambda: self.responds_with("/objects/0", 200))

    async def accepts(self, call, node=1):
        """Submit a change of the configuration; return whether the control plane node accepted it."""
        return (await self.call("POST", "/amendments", call, node))[0] == 200

    async def responds_with(self, path, status, method="GET", **more):
        """Send a request to the edge; return whether the response has this status."""
        return (await self.send_request(path, method, **more))[0] == status

    async def terminate(self, name):
        self.processes[name].send_signal(signal.SIGTERM)
        return await self.processes[name].wait()
