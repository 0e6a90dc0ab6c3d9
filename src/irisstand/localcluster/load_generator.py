"""Load generator: clients and operators of a local cluster, in the expected mix of requests."""

import asyncio
import collections
import json
import random
import typing

import aiohttp

from irisstand.localcluster import invariant_checker, processes


def first_configuration(shape: processes.ClusterShape) -> list[dict[str, typing.Any]]:
    """Return the rows that operators send first."""

    def row(kind: str, name: str, value: dict[str, typing.Any]) -> dict[str, typing.Any]:
        return {"kind": kind, "name": name, "value": value}

    ceiling = {"rate": int(shape.rate * 3), "inflight": 200}
    rows = [
        row("service", "content", {"deadline": shape.deadline, "ceiling": ceiling}),
        row("service", "application", {"deadline": shape.deadline, "ceiling": ceiling}),
        row("path", "/vacancies/", {"grants": [{"service": "content", "methods": ["GET"]}], "life": 10}),
        row("path", "/logos/", {"grants": [{"service": "content", "methods": ["GET"]}], "life": 60}),
        row("path", "/shortlists/", {"grants": [{"service": "application", "methods": ["GET"]}]}),
        row("path", "/applications", {"grants": [{"service": "application", "methods": ["POST"]}]}),
    ]
    return rows + [row("site", site, {"weight": 1}) for site, _ in shape.sites]


HTTP_OK = 200
# A request is of the first kind whose bound is above the draw; otherwise it is a write.
CONTENT_BOUND = 0.70
LOGO_BOUND = 0.85
SHORTLIST_BOUND = 0.92
# With one of these codes a client turns to another edge.
NOT_READY_CODES = ("connection refused", "stale-blueprint", "draining", "site-evacuated")


class LoadGenerator:
    """Sends requests at the rate of the cluster's shape.

    Attributes:
        failures_by_second: Number of failed requests by second of the run.
        expects_no_drops: Whether the plan only stops processes in order, so that no answer may be dropped.
    """

    def __init__(
        self,
        cluster: processes.LocalCluster,
        session: aiohttp.ClientSession,
        checker: invariant_checker.InvariantChecker,
        seed: int,
    ) -> None:
        self.cluster = cluster
        self.session = session
        self.checker = checker
        self.randomness = random.Random(seed)
        self.edges = [placement.name for placement in cluster.with_role("edge")]
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0
        self.sent = 0
        self.started_at = 0.0
        self.failures_by_second: collections.Counter[int] = collections.Counter()
        self.expects_no_drops = False

    async def run(self, seconds: float) -> None:
        """Send for so many seconds, whether or not earlier requests have been answered."""
        loop = asyncio.get_running_loop()
        self.started_at = start = loop.time()
        while loop.time() < start + seconds:
            minimum_versions = (loop.time() - start) * self.cluster.shape.rate
            while self.sent < minimum_versions:
                self.sent += 1
                task = loop.create_task(self.send_random_request())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0.01)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def send_random_request(self) -> None:
        """Send one random request."""
        draw = self.randomness.random()
        edge = self.randomness.choice(self.edges)
        if draw < CONTENT_BOUND:
            await self.read(edge, "content", f"/vacancies/{int(self.randomness.paretovariate(0.6)) % 400}")
        elif draw < LOGO_BOUND:
            await self.read(edge, "content", f"/logos/{self.randomness.randrange(60)}")
        elif draw < SHORTLIST_BOUND:
            await self.read(edge, "application", f"/shortlists/{self.randomness.randrange(50)}")
        else:
            await self.write(edge)

    def other_edge(self, edge: str) -> str:
        """Draw another edge."""
        return self.randomness.choice([name for name in self.edges if name != edge] or [edge])

    async def read(self, edge: str, service: str, target: str, *, is_first_attempt: bool = True) -> None:
        """Read as a client does: from another edge, once, where this one is not ready."""
        try:
            async with self.session.get(self.cluster.url(edge) + target) as response:
                # Given out when its head came; this busy process may read the rest later.
                now = asyncio.get_running_loop().time()
                body = await response.read()
                headers = {name.lower(): value for name, value in response.headers.items()}
                self.checker.read(service, target, response.status, headers, body, now)
                if response.status == HTTP_OK:
                    return
                code = self.error_code(body)
        except (aiohttp.ClientError, TimeoutError) as error:
            if not isinstance(error, aiohttp.ClientConnectorError):
                self.count_unanswered("read", edge, error)
                return
            code = "connection refused"
        if is_first_attempt and code in NOT_READY_CODES:
            self.checker.results[f"read turned to another edge: {code}"] += 1
            await self.read(self.other_edge(edge), service, target, is_first_attempt=False)
        else:
            self.count_failure("read", code)

    def error_code(self, body: bytes) -> str:
        """Return the code in an error's body, or an empty text."""
        try:
            return str(json.loads(body).get("code", ""))
        except (ValueError, AttributeError):
            return ""

    def count_failure(self, kind: str, code: str) -> None:
        """Count a failed request under its second."""
        self.checker.results[f"{kind} failed: {code}"] += 1
        second = int(asyncio.get_running_loop().time() - self.started_at)
        self.failures_by_second[second] += 1

    def count_unanswered(self, kind: str, edge: str, error: Exception) -> None:
        """Count a request without an answer; one whose connection was accepted has been dropped."""
        if isinstance(error, aiohttp.ClientConnectorError):
            self.count_failure(kind, "connection refused")
            return
        self.count_failure(kind, type(error).__name__)
        if self.expects_no_drops:
            invariant = "a planned restart drops no request in progress"
            self.checker.check(invariant, holds=False, example=f"{kind} at {edge}: {error!r}")

    async def write(self, edge: str) -> None:
        """Send one write and note what the client was told."""
        self.number += 1
        number = f"application-{self.number}"
        try:
            async with self.session.post(
                self.cluster.url(edge) + "/applications", data=json.dumps({"number": number})
            ) as response:
                code = self.error_code(await response.read())
                self.checker.write(number, response.status, code)
                if response.status != HTTP_OK:
                    self.count_failure("write", code)
        except (aiohttp.ClientError, TimeoutError) as error:
            self.count_unanswered("write", edge, error)
            is_connection_refused = isinstance(error, aiohttp.ClientConnectorError)
            self.checker.write_results[number] = (
                invariant_checker.WriteResult.REJECTED
                if is_connection_refused
                else invariant_checker.WriteResult.UNKNOWN
            )

    async def call_control_plane(
        self, method: str, path: str, content: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Call the control plane at the first node that answers, and return status and content."""
        names = [placement.name for placement in self.cluster.with_role("agency")]
        for name in self.randomness.sample(names, len(names)):
            status, answer = await self.call_node(name, method, path, content)
            # Nobody there, or not fit to answer: as an operator would, turn to the next.
            if status and answer.get("code") != "stale-blueprint":
                return status, answer
        return 0, {}

    async def call_node(
        self, name: str, method: str, path: str, content: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Call one control plane node; return status and content, status 0 without an answer."""
        try:
            url = self.cluster.url(name) + path
            async with self.session.request(method, url, json=content) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return 0, {}
