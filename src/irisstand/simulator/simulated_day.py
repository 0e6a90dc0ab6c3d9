"""A simulated day: a seeded run of clients, operators and random faults whose invariants are checked."""

import asyncio
import collections.abc
import random
import typing

from irisstand import errors
from irisstand.simulator import (
    configuration_invariants,
    day_kinds,
    fault_injector,
    invariant_watcher,
    origin_invariants,
    simulated_cluster,
    virtual_time,
)

SEED_FACTOR = 7919
CONTENT_TTL_SECONDS = {"vacancies": 5.0}
READY_TIMEOUT_SECONDS = 20
READY_AT_THE_END_TIMEOUT_SECONDS = 40
ORIGINS_KNOWN_TIMEOUT_SECONDS = 10
SETTLE_SECONDS = 2
# The kind of a client request is the first one whose bound exceeds a random number between 0 and 1; if none
# does, the request asks for a path that no configuration allows.
CACHED_READ_BOUND = 0.5
UNCACHED_READ_BOUND = 0.6
WRITE_BOUND = 0.70
KEYED_WRITE_BOUND = 0.75
SWITCH_READ_BOUND = 0.97
INVALID_CHANGE_LIKELIHOOD = 0.2
CACHED_PATHS = 12
UNCACHED_PATHS = 9

Job = collections.abc.Coroutine[typing.Any, typing.Any, object]


