"""Fuzzes a direct edge with hostile origins in virtual time; each script is determined by its seed.

The responses of the edge are compared with the requests that the origins executed.
"""

import asyncio
import concurrent.futures
import random
import typing

from irisstand import clocks, errors, node_context, node_settings
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import exchange
from irisstand.emulators import hostile_origin
from irisstand.simulator import memory_network, simulated_network, virtual_time
from irisstand.state import items, versions

SETTINGS = node_settings.Settings(
    *("edge-1", "m1", "north", "one", "10.0.0.1", 7000, 8000, []),
    role="direct",
    front=("10.0.0.1", 80),
    second_share=0.2,
    second_allowance=10,
    holder_edges=1,
)
KINDS = {"objects": "cacheable", "reads": "idempotent", "writes": "non_idempotent"}
REQUESTS = 8
# Statuses that tell a client that its request was not executed.
NOT_RUN_STATUSES = (408, 421, 429, 503)
HTTP_OK = 200
# The short timeouts make clients leave, also just when a response arrives.
CLIENT_TIMEOUTS_SECONDS = (0.012, 0.302, 5.0, 5.0, 5.0, 5.0)
PAUSES_SECONDS = (0.0, 0.002, 0.05, 0.4)
# After this time every request that was still in flight has been executed or lost.
SETTLE_SECONDS = 3
ALWAYS_CURRENT_SECONDS = 1e6
SCRIPTS_PER_BATCH = 500


class Script:
    """One edge, two hostile origins and some requests of random kinds; `violations` describes what failed."""

    def __init__(self, seed: int) -> None:
        self.randomness = random.Random(seed)
        self.request_log = hostile_origin.RequestLog()
        self.violations: list[str] = []
        self.answered = 0
        self.writes: set[str] = set()
        clock = clocks.LoopClock()
        network = memory_network.HostNetwork(
            simulated_network.SimulatedNetwork(self.randomness), SETTINGS.host
        )
        self.context = node_context.NodeContext(SETTINGS, "direct", clock, self.randomness, network)
        self.context.drain_ending = asyncio.get_running_loop().create_future()
        self.node = direct.DirectNode(
            self.context, configuration_view.ConfigurationView(self.context), self.connect
        )
        self.counter = 0
        self.put_configuration()
        for replica in self.context.replicas.values():
            replica.confirm_current(clock.now() + ALWAYS_CURRENT_SECONDS)

    def put_configuration(self) -> None:
        """Put a route of each kind, the service and its two origins into the tables of the edge."""
        for name, kind in KINDS.items():
            route = {"name": name, "version": 1, "host": "h", "prefix": f"/{name}/", "kind": kind}
            route |= {"timeout": 2.0, "target": 0.2, "attempts": 3, "cache_life": 10.0, "service": "s"}
            self.put(items.CONFIGURATION, f"route/{name}", {"version": 1, "item": route})
        upstream = {"name": "s", "version": 1, "cold_rate": 5.0, "connections": 50}
        self.put(items.CONFIGURATION, "upstream/s", {"version": 1, "item": upstream})
        for key in "ab":
            origin = {"service": "s", "host": key, "port": 80, "site": "north", "state": "ready"}
            self.put(items.LEDGER, f"origin/{key}", {**origin, "warmup": 0, "slots": 2})

    def put(self, table: str, key: str, value: dict[str, typing.Any]) -> None:
        """Put an item with a new version into the edge's replica of a table."""
        replica = self.context.replicas[table]
        self.counter += 1
        version = versions.Version(self.counter, "n")
        replica.put(items.Item(key, version, value))
        replica.applied = version
        replica.notify_watchers()

    async def connect(self, host: str, port: int) -> exchange.Exchange:
        """Open a connection to a new hostile origin, whatever the address."""
        connection = exchange.Exchange(hostile_origin.REQUEST_ID_HEADER)
        hostile_origin.connect_in_memory(
            connection, hostile_origin.HostileOrigin(self.randomness, self.request_log)
        )
        return connection

    async def request(self, number: int) -> None:
        """Send one random request and check the response that the client receives."""
        kind = self.randomness.choice(tuple(KINDS))
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


class FuzzResult(typing.NamedTuple):
    """Numbers of scripts, answered requests and executions at origins, and the violations with seeds."""

    scripts: int
    answered: int
    runs: int
    violations: tuple[str, ...]


def run_scripts(seeds: range) -> FuzzResult:
    """Run the scripts of these seeds, each on an event loop of its own, and return their sums."""
    answered = 0
    runs = 0
    violations: list[str] = []

    async def run_script(seed: int) -> Script:
        script = Script(seed)
        await script.run()
        return script

    for seed in seeds:
        script = virtual_time.run(run_script(seed))
        answered += script.answered
        runs += script.request_log.runs.total()
        violations += [f"seed {seed}: {violation}" for violation in script.violations]
    return FuzzResult(len(seeds), answered, runs, tuple(violations))


def run_all(scripts: int, workers: int, first: int = 1, size: int = SCRIPTS_PER_BATCH) -> FuzzResult:
    """Run scripts in several worker processes, in batches of `size`, and return their sums."""
    batches = [range(n, min(n + size, first + scripts)) for n in range(first, first + scripts, size)]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_scripts, batches))
    return FuzzResult(
        scripts=sum(result.scripts for result in results),
        answered=sum(result.answered for result in results),
        runs=sum(result.runs for result in results),
        violations=tuple(violation for result in results for violation in result.violations),
    )
