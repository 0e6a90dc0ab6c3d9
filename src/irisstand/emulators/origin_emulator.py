"""Emulated origins: a content store of versioned objects, an application that takes writes, a platform."""

import asyncio
import collections
import json
import typing

import aiohttp.web

from irisstand.dataplane.cache import objects


class OriginEmulator:
    """One origin over HTTP. What it ran is on record for the invariant checker."""

    def __init__(self, service: str, instance: str, site: str, records: "OriginRecords") -> None:
        self.service = service
        self.instance = instance
        self.site = site
        self.records = records
        self.host = "127.0.0.1"
        self.port = 0
        self.state = "ready"
        self.warmup = 0.0
        self.faults: dict[str, float] = {}
        self.requests = 0
        self.connections: set[object] = set()
        self.runner: aiohttp.web.AppRunner | None = None

    async def start(self) -> None:
        """Listen; the port is drawn if it is 0."""
        app = aiohttp.web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_get("/health", self.health)
        app.router.add_route("*", "/{rest:.*}", self.serve)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, keepalive_timeout=600)
        await self.runner.setup()
        site = aiohttp.web.TCPSite(self.runner, self.host, self.port, shutdown_timeout=0.1)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def listing(self) -> dict[str, typing.Any]:
        """Return the platform's entry for it."""
        return {
            "id": self.instance,
            "service": self.service,
            "host": self.host,
            "port": self.port,
            "site": self.site,
            "state": self.state,
            "warmup": self.warmup,
        }

    async def health(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answer a health check."""
        # Kept whole: an id alone would be given out again.
        self.connections.add(request.transport)
        return aiohttp.web.json_response({"service": self.service, "instance": self.instance})

    async def serve(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Carry out a request as the faults have it."""
        self.requests += 1
        self.records.requests[self.service] += 1
        request_id = request.headers.get("X-Request-Id", "")
        content = await request.read()
        await asyncio.sleep(self.faults.get("delay", 0.002))
        if request.method == "GET":
            now = asyncio.get_running_loop().time()
            body, tag = self.records.current_object(self.service, request.path_qs, now)
        else:
            body, tag = self.records.execute(self.service, self.instance, content), ""
        headers = {
            "Content-Digest": objects.digest_header(body),
            "X-Request-Id": request_id,
            "Content-Type": "application/json",
        }
        if tag:
            headers["Cache-Tag"] = tag
        if self.faults.get("lose-answer"):
            if request.transport is not None:
                request.transport.abort()
            return aiohttp.web.Response()
        if self.faults.get("wrong-digest"):
            headers["Content-Digest"] = objects.digest_header(body + b"!")
        if self.faults.get("no-seal"):
            del headers["Content-Digest"]
        return aiohttp.web.Response(body=body, headers=headers)


class OriginRecords:
    """Versions of objects and executions of writes, shared by all origins of a cluster."""

    def __init__(self) -> None:
        self.versions: collections.defaultdict[str, int] = collections.defaultdict(int)
        self.executions: collections.Counter[str] = collections.Counter()
        self.requests: collections.Counter[str] = collections.Counter()

    def current_object(self, service: str, target: str, now: float) -> tuple[bytes, str]:
        """Return the present content of a target, made at `now`, and its cache tags."""
        path = target.partition("?")[0]
        tag = path.strip("/").partition("/")[0]
        content = {
            "service": service,
            "target": target,
            "version": self.versions[path],
            "made": now,
            "fill": "x" * 500,
        }
        return json.dumps(content).encode(), f"{tag},{service}"

    def execute(self, service: str, instance: str, content: bytes) -> bytes:
        """Run a write, count it by its number, and return the answer."""
        try:
            number = json.loads(content)["number"]
        except (ValueError, KeyError, TypeError):
            number = "unnumbered"
        self.executions[number] += 1
        return json.dumps({"service": service, "number": number, "run": self.executions[number]}).encode()


class PlatformEmulator:
    """Lists origins as the platform would: over HTTP, with a limit on how often it may be asked."""

    def __init__(self, origins: list[OriginEmulator], limit_per_second: float = 5.0) -> None:
        self.origins, self.limit_per_second = origins, limit_per_second
        self.request_times: list[float] = []
        self.over_limit = 0
        self.port = 0
        self.sends_invalid_json = False
        self.runner: aiohttp.web.AppRunner | None = None

    async def start(self) -> None:
        """Listen; the port is drawn if it is 0."""
        app = aiohttp.web.Application()
        app.router.add_get("/origins", self.list_origins)
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, "127.0.0.1", self.port, shutdown_timeout=0.1).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def list_origins(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answer with the list, or refuse a node that asks too often."""
        now = asyncio.get_running_loop().time()
        self.request_times = [asked_at for asked_at in self.request_times if asked_at > now - 1.0] + [now]
        if len(self.request_times) > self.limit_per_second:
            self.over_limit += 1
            return aiohttp.web.json_response({"error": "asked too often"}, status=429)
        if self.sends_invalid_json:
            return aiohttp.web.Response(body=b"{", status=200)
        return aiohttp.web.json_response({"origins": [origin.listing() for origin in self.origins]})


async def run_emulators(platform_port: int, site: str) -> None:
    """Run one content and one application origin and a platform that lists them, until cancelled."""
    records = OriginRecords()
    origins = [
        OriginEmulator(service, f"{service}-1", site, records) for service in ("content", "application")
    ]
    for origin in origins:
        await origin.start()
    platform = PlatformEmulator(origins)
    platform.port = platform_port
    await platform.start()
    await asyncio.Event().wait()