class SimulatedDay:
    """One simulated day, determined by its seed, its length and its kind.

    Args:
        seed: Seed of all random draws of the cluster and the day.
        seconds: Length of the day in virtual seconds.
        kind: Shape, faults and limits of the day.
    """

    def __init__(self, seed: int, seconds: float, kind: day_kinds.DayKind) -> None:
        self.kind = kind
        self.randomness = random.Random(seed * SEED_FACTOR + 1)
        self.seconds = seconds
        self.cluster = simulated_cluster.SimulatedCluster(seed, kind.shape)
        self.cluster.replace_after = kind.replace_after
        self.actors = self.cluster.actors
        self.checker = self.actors.checker
        self.checker.ttl_seconds = dict(CONTENT_TTL_SECONDS)
        self.configuration_invariants = configuration_invariants.ConfigurationInvariants(self.cluster)
        self.watcher = invariant_watcher.InvariantWatcher(self.cluster)
        self.origin_invariants = origin_invariants.OriginInvariants(self.cluster, dict(kind.limits))
        self.fault_injector = fault_injector.FaultInjector(
            self.cluster, self.randomness, kind.faults, kind.pauses
        )
        self.fault_injector.send_change = self.send_random_change
        self.tasks: set[asyncio.Task[object]] = set()

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def open(self) -> None:
        """Start all nodes, submit the initial configuration and wait until all origins are known."""
        await self.cluster.start_all()
        control_nodes = self.cluster.with_role("agency")
        await self.cluster.wait_until(
            lambda: all(map(self.cluster.is_ready, control_nodes)), READY_TIMEOUT_SECONDS
        )
        rows = day_kinds.first_configuration(self.kind)
        result = await self.actors.order("agency-1", "change", rows)
        values = {f"{row['kind']}/{row['name']}": row["value"] for row in rows}
        self.configuration_invariants.add_confirmed(values, result["serial"])
        await self.cluster.wait_until_ready()
        ledger = self.cluster.nodes["agency-1"].program.context.ledger
        await self.cluster.wait_until(
            lambda: len(list(ledger.items_with_prefix("origin/"))) == len(self.actors.origins),
            ORIGINS_KNOWN_TIMEOUT_SECONDS,
        )
        await asyncio.sleep(SETTLE_SECONDS)

    async def run(self) -> None:
        """Run the whole day, and check at its end the invariants that need complete records."""
        await self.open()
        jobs = [
            self.run_clients(),
            self.run_purges(),
            self.run_changes(),
            self.fault_injector.run(self.seconds),
        ]
        watch = asyncio.create_task(self.watcher.run())
        await asyncio.gather(*jobs)
        if self.tasks:
            await asyncio.wait(self.tasks)
        await self.fault_injector.repair_all()
        await self.cluster.wait_until_ready(READY_AT_THE_END_TIMEOUT_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        watch.cancel()
        self.configuration_invariants.check_nodes()
        self.origin_invariants.check_records()
        self.checker.close()

    def start(self, job: Job) -> None:
        """Run a job in a task of its own; the day does not end before the task has."""
        task = asyncio.create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- clients -------------------------------------------------------------------------------------
    async def run_clients(self) -> None:
        """Send client requests at the configured rate, without waiting for earlier responses."""
        end = self.now() + self.seconds
        edges = [node.placement.name for node in self.cluster.with_role("edge")]
        while self.now() < end:
            edge = self.randomness.choice(edges)
            self.start(self.make_request(edge, edges))
            await asyncio.sleep(self.randomness.expovariate(self.cluster.shape.rate))

    def make_request(self, edge: str, edges: list[str]) -> Job:
        """Choose the kind of one client request at random and return the coroutine that sends it."""
        draw = self.randomness.random()
        if draw < CACHED_READ_BOUND:
            return self.actors.read(edge, "content", self.draw_cached_path())
        if draw < UNCACHED_READ_BOUND:
            path = f"/shortlists/{self.randomness.randrange(UNCACHED_PATHS)}"
            return self.actors.read(edge, "application", path)
        if draw < WRITE_BOUND:
            return self.actors.write(edge)
        if draw < KEYED_WRITE_BOUND:
            return self.actors.write_until_known([edge, *edges])
        if draw < SWITCH_READ_BOUND:
            number = self.randomness.randrange(day_kinds.SWITCH_PATHS)
            return self.configuration_invariants.read_switch(edge, number)
        return self.configuration_invariants.read_ungranted(edge)

    def draw_cached_path(self) -> str:
        """Return a random path whose responses are cacheable."""
        return f"/vacancies/{self.randomness.randrange(CACHED_PATHS)}"

    # -- operators -----------------------------------------------------------------------------------
    async def run_purges(self) -> None:
        """Purge a random cached path at random intervals until the day is over."""
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.randomness.uniform(0.2, 1.0))
            self.start(self.purge(self.draw_cached_path()))

    async def purge(self, path: str) -> None:
        """Increase the content version of a path at the origins, and order its purge."""
        self.actors.records.versions[path] += 1
        version = self.actors.records.versions[path]
        control_node = self.fault_injector.pick_control_node()
        try:
            await self.actors.order(control_node, "purge", [("path", path)])
        except (errors.IrisError, TimeoutError):
            self.checker.results["purge not confirmed"] += 1
        else:
            self.checker.record_confirmed_purge(path, self.now(), version)
            self.checker.results["purge confirmed"] += 1

    async def send_random_change(self, control_node: str) -> None:
        """Submit a change to this node that routes a random switch path to a random service."""
        number = self.randomness.randrange(day_kinds.SWITCH_PATHS)
        row = day_kinds.switch_row(number, self.randomness.choice(day_kinds.SERVICES))
        await self.configuration_invariants.change(control_node, row)

    async def run_changes(self) -> None:
        """Submit changes until the day is over, some of them concurrent to one row, some invalid."""
        end = self.now() + self.seconds
        while self.now() < end:
            await asyncio.sleep(self.randomness.uniform(0.3, 1.5))
            number = self.randomness.randrange(day_kinds.SWITCH_PATHS)
            for _ in range(self.randomness.choice((1, 1, 2))):
                row = day_kinds.switch_row(number, self.randomness.choice(day_kinds.SERVICES))
                control_node = self.fault_injector.pick_control_node()
                self.start(self.configuration_invariants.change(control_node, row))
            if self.randomness.random() < INVALID_CHANGE_LIKELIHOOD:
                row = day_kinds.switch_row(number, "nobody")
                control_node = self.fault_injector.pick_control_node()
                self.start(self.configuration_invariants.send_invalid_change(control_node, row))


def simulate(seed: int, seconds: float, kind: str = "busy") -> SimulatedDay:
    """Run one day in virtual time to its end, and return it with its counts of checks and violations."""

    async def run_day() -> SimulatedDay:
        day = SimulatedDay(seed, seconds, day_kinds.KINDS[kind])
        await day.run()
        return day

    return virtual_time.run(run_day())
