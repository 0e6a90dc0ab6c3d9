"""Emulators of origins for edges that connect to them directly, with configurable names of headers."""

import asyncio
import collections
import hashlib
import typing

import aiohttp.web

from irisstand.dataplane.http import header_names


class RequestRecord(typing.NamedTuple):
    """One request whose execution an origin began.

    Attributes:
        instance: Name of the origin instance.
        request_id: Id of the attempt, from the request's headers.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
    """

    instance: str
    request_id: str
    method: str
    target: str
    body: bytes


class UpstreamEmulator:
    """An origin with an HTTP server, which records the requests that it executes.

    Attributes:
        service: Name of the service that the origin belongs to.
        instance: Name of the origin instance.
        site: Name of the site that the platform lists the origin in.
        header_names: Names of the headers that edges and origins exchange.
        state: State in the platform's list.
        cold: How long the origin stays cold, in seconds, as health checks report it.
        faults: Value of each injected fault by name: `full` (requests are rejected), `lost` (the connection
            is closed instead of a response), `slow` (seconds that a request takes), `wrong` (the origin
            responds as if another instance had its address).
        versions: Version of the content by path.
        arrivals: Number of requests received, without health checks.
        health_checks: Number of health checks received.
        runs: The requests whose execution began, in order.
    """

    def __init__(self, service: str, instance: str, site: str, names: header_names.HeaderNames) -> None:
        self.service = service
        self.instance = instance
        self.site = site
        self.header_names = names
        self.state = "ready"
        self.cold = 0.0
        self.faults: dict[str, float] = {}
        self.versions: collections.Counter[str] = collections.Counter()
        self.arrivals = 0
        self.health_checks = 0
        self.runs: list[RequestRecord] = []
        self.runner: aiohttp.web.AppRunner | None = None
        self.port = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Start to listen; if the port is 0, the operating system chooses one."""
        app = aiohttp.web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/health", self.health)
        app.router.add_route("*", "/{rest:.*}", self.serve)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, keepalive_timeout=600)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, host, self.port, shutdown_timeout=0.1).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def health(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answer a health check with the instance's name and how long it stays cold."""
        self.health_checks += 1
        headers = {
            self.header_names.instance: self.instance,
            self.header_names.cold_remaining: str(int(self.cold * 1000)),
        }
        return aiohttp.web.Response(status=200, headers=headers)

    async def serve(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Execute a request and respond as the injected faults demand."""
        self.arrivals += 1
        names = self.header_names
        # Every response carries the request id, also one to a request that was not executed.
        request_id = request.headers.get(names.request_id, "")
        expected = request.headers.get(names.expected_instance, self.instance)
        if expected != self.instance or self.faults.get("wrong"):
            return aiohttp.web.Response(
                status=421, headers={names.instance: self.instance, names.request_id: request_id}
            )
        body = await request.read()
        if self.faults.get("full"):
            return aiohttp.web.Response(
                status=503, headers={names.not_run: "1", names.request_id: request_id}
            )
        self.runs.append(RequestRecord(self.instance, request_id, request.method, request.path_qs, body))
        await asyncio.sleep(self.faults.get("slow", 0.002))
        if self.faults.get("lost"):
            if request.transport is not None:
                request.transport.close()
            return aiohttp.web.Response()
        version = self.versions[request.path]
        content = f"{self.service} {request.path_qs} v{version} ".encode() * 40 + body
        headers = {
            names.request_id: request_id,
            names.instance: self.instance,
            "etag": f'"v{version}"',
            names.digest: hashlib.sha256(content).hexdigest()[:16],
            names.tags: f"t-{self.service}",
        }
        return aiohttp.web.Response(body=content, headers=headers)


def has_valid_digest(names: header_names.HeaderNames, headers: typing.Mapping[str, str], body: bytes) -> bool:
    """Return whether the digest header of a response matches its body."""
    return headers.get(names.digest) == hashlib.sha256(body).hexdigest()[:16]
