"""A simulated node: its settings, its disk, and a process that can be killed, frozen and restarted."""

import asyncio
import collections.abc
import contextlib
import random
import typing

from irisstand import clocks, errors, node_settings

# Both packages have a module named `assembly`, so each is imported under a name of its own.
from irisstand.controlplane import assembly as control_node_assembly
from irisstand.dataplane import assembly as data_node_assembly
from irisstand.simulator import memory_disk, memory_network, simulated_origins, virtual_time

if typing.TYPE_CHECKING:
    # Needed only for annotations; an import at run time would be circular, as the cluster makes its nodes.
    from irisstand.simulator import simulated_cluster

Result = typing.TypeVar("Result")

PORT = 7000
HTTP_PORT = 8000
RESTART_PAUSE_SECONDS = 1.0


class NodePlacement(typing.NamedTuple):
    """Name, role, machine, site, region and host address of a node."""

    name: str
    role: str
    machine: str
    site: str
    region: str
    host: str


class SimulatedNode:
    """A node whose process can be killed, frozen and restarted, and whose disk outlives the process.

    Attributes:
        program: The `ControlNode` or `DataNode` of the current process; None before the first start. It has
            no static type, since its users know the role of the node.
    """

    def __init__(self, cluster: "simulated_cluster.SimulatedCluster", placement: NodePlacement) -> None:
        self.cluster = cluster
        self.placement = placement
        self.disk = memory_disk.MemoryDisk(cluster.randomness)
        self.actor = virtual_time.Actor(placement.name)
        self.actor.dead = True
        self.program: typing.Any = None
        self.was_wiped = False

    @property
    def is_up(self) -> bool:
        """Whether the process exists and is not frozen."""
        return not self.actor.dead and not self.actor.frozen

    def settings(self) -> node_settings.Settings:
        """Return the settings with which a process of this node starts."""
        place = self.placement
        cluster = self.cluster
        return node_settings.Settings(
            place.name,
            place.machine,
            place.site,
            place.region,
            place.host,
            PORT,
            HTTP_PORT,
            cluster.seeds,
            role=place.role,
            data="memory",
            founding=cluster.founding,
            replace_after=cluster.replace_after,
            found_by_seeds=cluster.seeds_bootstrap,
            may_found=not (cluster.seeds_bootstrap and self.was_wiped),
            outage_bound=cluster.outage_bound,
        )

    async def start(self) -> None:
        """Start a new process and wait until its program is open.

        Raises:
            errors.IrisError: The process could not start.
        """
        # The dead process is kept until the simulation ends, since garbage collection would run the `finally`
        # blocks of its tasks.
        self.cluster.crashed_actors.append(self.actor)
        self.actor = virtual_time.Actor(self.placement.name)
        # Each process has a random generator of its own, so that one more draw in it does not change others.
        randomness = random.Random(self.cluster.randomness.getrandbits(64))
        self.program = self.make_program(randomness)
        await self.actor.start(self.program.open())

    def make_program(
        self, randomness: random.Random
    ) -> control_node_assembly.ControlNode | data_node_assembly.DataNode:
        """Return a new program for the node's role, which is not open yet."""
        host = self.placement.host
        network = memory_network.HostNetwork(self.cluster.network, host)
        clock = clocks.LoopClock()
        if self.placement.role == "agency":
            return control_node_assembly.ControlNode(
                self.settings(), clock, randomness, network, self.disk, self.cluster.ask_platform
            )
        opener = simulated_origins.connection_opener(self.cluster.actors, self.cluster.network, host)
        return data_node_assembly.DataNode(self.settings(), clock, randomness, network, opener)

    async def restart(self) -> None:
        """Start a process and, like a supervisor, try again after a pause while the start fails."""
        while True:
            try:
                await self.start()
            except errors.IrisError:
                self.kill()
                await asyncio.sleep(RESTART_PAUSE_SECONDS)
            else:
                return

    def kill(self, *, reset: bool = True) -> None:
        """Kill the process.

        Args:
            reset: Whether the peers' connections are reset; after a power loss they are not.
        """
        self.actor.dead = True
        self.cluster.network.disconnect(self.actor, reset=reset)

    async def stop(self) -> None:
        """Shut the process down gracefully, as on SIGTERM, and check that no request still waits for it."""
        context = self.program.context
        context.is_lame_duck = True
        await self.actor.start(asyncio.sleep(context.settings.farewell))
        await self.actor.start(context.drain())
        # A request that still waits for this process after the drain will get no response.
        invariant = "a planned restart drops no request in progress"
        if self.is_up:
            pending_requests = self.actor.pending_requests
            self.cluster.actors.checker.check(
                invariant,
                pending_requests == 0,
                f"{self.placement.name}: {pending_requests} requests unanswered",
            )
        await self.actor.start(self.program.close())
        self.actor.dead = True
        self.cluster.network.disconnect(self.actor, reset=True)

    def freeze(self) -> None:
        """Freeze the process: its callbacks are held back until it is thawed."""
        self.actor.frozen = True

    def thaw(self) -> None:
        """Resume a frozen process, beginning with the callbacks that were held back."""
        virtual_time.running_loop().thaw(self.actor)

    def wipe(self) -> None:
        """Remove all files from the disk."""
        self.disk.files.clear()
        self.was_wiped = True

    async def run(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result], timeout_seconds: float
    ) -> Result:
        """Run a coroutine in the process of this node and return its result to the caller outside.

        Raises:
            TimeoutError: The coroutine did not end within the timeout.
        """
        task = self.actor.start(coroutine)
        done, _ = await asyncio.wait([task], timeout=timeout_seconds)
        if not done:
            raise TimeoutError(f"{self.placement.name} gave no result within the timeout")
        return task.result()

    @contextlib.contextmanager
    def counted_request(self) -> collections.abc.Iterator[None]:
        """Count a request as pending at the current process while the context is open."""
        actor = self.actor
        actor.pending_requests += 1
        try:
            yield
        finally:
            actor.pending_requests -= 1
