"""Emulated origins for edges that connect to them directly, with any header names; requests are recorded."""

import asyncio
import collections
import hashlib
import typing

import aiohttp.web

from irisstand.dataplane.http import header_names


class RequestRecord(typing.NamedTuple):
    """One request that an origin began to work on."""

    instance: str
    request_id: str
    method: str
    target: str
    body: bytes


class UpstreamEmulator:
    """One origin. `faults` by name: full, lost, slow (seconds), wrong (another instance has the address)."""

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
        """Listen; the port is drawn if it is 0."""
        app = aiohttp.web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/health", self.health)
        app.router.add_route("*", "/{rest:.*}", self.serve)
        self.runner = aiohttp.web.AppRunner(app, access_log=None, keepalive_timeout=600)
        await self.runner.setup()
        await aiohttp.web.TCPSite(self.runner, host, self.port, shutdown_timeout=0.1).start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def health(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answer a health check."""
        self.health_checks += 1
        headers = {
            self.header_names.instance: self.instance,
            self.header_names.cold: str(int(self.cold * 1000)),
        }
        return aiohttp.web.Response(status=200, headers=headers)

    async def serve(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Carry out a request as the faults have it."""
        self.arrivals += 1
        names = self.header_names
        # Every answer names its request, those to what did not run among them.
        request_id = request.headers.get(names.request_id, "")
        expected = request.headers.get(names.expected, self.instance)
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
            names.seal: hashlib.sha256(content).hexdigest()[:16],
            names.tags: f"t-{self.service}",
        }
        return aiohttp.web.Response(body=content, headers=headers)


def has_valid_digest(names: header_names.HeaderNames, headers: typing.Mapping[str, str], body: bytes) -> bool:
    """Return whether an answer is what the origin sealed."""
    return headers.get(names.seal) == hashlib.sha256(body).hexdigest()[:16]
