"""Load generator: sends the requests of clients and operators to a local cluster."""

import asyncio
import collections
import json
import random
import typing

import aiohttp

from irisstand.localcluster import invariant_checker, processes


def first_configuration(shape: processes.ClusterShape) -> list[dict[str, typing.Any]]:
    """Return the configuration rows that operators submit when the cluster has started."""

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
# Cumulative shares of the kinds of requests: 70 % read vacancies, 15 % logos, 7 % shortlists; 8 % are writes.
# A request is of the first kind whose bound exceeds a random number from 0 to 1.
CONTENT_BOUND = 0.70
LOGO_BOUND = 0.85
SHORTLIST_BOUND = 0.92
# Error codes after which a client retries a read once at another edge.
NOT_READY_CODES = ("connection refused", "stale-blueprint", "draining", "site-evacuated")


class LoadGenerator:
    """Sends client requests to random edges at the rate of the cluster's shape, and checks the responses.

    Attributes:
        number: Number of writes sent, from which each write takes the number that identifies it.
        sent: Number of requests sent.
        started_at: When the load started, in seconds of the event loop's clock.
        failures_by_second: Number of failed requests by second since the start of the load.
        expects_no_drops: Whether the fault plan only shuts processes down gracefully, so that no
            request may be dropped.
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
        """Send requests at a fixed rate for a number of seconds, without waiting for earlier responses."""
        loop = asyncio.get_running_loop()
        self.started_at = start = loop.time()
        while loop.time() < start + seconds:
            requests_due = (loop.time() - start) * self.cluster.shape.rate
            while self.sent < requests_due:
                self.sent += 1
                task = loop.create_task(self.send_random_request())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0.01)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def send_random_request(self) -> None:
        """Send one request of a random kind to a random edge."""
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
        """Return a random edge other than `edge`; if there is no other, `edge` itself."""
        return self.randomness.choice([name for name in self.edges if name != edge] or [edge])

    async def read(self, edge: str, service: str, target: str, *, is_first_attempt: bool = True) -> None:
        """Read a target and check the response; if the edge is not ready, retry once at another edge.

        Args:
            edge: Name of the edge that gets the request.
            service: The service that the target is routed to.
            target: Path and query of the request.
            is_first_attempt: Whether a retry at another edge is allowed.
        """
        try:
            async with self.session.get(self.cluster.url(edge) + target) as response:
                # Age is measured when the head arrives, since this busy process may read the body much later.
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
            self.checker.results[f"read retried at another edge: {code}"] += 1
            await self.read(self.other_edge(edge), service, target, is_first_attempt=False)
        else:
            self.count_failure("read", code)

    def error_code(self, body: bytes) -> str:
        """Return the error code in the JSON body of a response, or an empty text if it has none."""
        try:
            return str(json.loads(body).get("code", ""))
        except (ValueError, AttributeError):
            return ""

    def count_failure(self, kind: str, code: str) -> None:
        """Count a failed request by its error code and by the present second of the run."""
        self.checker.results[f"{kind} failed: {code}"] += 1
        second = int(asyncio.get_running_loop().time() - self.started_at)
        self.failures_by_second[second] += 1

    def count_unanswered(self, kind: str, edge: str, error: Exception) -> None:
        """Count a request that got no response.

        If its connection was accepted, the edge dropped it; during graceful shutdowns that is a violation.
        """
        if isinstance(error, aiohttp.ClientConnectorError):
            self.count_failure(kind, "connection refused")
            return
        self.count_failure(kind, type(error).__name__)
        if self.expects_no_drops:
            invariant = "a planned restart drops no request in progress"
            self.checker.check(
                invariant, holds=False, example=f"{kind} at edge {edge} got no response: {error!r}"
            )

    async def write(self, edge: str) -> None:
        """Send one write to an edge and record what its response tells the client."""
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
        """Send a request to the control plane nodes in random order until one can answer it.

        Returns:
            HTTP status and JSON content of the response; status 0 if no node could answer.
        """
        names = [placement.name for placement in self.cluster.with_role("agency")]
        for name in self.randomness.sample(names, len(names)):
            status, answer = await self.call_node(name, method, path, content)
            # A node that is unreachable or whose configuration is stale: try the next, as an operator would.
            if status and answer.get("code") != "stale-blueprint":
                return status, answer
        return 0, {}

    async def call_node(
        self, name: str, method: str, path: str, content: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a request to one node and return status and JSON content; status 0: no response."""
        try:
            url = self.cluster.url(name) + path
            async with self.session.request(method, url, json=content) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return 0, {}
