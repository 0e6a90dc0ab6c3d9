"""Storms of changes and purges at several core nodes at once, measured in virtual time."""

import asyncio
import typing

from irisstand import errors
from irisstand.simulator import simulated_day, virtual_time


class PropagationFigures(typing.NamedTuple):
    confirmed: int
    refused: int
    not_confirmed: int
    middle: float
    slowest: float
    ballots_held: float
    ballots_lost: float
    batches: float
    bytes_each_second: float


class PropagationBenchmark:
    """Each client sends its next order as soon as the last is answered; every tenth order is invalid."""

    def __init__(self, seed: int, clients: int, seconds: float, rows: int) -> None:
        self.day = simulated_day.SimulatedDay(
            seed, 0, simulated_day.DayKind(ceilings=simulated_day.HIGH_LIMITS)
        )
        self.rows = rows
        self.clients, self.seconds = clients, seconds
        self.latencies: list[float] = []
        self.refused = 0
        self.not_confirmed = 0

    def counted(self, name: str) -> float:
        return sum(node.program.context.counters.total(name) for node in self.day.cluster.with_role("agency"))

    async def run(self) -> PropagationFigures:
        await self.day.open()
        await self.fill()
        # Let the shares and the rota come to rest, so that only the storm is measured.
        await asyncio.sleep(40)
        names = ("ballots_held", "ballots_lost", "batches_confirmed")
        before = [self.counted(name) for name in names]
        bytes_before = self.day.cluster.network.bytes_sent.total()
        await asyncio.gather(*(self.client(number) for number in range(self.clients)))
        counts = [self.counted(name) - old for name, old in zip(names, before, strict=True)]
        sent = self.day.cluster.network.bytes_sent.total() - bytes_before
        ordered = sorted(self.latencies)
        return PropagationFigures(
            len(ordered),
            self.refused,
            self.not_confirmed,
            ordered[len(ordered) // 2],
            ordered[int(len(ordered) * 0.99)],
            *counts,
            sent / self.seconds / len(self.day.cluster.nodes),
        )

    async def fill(self) -> None:
        """Rows that lie in the table and are not touched by the storm."""
        grants = [{"service": "content", "methods": ["GET"]}]
        rows = [
            {"kind": "path", "name": f"/filled/{number}", "value": {"grants": grants}}
            for number in range(self.rows)
        ]
        for first in range(0, len(rows), 500):
            await self.day.actors.order("agency-1", "change", rows[first : first + 500])

    async def client(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds
        control_node = f"agency-{number % 5 + 1}"
        count = 0
        while loop.time() < end:
            count += 1
            kind, payload = self.order(number, count)
            started = loop.time()
            try:
                await self.day.actors.order(control_node, kind, payload)
                self.latencies.append(loop.time() - started)
            except (errors.InvalidChangeError, errors.StaleVersionError):
                self.refused += 1
            except (errors.IrisError, TimeoutError):
                self.not_confirmed += 1

    def order(self, number: int, count: int) -> tuple[str, typing.Any]:
        if count % 10 == 0:
            return "change", [simulated_day.switch_row(number % simulated_day.SWITCHES, "nobody")]
        if number % 2:
            return "change", [{"kind": "site", "name": f"storm-{number}", "value": {"weight": count % 1000}}]
        return "purge", [("path", f"/vacancies/{count % 50}")]


def measure(seed: int, clients: int, seconds: float, rows: int) -> PropagationFigures:
    return virtual_time.run(PropagationBenchmark(seed, clients, seconds, rows).run())
