"""Scripts of hostile origins, by seed, in virtual time: an edge's whole way to origins against an oracle."""

import asyncio
import concurrent.futures
import random
import typing

from irisstand import clocks, errors, node_context, node_settings
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.routing import snapshot
from irisstand.dataplane.upstream import exchange
from irisstand.emulators import hostile_origin
from irisstand.simulator import virtual_time
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
# These tell a client that its request has not run.
PROMISES = (408, 421, 429, 503)


class Script:
    """One edge, two origins, some requests of each kind; `broken` names what the oracle found."""

    def __init__(self, seed: int) -> None:
        self.randomness = random.Random(seed)
        self.record = hostile_origin.RequestLog()
        self.broken: list[str] = []
        self.answered = 0
        self.writes: set[str] = set()
        clock = clocks.LoopClock()
        self.context = node_context.NodeContext(SETTINGS, "direct", clock, self.randomness, None)
        self.context.drain_ending = asyncio.get_running_loop().create_future()
        self.part = direct.DirectNode(
            self.context, snapshot.ConfigurationSnapshot(self.context), self.connect
        )
        self.counter = 0
        for name, kind in KINDS.items():
            route = {"name": name, "version": 1, "host": "h", "prefix": f"/{name}/", "kind": kind}
            route |= {"timeout": 2.0, "target": 0.2, "attempts": 3, "cache_life": 10.0, "service": "s"}
            self.put(items.CONFIGURATION, f"route/{name}", {"version": 1, "item": route})
        upstream = {"name": "s", "version": 1, "cold_rate": 5.0, "connections": 50}
        self.put(items.CONFIGURATION, "upstream/s", {"version": 1, "item": upstream})
        for key in "ab":
            row = {"service": "s", "host": key, "port": 80, "site": "north", "state": "ready"}
            self.put(items.LEDGER, f"origin/{key}", {**row, "warmup": 0, "slots": 2})
        for copy in self.context.replicas.values():
            copy.confirm_current(clock.now() + 1e6)

    def put(self, table: str, key: str, value: dict) -> None:
        copy = self.context.replicas[table]
        self.counter += 1
        copy.put(items.Item(key, versions.Version(self.counter, "n"), value))
        copy.applied = versions.Version(self.counter, "n")
        copy.notify_watchers()

    async def connect(self, host: str, port: int) -> exchange.Exchange:
        made = exchange.Exchange(hostile_origin.ID)
        hostile_origin.join(made, hostile_origin.HostileOrigin(self.randomness, self.record))
        return made

    async def request(self, number: int) -> None:
        kind = self.randomness.choice(tuple(KINDS))
        method = "POST" if kind == "writes" else self.randomness.choice(("GET", "GET", "HEAD"))
        target, request_id = f"/{kind}/{number}", f"r{number}"
        if kind == "writes":
            self.writes.add(request_id)
        body = b"body" if method == "POST" else b""
        asked = direct.Request(method, target.encode(), "h", {hostile_origin.ID: request_id}, body)
        try:
            # Some clients go away, at the moment of the answer too.
            async with asyncio.timeout(self.randomness.choice((0.012, 0.302, 5.0, 5.0, 5.0, 5.0))):
                answer = await self.part.handle(asked)
        except TimeoutError:
            return
        except errors.IrisError as error:
            await self.judge_refusal(kind, request_id, error)
            return
        self.answered += 1
        expected = b"" if method == "HEAD" else f"{target} answered".encode()
        is_sealed = method == "HEAD" or answer.headers.get(hostile_origin.SEAL) == hostile_origin.seal(
            answer.body
        )
        is_own = answer.headers.get(hostile_origin.ID) == request_id
        if answer.status in PROMISES and self.record.runs[request_id]:
            self.broken.append(f"{request_id} was told {answer.status}, and ran")
        if answer.status == 200 and (answer.body != expected or not is_sealed or not is_own):
            self.broken.append(f"{request_id} got {answer}")

    async def judge_refusal(self, kind: str, request_id: str, error: errors.IrisError) -> None:
        if kind != "writes" or error.status not in PROMISES:
            return
        await asyncio.sleep(3)
        if self.record.runs[request_id]:
            self.broken.append(f"{request_id} was told {error.code}, and ran")

    async def play(self) -> None:
        asking = []
        for number in range(REQUESTS):
            asking.append(asyncio.get_running_loop().create_task(self.request(number)))
            await asyncio.sleep(self.randomness.choice((0.0, 0.002, 0.05, 0.4)))
        await asyncio.gather(*asking)
        await asyncio.sleep(3)
        for name in sorted(self.writes):
            if self.record.runs[name] > 1:
                self.broken.append(f"{name} ran {self.record.runs[name]} times")


class FuzzResult(typing.NamedTuple):
    scripts: int
    answered: int
    runs: int
    broken: tuple[str, ...]


def play(seeds: range) -> FuzzResult:
    """Play these scripts, each on a loop of its own."""
    answered, runs, broken = 0, 0, []

    async def one(seed: int) -> Script:
        script = Script(seed)
        await script.play()
        return script

    for seed in seeds:
        script = virtual_time.run(one(seed))
        answered += script.answered
        runs += script.record.runs.total()
        broken += [f"seed {seed}: {what}" for what in script.broken]
    return FuzzResult(len(seeds), answered, runs, tuple(broken))


def play_all(scripts: int, workers: int, first: int = 1, size: int = 500) -> FuzzResult:
    """Play `scripts` scripts in so many processes."""
    pieces = [range(n, min(n + size, first + scripts)) for n in range(first, first + scripts, size)]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        done = list(pool.map(play, pieces))
    counts = [sum(figures[index] for figures in done) for index in range(3)]
    return FuzzResult(*counts, tuple(what for figures in done for what in figures.broken))
