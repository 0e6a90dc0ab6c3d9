"""The node context: tables, membership, transport and tasks that the controllers of one process share."""

import asyncio
import collections.abc
import contextlib
import random
import typing

from irisstand import (
    budget_rule,
    clocks,
    counters,
    drain_guard,
    event_log,
    node_settings,
    node_tables,
    setting_parsers,
)
from irisstand.membership import detector, joining, updates
from irisstand.transport import network, peers

Result = typing.TypeVar("Result")

# The last part of a drain, in which requests that cannot be finished get an error response.
FINAL_RESPONSES_SECONDS = 0.3
DRAIN_CHECK_SECONDS = 0.02
# The time after announcing the departure in which the last messages leave the socket buffers.
LEAVE_FLUSH_SECONDS = 0.05


class NodeContext(node_tables.NodeTables):
    """Tables, membership, transport and tasks of one process, and the stage of its graceful shutdown.

    Attributes:
        is_lame_duck: Whether the node reports that it is not ready, so that balancers send it no more work,
            while it still accepts work (the lame-duck state of the SRE book, chapter 20).
        is_draining: Whether the node accepts no new work and finishes what is in flight.
        budget: The memory and connections that this process may hold for others.
        in_flight: The number of requests and tasks in progress; a drain lasts until it is zero.
        pending_work_checks: Called during a drain; each returns whether the drain must wait for more work.
        drain_ending: A future that is done when the drain has nearly ended, so that whoever waits for it
            responds to requests in flight at once; None until the node is open.
        drain_guard: Ends unfinished work near the end of a drain with an error: first work of which nothing
            has been sent, then the rest.
        crashed: A future that fails with the error of the first controller that crashes; None until the node
            is open.
        close_callbacks: Called by `close`, to release resources that would keep the process alive.
        tasks: The tasks of the controllers, as keys in the order of their start; the order of a set differs
            from run to run.
        detached_tasks: Tasks that continue when the caller that started them is cancelled.
    """

    def __init__(
        self,
        settings: node_settings.Settings,
        role: str,
        clock: clocks.Clock,
        randomness: random.Random,
        net: network.Network,
    ) -> None:
        super().__init__(settings, role, clock)
        self.randomness = randomness
        self.net = net
        self.counters = counters.Counters()
        self.budget = budget_rule.derive(settings, clock.now, self.counters)
        node_info = updates.NodeInfo(
            role,
            settings.machine,
            settings.site,
            settings.region,
            settings.host,
            settings.port,
            settings.http_port,
        )
        self.detector = detector.FailureDetector(settings.name, node_info, clock, randomness, self.counters)
        self.load_gauge = counters.LoadGauge(clock)
        self.transport = peers.Transport(net, self.counters, settings.name)
        self.transport.own_incarnation_id = lambda: self.detector.identity.incarnation_id
        self.transport.budget = self.budget
        self.transport.handlers["gauge"] = self.on_load
        self.transport.handlers["tips"] = self.on_applied_versions
        self.joiner = joining.Joiner(self.detector, self.transport, settings.seeds)
        self.is_lame_duck = False
        self.is_draining = False
        self.in_flight = 0
        self.pending_work_checks: list[collections.abc.Callable[[], bool]] = []
        self.drain_ending: asyncio.Future[None] | None = None
        self.drain_guard = drain_guard.DrainGuard()
        self.crashed: asyncio.Future[None] | None = None
        self.close_callbacks: list[collections.abc.Callable[[], None]] = []
        self.tasks: dict[asyncio.Task[typing.Any], None] = {}
        self.detached_tasks: set[asyncio.Task[typing.Any]] = set()

    async def on_load(self, _sender: str, _body: typing.Any) -> float:
        """Reply to a peer with this node's load in requests per second."""
        return self.load_gauge.per_second()

    def shutdown_stage(self) -> str:
        """Return the stage of the shutdown as used in counter labels: serving, lame-duck or draining."""
        if self.is_draining:
            return "draining"
        return "lame-duck" if self.is_lame_duck else "serving"

    # -- members -------------------------------------------------------------------------------------
    def region_by_site(self) -> dict[str, str]:
        """Return the region of each known site; the settings take precedence over what members announce."""
        members = [update.node_info for update in self.detector.member_list.members.values()]
        return {
            self.settings.site: self.settings.region,
            **{member.site: member.region for member in members},
            **setting_parsers.region_by_site(self.settings.region_by_site),
        }

    def members_of(self, role: str) -> list[updates.Update]:
        """Return the other members of a role that are not declared failed; suspected members come last."""
        members = self.detector.member_list.members.values()
        with_role = [update for update in members if update.node_info.role == role]
        return sorted(with_role, key=lambda update: (update.state, update.identity))

    # -- work and tasks ------------------------------------------------------------------------------
    @contextlib.contextmanager
    def count_in_flight(self) -> collections.abc.Iterator[None]:
        """Count a request as in flight for the duration of a `with` block."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def count_until_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Count a task as in flight until it ends, also if its caller is cancelled before."""
        self.in_flight += 1
        self.detached_tasks.add(task)
        task.add_done_callback(self.on_detached_task_done)

    def on_detached_task_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Count a detached task as ended, and retrieve its exception even if no caller awaits the task."""
        self.in_flight -= 1
        self.detached_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def run_to_completion(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> Result:
        """Await a coroutine that runs to its end even when the caller is cancelled.

        Raises:
            Exception: Whatever the coroutine raises.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self.count_until_done(task)
        return await asyncio.shield(task)

    def start_task(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any], name: str
    ) -> asyncio.Task[typing.Any]:
        """Start the task of a controller, which runs until the process ends; its crash ends the process."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks[task] = None
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[typing.Any]) -> None:
        """Remove a controller's task that has ended; if it crashed, record the crash and fail `crashed`."""
        self.tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        event_log.record("crash", task=task.get_name(), error=repr(error))
        if self.crashed is not None and not self.crashed.done():
            self.crashed.set_exception(error)

    # -- start and end -------------------------------------------------------------------------------
    async def open(self) -> None:
        """Open the ports, then start membership, so that a node is reachable before it becomes a member."""
        address = (self.settings.host, self.settings.port)
        self.crashed = asyncio.get_running_loop().create_future()
        self.drain_ending = asyncio.get_running_loop().create_future()
        await self.transport.open(address)
        self.detector.port = await self.net.open_datagram_socket(address, self.detector.on_datagram)
        self.start_task(self.detector.run(), "detector")
        self.start_task(self.joiner.run(), "joining")

    async def drain(self) -> None:
        """Accept no new work, wait a limited time for work in flight, and announce that this node leaves."""
        self.is_draining = True
        started_at = self.clock.now()
        deadline = started_at + self.settings.drain
        while (self.has_pending_work() or self.in_flight) and self.clock.now() < deadline:
            if self.clock.now() >= deadline - FINAL_RESPONSES_SECONDS:
                self._announce_drain_ending()
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        event_log.record(
            "drained",
            seconds=round(self.clock.now() - started_at, 3),
            in_flight=self.in_flight,
            connections=self.has_pending_work(),
        )
        self.drain_guard.end_unfinished()
        self.detector.leave()
        await asyncio.sleep(LEAVE_FLUSH_SECONDS)

    def has_pending_work(self) -> bool:
        """Return whether any check reports pending work; all checks run, as they may have side effects."""
        return any([check() for check in self.pending_work_checks])

    def _announce_drain_ending(self) -> None:
        self.drain_guard.refuse_unsent()
        if self.drain_ending is not None and not self.drain_ending.done():
            self.drain_ending.set_result(None)

    async def close(self) -> None:
        """Call the close callbacks, cancel all tasks and close all ports of this node."""
        for callback in self.close_callbacks:
            callback()
        for task in [*self.tasks, *self.detached_tasks]:
            task.cancel()
        await self.transport.close()
        if self.detector.port is not None:
            self.detector.port.close()
        if self.crashed is not None and not self.crashed.done():
            self.crashed.cancel()

    def status(self) -> dict[str, typing.Any]:
        """Return the content of the status page as a JSON object."""
        now = self.clock.now()
        tables = {
            name: {"tip": str(table.applied), "age": table.age(now), "rows": len(table.items)}
            for name, table in self.replicas.items()
        }
        return {
            "name": self.settings.name,
            "role": self.role,
            "machine": self.settings.machine,
            "site": self.settings.site,
            "life": self.detector.identity.incarnation_id,
            "draining": self.is_draining,
            "under_way": self.in_flight,
            "tables": tables,
            "members": len(self.detector.member_list.members) + 1,
        }
