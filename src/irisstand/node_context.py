"""The node context: what the controllers of one process read and write, and nothing else."""

import asyncio
import collections.abc
import contextlib
import random
import typing

from irisstand import clocks, errors, event_log, node_settings
from irisstand import counters as counting
from irisstand.membership import detector as detecting
from irisstand.membership import joining, updates
from irisstand.state import items, replica
from irisstand.transport import network, peers

# Of the drain: for whatever cannot be finished, an answer that says so.
FINAL_ANSWERS_SECONDS = 0.3


class NodeContext:
    def __init__(
        self,
        settings: node_settings.Settings,
        role: str,
        clock: clocks.Clock,
        randomness: random.Random,
        net: network.Network,
    ) -> None:
        self.settings, self.clock, self.randomness, self.net = settings, clock, randomness, net
        self.role = role
        self.started_at = clock.now()
        self.counters = counting.Counters()
        held = items.TABLES if role == "agency" else items.REPLICATED_TABLES
        self.replicas = {name: replica.Replica(name) for name in held}
        card = updates.NodeInfo(
            role,
            settings.machine,
            settings.site,
            settings.region,
            settings.host,
            settings.port,
            settings.http_port,
        )
        self.detector = detecting.FailureDetector(settings.name, card, clock, randomness, self.counters)
        self.load_gauge = counting.LoadGauge(clock)
        self.transport = peers.Transport(net, self.counters, settings.name)
        self.transport.own_incarnation_id = lambda: self.detector.identity.incarnation_id
        self.transport.handlers["gauge"] = self.on_gauge
        self.transport.handlers["tips"] = self.on_applied_versions
        self.joiner = joining.Joiner(self.detector, self.transport, settings.seeds)
        # Leaving: readiness is off, but work is still taken. Draining: no new work either.
        # By table, the last moment at which most of its voters were found unable to confirm anything.
        self.quorum_lost_as_of: dict[str, float] = {}
        self.is_lame_duck = False
        self.is_draining = False
        self.in_flight = 0
        # Asked during a drain: whether somebody may still send this node work on a connection that is open.
        self.has_pending_work: collections.abc.Callable[[], bool] = lambda: False
        # Called at the very end, to let go of what would keep this process.
        self.close_callbacks: list[collections.abc.Callable[[], None]] = []
        # In order of starting: a set of tasks has an order of its own in every run.
        self.tasks: dict[asyncio.Task, None] = {}
        self.crashed: asyncio.Future | None = None
        # Done when the time for work under way is all but over: what still waits is to be answered now.
        self.drain_ending: asyncio.Future | None = None

    async def on_gauge(self, _: str, body: list) -> float:
        return self.load_gauge.per_second()

    async def on_applied_versions(self, _: str, body: list) -> tuple:
        """The applied version of each table, and whether this node would answer by it at this moment."""
        copies = self.replicas.values()
        return tuple((copy.name, tuple(copy.applied), self.is_current(copy)) for copy in copies)

    @property
    def configuration(self) -> replica.Replica:
        return self.replicas[items.CONFIGURATION]

    @property
    def ledger(self) -> replica.Replica:
        return self.replicas[items.LEDGER]

    def is_fresh(self, table: replica.Replica) -> bool:
        """Confirmed within the bound, as of a moment in this life of the process.

        A node killed and started again might else serve by a table older than its former life's.
        """
        age = table.age(self.clock.now())
        if age is None or table.current_as_of < self.started_at:
            return False
        return age <= self.settings.freshness_bound

    def is_quorum_lost(self, table: replica.Replica) -> bool:
        """Whether the voters were found unable to confirm anything, and that within the freshness bound."""
        as_of = self.quorum_lost_as_of.get(table.name)
        return as_of is not None and self.clock.now() - as_of <= self.settings.freshness_bound

    def is_current(self, table: replica.Replica) -> bool:
        """Fresh; or, on the data plane and where the settings allow it, older while the core is out."""
        if self.is_fresh(table):
            return True
        # Control state is never handed out by its age alone.
        if self.role == "agency":
            return False
        age = table.age(self.clock.now())
        longest = self.settings.freshness_bound + self.settings.outage_bound
        return self.is_quorum_lost(table) and age is not None and age <= longest

    def check_current(self) -> None:
        """StaleConfiguration if any table is not known to be current here."""
        for copy in self.replicas.values():
            if not self.is_current(copy):
                raise errors.StaleConfigurationError(f"the {copy.name} table is not known to be current here")

    def is_evacuated(self, site: str) -> bool:
        return self.ledger.value(f"evacuated/{site}") is not None

    def is_standby(self, machine: str) -> bool:
        return self.ledger.value(f"rest/{machine}") is not None

    def region_by_site(self) -> dict[str, str]:
        """Regions by site, as the members' cards tell them."""
        cards = [update.node_info for update in self.detector.member_list.members.values()]
        told = {card.site: card.region for card in cards}
        return {
            self.settings.site: self.settings.region,
            **told,
            **node_settings.pairs(self.settings.region_by_site),
        }

    def members_of(self, role: str) -> list[updates.Update]:
        """Members of a role not declared failed, this node left out; those not suspected come first."""
        found = [
            update for update in self.detector.member_list.members.values() if update.node_info.role == role
        ]
        return sorted(found, key=lambda update: (update.state, update.identity))

    @contextlib.contextmanager
    def count_in_flight(self) -> collections.abc.Iterator[None]:
        """Work that somebody waits for: a drain lasts until none is under way."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    # -- tasks ---------------------------------------------------------------------------------------
    def start_task(self, coroutine: collections.abc.Coroutine, name: str) -> asyncio.Task:
        """Run a controller for as long as the process lives; its crash is the process's crash."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks[task] = None
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            event_log.record("crash", task=task.get_name(), error=repr(task.exception()))
            if self.crashed is not None and not self.crashed.done():
                self.crashed.set_exception(task.exception())

    async def open(self) -> None:
        """Ports first, then membership: a node that nobody can reach has no business being listed."""
        address = (self.settings.host, self.settings.port)
        self.crashed = asyncio.get_running_loop().create_future()
        self.drain_ending = asyncio.get_running_loop().create_future()
        await self.transport.open(address)
        self.detector.port = await self.net.datagrams(address, self.detector.on_datagram)
        self.start_task(self.detector.run(), "detector")
        self.start_task(self.joiner.run(), "joining")

    async def close(self) -> None:
        for closer in self.close_callbacks:
            closer()
        for task in list(self.tasks):
            task.cancel()
        await self.transport.close()
        if self.detector.port is not None:
            self.detector.port.close()
        if self.crashed is not None and not self.crashed.done():
            self.crashed.cancel()

    async def drain(self) -> None:
        """No new work; what is under way gets its time; then goodbye."""
        self.is_draining = True
        end = self.clock.now() + self.settings.drain
        while (self.has_pending_work() or self.in_flight) and self.clock.now() < end:
            if self.clock.now() >= end - FINAL_ANSWERS_SECONDS and not self.drain_ending.done():
                self.drain_ending.set_result(None)
            await asyncio.sleep(0.02)
        self.detector.leave()
        # One moment for the goodbye to get out of the socket buffers.
        await asyncio.sleep(0.05)

    def status(self) -> dict[str, typing.Any]:
        now = self.clock.now()
        copies = {
            name: {"tip": str(copy.applied), "age": copy.age(now), "rows": len(copy.items)}
            for name, copy in self.replicas.items()
        }
        return {
            "name": self.settings.name,
            "role": self.role,
            "machine": self.settings.machine,
            "site": self.settings.site,
            "life": self.detector.identity.incarnation_id,
            "draining": self.is_draining,
            "under_way": self.in_flight,
            "tables": copies,
            "members": len(self.detector.member_list.members) + 1,
        }
