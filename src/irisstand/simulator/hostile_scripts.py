"""Scripts of a direct edge with hostile origins in virtual time; each script is determined by its seed.

The responses of the edge are compared with the requests that the origins executed.
"""

import asyncio
import random

from irisstand import errors
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.upstream import exchange
from irisstand.emulators import hostile_origin
from irisstand.simulator import scripted_edge

REQUESTS = 8
# Statuses that tell a client that its request was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
HTTP_OK = 200
# The short timeouts make clients leave, also just when a response arrives.
CLIENT_TIMEOUTS_SECONDS = (0.012, 0.302, 5.0, 5.0, 5.0, 5.0)
PAUSES_SECONDS = (0.0, 0.002, 0.05, 0.4)
# After this time every request that was still in flight has been executed or lost.
SETTLE_SECONDS = 3
CACHE_LIFE_SECONDS = 10.0


class Script:
    """One edge, two hostile origins and some requests of random kinds; `violations` describes what failed."""

    def __init__(self, seed: int) -> None:
        self.randomness = random.Random(seed)
        self.request_log = hostile_origin.RequestLog()
        self.violations: list[str] = []
        self.answered = 0
        self.writes: set[str] = set()
        self.node = scripted_edge.ScriptedEdge(self.randomness, self.connect, CACHE_LIFE_SECONDS).node

    @property
    def run_count(self) -> int:
        """The number of executions at origins."""
        return self.request_log.runs.total()

    async def connect(self, host: str, port: int) -> exchange.Exchange:
        """Open a connection to a new hostile origin, whatever the address."""
        connection = exchange.Exchange(hostile_origin.REQUEST_ID_HEADER)
        hostile_origin.connect_in_memory(
            connection, hostile_origin.HostileOrigin(self.randomness, self.request_log)
        )
        return connection

    async def request(self, number: int) -> None:
        """Send one random request and check the response that the client receives."""
        kind = self.randomness.choice(tuple(scripted_edge.KINDS))
        method = "POST" if kind == "writes" else self.randomness.choice(("GET", "GET", "HEAD"))
        target = f"/{kind}/{number}"
        request_id = f"r{number}"
        if kind == "writes":
            self.writes.add(request_id)
        body = b"body" if method == "POST" else b""
        request = direct.Request(
            method, target.encode(), "h", {hostile_origin.REQUEST_ID_HEADER: request_id}, body
        )
        try:
            async with asyncio.timeout(self.randomness.choice(CLIENT_TIMEOUTS_SECONDS)):
                response = await self.node.handle(request)
        except TimeoutError:
            return
        except errors.IrisError as error:
            await self.check_rejection(kind, request_id, error)
            return
        self.answered += 1
        assert isinstance(response.body, bytes), "the origins' responses are small"
        expected = b"" if method == "HEAD" else f"{target} answered".encode()
        is_sealed = method == "HEAD" or response.headers.get(
            hostile_origin.DIGEST_HEADER
        ) == hostile_origin.digest(response.body)
        is_own = response.headers.get(hostile_origin.REQUEST_ID_HEADER) == request_id
        if response.status in NOT_RUN_STATUSES and self.request_log.runs[request_id]:
            self.violations.append(
                f"request {request_id} was executed although its status {response.status} says it was not"
            )
        if response.status == HTTP_OK and (response.body != expected or not is_sealed or not is_own):
            self.violations.append(
                f"request {request_id} got a response that is not its own or not intact: {response}"
            )

    async def check_rejection(self, kind: str, request_id: str, error: errors.IrisError) -> None:
        """Check that a write is never executed after its client was told that it was not."""
        if kind != "writes" or error.status not in NOT_RUN_STATUSES:
            return
        await asyncio.sleep(SETTLE_SECONDS)
        if self.request_log.runs[request_id]:
            self.violations.append(
                f"request {request_id} was executed although the error {error.code} says it was not"
            )

    async def run(self) -> None:
        """Send all requests, and check that no write was executed more than once."""
        requests = []
        for number in range(REQUESTS):
            requests.append(asyncio.get_running_loop().create_task(self.request(number)))
            await asyncio.sleep(self.randomness.choice(PAUSES_SECONDS))
        await asyncio.gather(*requests)
        await asyncio.sleep(SETTLE_SECONDS)
        for name in sorted(self.writes):
            if self.request_log.runs[name] > 1:
                self.violations.append(f"write {name} was executed {self.request_log.runs[name]} times")
