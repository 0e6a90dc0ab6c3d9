"""Scripts of a direct edge with origins that answer twice, late, while objects change and are purged.

Each response is compared with what the origins themselves recorded. A script is determined by its seed.
"""

import asyncio
import random

from irisstand import errors
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.retry import freshness_policy
from irisstand.dataplane.upstream import exchange
from irisstand.emulators import (
    hostile_origin,
    object_records,
    origin_requests,
    stuttering_origin,
    surplus_responses,
)
from irisstand.simulator import scripted_edge
from irisstand.state import items

REQUESTS = 40
PURGES = 12
OBJECTS = tuple(f"/objects/{number}" for number in range(3))
FAILING_OBJECT = "/objects/failing"
CACHE_LIFE_SECONDS = 1.0
CLIENT_TIMEOUT_SECONDS = 5.0
PAUSES_SECONDS = (0.0, 0.0, 0.005, 0.05, 0.2)
# An object is purged so long after it has changed.
PURGE_DELAY_SECONDS = 0.001
# After this time every request that was still in flight has been executed or lost.
SETTLE_SECONDS = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# One request in so many bears the id of an earlier one.
REPEATED_ID_PERIOD = 8


class Script:
    """One edge, stuttering origins and some requests of random kinds; `violations` describes what failed."""

    def __init__(self, seed: int) -> None:
        self.randomness = random.Random(seed)
        self.records = object_records.ObjectRecords()
        share = self.randomness.choice((0.2, 0.5, 0.9))
        self.conduct = stuttering_origin.random_conduct(self.randomness, share)
        self.violations: list[str] = []
        self.answered = 0
        self.purged_at = dict.fromkeys(OBJECTS, 0.0)
        self.edge = scripted_edge.ScriptedEdge(self.randomness, self.connect, CACHE_LIFE_SECONDS)
        self.clock = self.edge.context.clock

    @property
    def run_count(self) -> int:
        """The number of executions at origins."""
        return sum(map(len, self.records.responses.values()))

    async def connect(self, host: str, port: int) -> exchange.Exchange:
        """Open a connection to a new stuttering origin, whatever the address."""
        connection = exchange.Exchange(origin_requests.REQUEST_ID_HEADER)
        origin = stuttering_origin.StutteringOrigin(self.records, self.conduct)
        hostile_origin.connect_in_memory(connection, origin)
        return connection

    async def run(self) -> None:
        """Send all requests while objects change, and check what the origins recorded."""
        tasks = [asyncio.create_task(self.purge_objects())]
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(self.request(number)))
            await asyncio.sleep(self.randomness.choice(PAUSES_SECONDS))
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_SECONDS)
        self.violations += self.records.repeated_ids

    async def purge_objects(self) -> None:
        """Change objects one after another, and purge most of them by path or by tag."""
        for _ in range(PURGES):
            await asyncio.sleep(self.randomness.choice(PAUSES_SECONDS))
            target = self.randomness.choice(OBJECTS)
            self.records.replace(target, self.clock.now())
            await asyncio.sleep(PURGE_DELAY_SECONDS)
            match self.randomness.choice(("path", "path", "tag", "none")):
                case "path":
                    self.edge.put(items.LEDGER, f"purge/path/{scripted_edge.HOST}{target}", {"purge": "path"})
                    self.purged_at[target] = self.clock.now()
                case "tag":
                    self.edge.put(items.LEDGER, f"purge/tag/{surplus_responses.TAG}", {"purge": "tag"})
                    self.purged_at = dict.fromkeys(OBJECTS, self.clock.now())

    async def request(self, number: int) -> None:
        """Send one random request and check the response that the client receives."""
        is_repeated = number > 0 and number % REPEATED_ID_PERIOD == 0
        request_id = f"r{number - 1 if is_repeated else number}"
        kind = self.randomness.choice(("objects", "objects", "objects", "reads", "writes"))
        target = f"/{kind}/{number}"
        if kind == "objects":
            target = self.randomness.choice((*OBJECTS, FAILING_OBJECT))
        method = "POST" if kind == "writes" else "GET"
        headers = {origin_requests.REQUEST_ID_HEADER: request_id}
        request = direct.Request(method, target.encode(), scripted_edge.HOST, headers, b"")
        purged_at = self.purged_at.get(target, 0.0)
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_SECONDS):
                answer = await self.edge.node.handle(request)
        except TimeoutError:
            self.violations.append(f"request {request_id} for {target} was not answered")
        except errors.IrisError as error:
            await self.check_rejection(request_id, target, error)
        else:
            self.answered += 1
            self.check(request_id, target, answer, purged_at)

    def check(self, request_id: str, target: str, answer: exchange.Answer, purged_at: float) -> None:
        """Check that a response is its request's own, whole, and no older than allowed."""
        assert isinstance(answer.body, bytes), "the origins' responses are small"
        is_object = target.startswith(stuttering_origin.OBJECT_PREFIX)
        fault = self.records.mixed(request_id, target, answer.status, answer.body, is_object=is_object)
        if fault:
            self.violations.append(f"request {request_id} for {target}: MIXED: {fault}")
        elif is_object and answer.status == object_records.STATUS_OK:
            oldest = self.clock.now() - CACHE_LIFE_SECONDS - freshness_policy.EXPIRED_LIMIT_SECONDS
            stale = self.records.stale(target, answer.body, max(purged_at, oldest))
            self.violations += [f"request {request_id}: STALE: {stale}"] if stale else []

    async def check_rejection(self, request_id: str, target: str, error: errors.IrisError) -> None:
        """Check that a write is never executed after its client was told that it was not."""
        if not target.startswith("/writes/") or error.status not in NOT_RUN_STATUSES:
            return
        await asyncio.sleep(SETTLE_SECONDS)
        if any(response.target == target for response in self.records.responses[request_id]):
            self.violations.append(f"the write {target} was executed although {error.code} says it was not")
