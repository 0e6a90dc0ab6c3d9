"""Measures the latency of concurrent changes and purges at all control plane nodes, in virtual time."""

import asyncio
import typing

from irisstand import errors
from irisstand.simulator import day_kinds, simulated_day, virtual_time

# Quota shares and standby decisions settle within this time before the measurement.
SETTLE_SECONDS = 40
ROWS_IN_A_CHANGE_LIMIT = 500
CONTROL_NODES = 5
INVALID_ORDER_INTERVAL = 10
QUANTILE = 0.99
COUNTERS = ("ballots_held", "ballots_lost", "batches_confirmed")


class PropagationFigures(typing.NamedTuple):
    """Figures of one run; latencies (`middle`: median, `slowest`: 99th percentile) in virtual seconds."""

    confirmed: int
    refused: int
    not_confirmed: int
    middle: float
    slowest: float
    ballots_held: float
    ballots_lost: float
    batches: float
    bytes_each_second: float


class Order(typing.NamedTuple):
    """The kind and the payload of an operator's order."""

    kind: str
    payload: list[typing.Any]


class PropagationBenchmark:
    """Clients that each submit the next order when the last one has a result; every tenth order is invalid.

    Args:
        seed: Seed of the simulated day in which the benchmark runs.
        clients: Number of concurrent clients.
        seconds: Time for which the clients submit orders, in virtual seconds.
        rows: Number of further rows that the configuration has before the measurement.
    """

    def __init__(self, seed: int, clients: int, seconds: float, rows: int) -> None:
        kind = day_kinds.DayKind(limits=day_kinds.HIGH_LIMITS)
        self.day = simulated_day.SimulatedDay(seed, 0, kind)
        self.clients = clients
        self.seconds = seconds
        self.rows = rows
        self.latencies: list[float] = []
        self.refused = 0
        self.not_confirmed = 0

    async def run(self) -> PropagationFigures:
        """Run all clients at the same time and return the measured figures."""
        await self.day.open()
        await self.add_unrelated_rows()
        await asyncio.sleep(SETTLE_SECONDS)
        counts_before = [self.counter_total(name) for name in COUNTERS]
        bytes_before = self.day.cluster.network.bytes_sent.total()
        await asyncio.gather(*(self.run_client(number) for number in range(self.clients)))
        held, lost, batches = (
            self.counter_total(name) - before for name, before in zip(COUNTERS, counts_before, strict=True)
        )
        bytes_sent = self.day.cluster.network.bytes_sent.total() - bytes_before
        ordered = sorted(self.latencies)
        return PropagationFigures(
            confirmed=len(ordered),
            refused=self.refused,
            not_confirmed=self.not_confirmed,
            middle=ordered[len(ordered) // 2],
            slowest=ordered[int(len(ordered) * QUANTILE)],
            ballots_held=held,
            ballots_lost=lost,
            batches=batches,
            bytes_each_second=bytes_sent / self.seconds / len(self.day.cluster.nodes),
        )

    def counter_total(self, name: str) -> float:
        """Return the sum of a counter over all control plane nodes."""
        nodes = self.day.cluster.with_role("agency")
        return float(sum(node.program.context.counters.total(name) for node in nodes))

    async def add_unrelated_rows(self) -> None:
        """Add configuration rows that the orders of the clients do not change."""
        grants = [{"service": "content", "methods": ["GET"]}]
        rows = [
            {"kind": "path", "name": f"/filled/{number}", "value": {"grants": grants}}
            for number in range(self.rows)
        ]
        for first in range(0, len(rows), ROWS_IN_A_CHANGE_LIMIT):
            await self.day.actors.order("agency-1", "change", rows[first : first + ROWS_IN_A_CHANGE_LIMIT])

    async def run_client(self, number: int) -> None:
        """Submit orders to one control plane node until the time of the run is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        control_node = f"agency-{number % CONTROL_NODES + 1}"
        count = 0
        while loop.time() < end:
            count += 1
            order = make_order(number, count)
            started = loop.time()
            try:
                await self.day.actors.order(control_node, order.kind, order.payload)
                self.latencies.append(loop.time() - started)
            except (errors.InvalidChangeError, errors.StaleVersionError):
                self.refused += 1
            except (errors.IrisError, TimeoutError):
                self.not_confirmed += 1


def make_order(client: int, count: int) -> Order:
    """Return a client's order of this count: each tenth is invalid; odd clients change rows, others purge."""
    if count % INVALID_ORDER_INTERVAL == 0:
        return Order("change", [day_kinds.switch_row(client % day_kinds.SWITCH_PATHS, "nobody")])
    if client % 2:
        row = {"kind": "site", "name": f"storm-{client}", "value": {"weight": count % 1000}}
        return Order("change", [row])
    return Order("purge", [("path", f"/vacancies/{count % 50}")])


def measure(seed: int, clients: int, seconds: float, rows: int) -> PropagationFigures:
    """Run the benchmark once in virtual time and return its figures."""
    return virtual_time.run(PropagationBenchmark(seed, clients, seconds, rows).run())
