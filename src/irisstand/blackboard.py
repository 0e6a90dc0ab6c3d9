"""The blackboard: what the controllers of one process read and write, and nothing else."""

import asyncio
import collections.abc
import contextlib
import random
import typing

from irisstand import boot as booting
from irisstand import clocks, ring
from irisstand import counters as counting
from irisstand.ledger import items, tables
from irisstand.postroom import colleagues, network
from irisstand.rollcall import detector as detecting
from irisstand.rollcall import joining, updates

# Of the drain: for whatever cannot be finished, an answer that says so.
LAST_MOMENT = 0.3


class Board:
    def __init__(
        self, boot: booting.Boot, role: str, clock: clocks.Clock, randomness: random.Random,
        net: network.Network,
    ) -> None:  # fmt: skip
        self.boot, self.clock, self.randomness, self.net = boot, clock, randomness, net
        self.role = role
        self.counters = counting.Counters()
        held = items.TABLES if role == "agency" else items.CARRIED
        self.copies = {name: tables.Copy(name) for name in held}
        card = updates.Card(
            role, boot.machine, boot.site, boot.region, boot.host, boot.port, boot.http_port
        )  # fmt: skip
        self.detector = detecting.Detector(boot.name, card, clock, randomness, self.counters)
        self.gauge = counting.Gauge(clock)
        self.postroom = colleagues.Postroom(net, self.counters, boot.name)
        self.postroom.handlers["gauge"] = self.on_gauge
        self.postroom.handlers["tips"] = self.on_tips
        self.joining = joining.Joining(self.detector, self.postroom, boot.seeds)
        # Leaving: readiness is off, but work is still taken. Draining: no new work either.
        # In the last round of questions not one colleague, of the core or not, knew a table to be fresh.
        self.core_is_out = False
        self.leaving = False
        self.draining = False
        self.under_way = 0
        # Asked during a drain: whether somebody may still send this node work on a connection that is open.
        self.held: collections.abc.Callable[[], bool] = lambda: False
        # In order of starting: a set of tasks has an order of its own in every run.
        self.tasks: dict[asyncio.Task, None] = {}
        self.crashed: asyncio.Future | None = None
        # Done when the time for work under way is all but over: what still waits is to be answered now.
        self.closing: asyncio.Future | None = None

    async def on_gauge(self, _: str, body: list) -> float:
        return self.gauge.per_second()

    async def on_tips(self, _: str, body: list) -> tuple:
        """The tip of each table, and whether this node would answer by it at this moment."""
        copies = self.copies.values()
        return tuple((copy.name, tuple(copy.tip), self.is_current(copy)) for copy in copies)

    @property
    def blueprint(self) -> tables.Copy:
        return self.copies[items.BLUEPRINT]

    @property
    def ledger(self) -> tables.Copy:
        return self.copies[items.LEDGER]

    def is_fresh(self, table: tables.Copy) -> bool:
        """Confirmed within the bound, by whatever way."""
        age = table.age(self.clock.now())
        return age is not None and age <= self.boot.freshness_bound

    def is_current(self, table: tables.Copy) -> bool:
        """Fresh; or, where the settings allow it, older while the whole core is out."""
        if self.is_fresh(table):
            return True
        age = table.age(self.clock.now())
        longest = self.boot.freshness_bound + self.boot.outage_bound
        return self.core_is_out and age is not None and age <= longest

    def is_evacuated(self, site: str) -> bool:
        return self.ledger.value(f"evacuated/{site}") is not None

    def is_resting(self, machine: str) -> bool:
        return self.ledger.value(f"rest/{machine}") is not None

    def regions(self) -> dict[str, str]:
        """Regions by site, as the members' cards tell them."""
        cards = [update.card for update in self.detector.roster.members.values()]
        told = {card.site: card.region for card in cards}
        return {self.boot.site: self.boot.region, **told, **booting.pairs(self.boot.region_by_site)}

    def colleagues(self, role: str) -> list[updates.Update]:
        """Members of a role not declared failed, this node left out; those not suspected come first."""
        found = [update for update in self.detector.roster.members.values() if update.card.role == role]
        return sorted(found, key=lambda update: (update.state, update.identity))

    @contextlib.contextmanager
    def working(self) -> collections.abc.Iterator[None]:
        """Work that somebody waits for: a drain lasts until none is under way."""
        self.under_way += 1
        try:
            yield
        finally:
            self.under_way -= 1

    # -- tasks ---------------------------------------------------------------------------------------
    def start(self, coroutine: collections.abc.Coroutine, name: str) -> asyncio.Task:
        """Run a controller for as long as the process lives; its crash is the process's crash."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks[task] = None
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            ring.note("crash", task=task.get_name(), error=repr(task.exception()))
            if self.crashed is not None and not self.crashed.done():
                self.crashed.set_exception(task.exception())

    async def open(self) -> None:
        """Ports first, then membership: a node that nobody can reach has no business being listed."""
        address = (self.boot.host, self.boot.port)
        self.crashed = asyncio.get_running_loop().create_future()
        self.closing = asyncio.get_running_loop().create_future()
        await self.postroom.open(address)
        self.detector.port = await self.net.datagrams(address, self.detector.on_datagram)
        self.start(self.detector.run(), "detector")
        self.start(self.joining.run(), "joining")

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await self.postroom.close()
        if self.detector.port is not None:
            self.detector.port.close()
        if self.crashed is not None and not self.crashed.done():
            self.crashed.cancel()

    async def drain(self) -> None:
        """No new work; what is under way gets its time; then goodbye."""
        self.draining = True
        end = self.clock.now() + self.boot.drain
        while (self.held() or self.under_way) and self.clock.now() < end:
            if self.clock.now() >= end - LAST_MOMENT and not self.closing.done():
                self.closing.set_result(None)
            await asyncio.sleep(0.02)
        self.detector.leave()
        # One moment for the goodbye to get out of the socket buffers.
        await asyncio.sleep(0.05)

    def status(self) -> dict[str, typing.Any]:
        now = self.clock.now()
        copies = {
            name: {"tip": str(copy.tip), "age": copy.age(now), "rows": len(copy.items)}
            for name, copy in self.copies.items()
        }
        return {
            "name": self.boot.name, "role": self.role, "machine": self.boot.machine, "site": self.boot.site,
            "life": self.detector.identity.life, "draining": self.draining, "under_way": self.under_way,
            "tables": copies, "members": len(self.detector.roster.members) + 1,
        }  # fmt: skip
