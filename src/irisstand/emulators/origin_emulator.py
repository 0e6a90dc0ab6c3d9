"""Emulators of origins, which serve versioned objects and take writes, and of the platform listing them."""

import asyncio
import collections
import json
import typing

import aiohttp.web

from irisstand.dataplane.cache import objects


class OriginEmulator:
    """An origin with an HTTP server. Executed requests are recorded for the invariant checker.

    Attributes:
        service: Name of the service that the origin belongs to.
        instance: Name of the origin instance.
        site: Name of the site that the platform lists the origin in.
        records: Content versions and executed writes, shared with other origins.
        state: State in the platform's list: `ready`, `cold` or `leaving`.
        warmup: Duration of the slow start in the platform's list, in seconds.
        faults: Value of each injected fault by name: `delay` (in seconds), `lose-answer` (the connection is
            closed instead of a response), `wrong-digest`, `no-seal` (the digest header is left out).
        requests: Number of requests received, without health checks.
        connections: The connections on which health checks arrived.
    """

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
        """Start to listen; if the port is 0, the operating system chooses one."""
        app = aiohttp.web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_get("/health", self.health)
        app.router.add_route("*", "/{rest:.*}", self.serve)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, keepalive_timeout=600)
        await self.runner.setup()
        site = aiohttp.web.TCPSite(self.runner, self.host, self.port, shutdown_timeout=0.1)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    def listing(self) -> dict[str, typing.Any]:
        """Return the origin's entry in the platform's list."""
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
        """Answer a health check, and record the connection on which it came."""
        # The transport itself is kept, because Python may give its `id()` to a later object.
        self.connections.add(request.transport)
        return aiohttp.web.json_response({"service": self.service, "instance": self.instance})

    async def serve(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Execute a request and respond as the injected faults demand."""
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
    """Versions of objects and executions of writes, shared by all origins of a cluster.

    Attributes:
        versions: Version of the content by path.
        executions: Number of executions of each write, by the number that identifies the write.
        requests: Number of requests by service.
    """

    def __init__(self) -> None:
        self.versions: collections.defaultdict[str, int] = collections.defaultdict(int)
        self.executions: collections.Counter[str] = collections.Counter()
        self.requests: collections.Counter[str] = collections.Counter()

    def current_object(self, service: str, target: str, now: float) -> tuple[bytes, str]:
        """Return the current content of a target, in which `now` is the creation time, and its cache tags."""
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
        """Execute a write, count the execution by the write's number, and return the body of the response."""
        try:
            number = json.loads(content)["number"]
        except (ValueError, KeyError, TypeError):
            number = "unnumbered"
        self.executions[number] += 1
        return json.dumps({"service": service, "number": number, "run": self.executions[number]}).encode()


class PlatformEmulator:
    """Emulates the platform, which lists origins over HTTP and limits the rate of requests for the list.

    Attributes:
        origins: The origins that are listed.
        limit_per_second: Number of requests that are answered in a second.
        request_times: Time of each request in the last second.
        over_limit: Number of requests that were refused by the limit.
        sends_invalid_json: Whether the body of responses is cut short.
    """

    def __init__(self, origins: list[OriginEmulator], limit_per_second: float = 5.0) -> None:
        self.origins, self.limit_per_second = origins, limit_per_second
        self.request_times: list[float] = []
        self.over_limit = 0
        self.port = 0
        self.sends_invalid_json = False
        self.runner: aiohttp.web.AppRunner | None = None

    async def start(self) -> None:
        """Start to listen; if the port is 0, the operating system chooses one."""
        app = aiohttp.web.Application()
        app.router.add_get("/origins", self.list_origins)
        self.runner = aiohttp.web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, "127.0.0.1", self.port, shutdown_timeout=0.1).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def list_origins(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Respond with the list of origins, or with status 429 above the rate limit."""
        now = asyncio.get_running_loop().time()
        self.request_times = [asked_at for asked_at in self.request_times if asked_at > now - 1.0] + [now]
        if len(self.request_times) > self.limit_per_second:
            self.over_limit += 1
            return aiohttp.web.json_response({"error": "asked too often"}, status=429)
        if self.sends_invalid_json:
            return aiohttp.web.Response(body=b"{", status=200)
        return aiohttp.web.json_response({"origins": [origin.listing() for origin in self.origins]})


async def run_emulators(platform_port: int, site: str) -> None:
    """Emulate one content origin, one application origin and a platform that lists them, until cancelled."""
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
