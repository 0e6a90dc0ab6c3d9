"""Operator of a soak run: sends configurations and purges, and asks edges whether they are ready."""

import asyncio
import itertools
import random
import typing

import aiohttp

from irisstand.soak import clients, fleet, shape

HTTP_OK = 200
# How long an order with a configuration is retried; the first one waits until the control plane has started.
LATER_ORDER_SECONDS = 5.0
FIRST_ORDER_SECONDS = 40.0
READY_TIMEOUT_SECONDS = 40.0
POLL_SECONDS = 0.1
# Wait between the readiness of all edges and the first request.
SETTLE_SECONDS = 2.0
# Connections that each origin of the service "app" accepts from all nodes together.
APPLICATION_CONNECTIONS = 400
# Kind of each route by its name.
ROUTE_KINDS = {"objects": "cacheable", "reads": "idempotent", "writes": "non_idempotent"}


class Operator:
    """Sends configurations to the control plane, and asks edges whether they are ready.

    Attributes:
        plan: Parameters of the run.
        fleet: Processes of the run.
        session: HTTP session of all calls.
        version: Version of the latest configuration that was sent.
        accepted_version: Newest version that a control plane node accepted.
    """

    def __init__(self, plan: shape.SoakShape, processes: fleet.Fleet, session: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.fleet = processes
        self.session = session
        self.randomness = random.Random(f"{plan.seed} purges")
        self.version = 0
        self.accepted_version = 0

    async def submit_configuration(self, rate_factor: float = 1.0, *, is_first: bool = False) -> bool:
        """Send a new version of the configuration to each control plane node in turn until one accepts it.

        Args:
            rate_factor: Factor of the rate limit of the service "content".
            is_first: Whether this is the first configuration, which is retried for longer.

        Returns:
            Whether a node accepted the configuration in time.
        """
        self.version += 1
        version = self.version
        body = self.configuration(rate_factor)
        give_up_at = asyncio.get_running_loop().time() + (
            FIRST_ORDER_SECONDS if is_first else LATER_ORDER_SECONDS
        )
        for node in itertools.cycle(self.fleet.with_role("agency")):
            url = f"http://{node.host}:{fleet.HTTP_PORT}/amendments"
            try:
                async with self.session.post(url, json=body) as response:
                    if response.status == HTTP_OK:
                        self.fleet.records.changes += 1
                        self.accepted_version = max(self.accepted_version, version)
                        return True
            except (aiohttp.ClientError, TimeoutError):
                pass
            if asyncio.get_running_loop().time() > give_up_at:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return False

    async def purge(self, path: str) -> bool:
        """Purge an object at a random control plane node; return whether the purge was confirmed."""
        node = self.randomness.choice(self.fleet.with_role("agency"))
        url = f"http://{node.host}:{fleet.HTTP_PORT}/purges"
        try:
            async with self.session.post(url, json={"host": clients.HOST, "path": path}) as response:
                return response.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError):
            return False

    def configuration(self, rate_factor: float) -> dict[str, typing.Any]:
        """Return an order with all items; the `target` of the routes differs from version to version."""
        routes: list[dict[str, typing.Any]] = [
            {
                "name": name,
                "version": self.version,
                "host": clients.HOST,
                "prefix": f"/{name}/",
                "kind": kind,
                "timeout": max(self.plan.deadlines),
                "target": 0.5 + 0.01 * (self.version % 5),
                "priority": 1,
                "attempts": 2,
                "cache_life": clients.CACHE_LIFE_SECONDS,
                "regions": [],
                "service": "content" if name == "objects" else "app",
            }
            for name, kind in ROUTE_KINDS.items()
        ]
        content = {"name": "content", "rate": self.plan.rate * rate_factor}
        application = {"name": "app", "rate": None, "connections": APPLICATION_CONNECTIONS}
        common = {"version": self.version, "probe": "/health", "warmup": 1, "cold_rate": 10}
        common |= {"connections": self.plan.connections, "protocol": "h1", "tls": False}
        services = [{**common, **content}, {**common, **application}]
        limits = {"header_bytes": 8192, "body_bytes": 100000, "header": 3, "idle": 15}
        limits["version"] = self.version
        return {"put": {"routes": routes, "upstreams": services, "limits": limits}, "drop": {"routes": []}}

    async def wait_ready(self) -> None:
        """Wait until all edges have been ready, and then until the cluster has settled.

        Raises:
            TimeoutError: An edge was not ready within `READY_TIMEOUT_SECONDS`.
        """
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for address in self.fleet.with_role("direct"):
                # The edge is another process that is polled over HTTP, so there is no event to wait for.
                while not await self.is_ready(address):  # noqa: ASYNC110 - see above
                    await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)

    async def is_ready(self, address: fleet.ProcessAddress) -> bool:
        """Ask an edge over HTTP whether it is ready; an edge that cannot be reached is not ready."""
        url = f"http://{address.host}:{fleet.HTTP_PORT}/_irisstand/ready"
        try:
            async with self.session.get(url) as response:
                return response.status == HTTP_OK
        except (aiohttp.ClientError, TimeoutError):
            return False
