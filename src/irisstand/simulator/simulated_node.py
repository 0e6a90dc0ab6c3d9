"""A simulated node: a process that can be killed, frozen and restarted, and its disk."""

import asyncio
import collections.abc
import contextlib
import random
import typing

from irisstand import clocks, errors, node_settings

# Both packages have an assembly module; the other names tell them apart.
from irisstand.controlplane import assembly as control_node_assembly
from irisstand.dataplane import assembly as data_node_assembly
from irisstand.simulator import memory_disk, memory_network, simulated_origins, virtual_time

if typing.TYPE_CHECKING:
    # The cluster makes its nodes, so only the type is needed here.
    from irisstand.simulator import simulated_cluster

Result = typing.TypeVar("Result")

PORT = 7000
HTTP_PORT = 8000
RESTART_PAUSE_SECONDS = 1.0


class NodePlacement(typing.NamedTuple):
    """Name, role and place of a node."""

    name: str
    role: str
    machine: str
    site: str
    region: str
    host: str


class SimulatedNode:
    """A process that can be killed, frozen and restarted; its disk survives it.

    Attributes:
        program: The control or data node of the present process, None before the first start. It is not
            typed, since most uses know the role of the node.
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
        """Whether the process runs."""
        return not self.actor.dead and not self.actor.frozen

    def settings(self) -> node_settings.Settings:
        """Return the node's settings."""
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
        """Start a new process and wait until it is open.

        Raises:
            errors.IrisError: The process could not start.
        """
        # A dead process's tasks are kept to the end: collected as garbage, they would run clean-up code.
        self.cluster.crashed_actors.append(self.actor)
        self.actor = virtual_time.Actor(self.placement.name)
        # Each process draws from a stream of its own, so that one more draw here changes nothing there.
        randomness = random.Random(self.cluster.randomness.getrandbits(64))
        self.program = self.make_program(randomness)
        await self.actor.start(self.program.open())

    def make_program(
        self, randomness: random.Random
    ) -> control_node_assembly.ControlNode | data_node_assembly.DataNode:
        """Return the program for the node's role."""
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
        """Start as a supervisor does: a process that cannot start is started again."""
        while True:
            try:
                await self.start()
            except errors.IrisError:
                self.kill()
                await asyncio.sleep(RESTART_PAUSE_SECONDS)
            else:
                return

    def kill(self, *, reset: bool = True) -> None:
        """Kill the process; without a reset its peers learn nothing, as after a loss of power."""
        self.actor.dead = True
        self.cluster.network.disconnect(self.actor, reset=reset)

    async def stop(self) -> None:
        """Shut down in order, as on SIGTERM, and check that no request is left waiting."""
        context = self.program.context
        context.is_lame_duck = True
        await self.actor.start(asyncio.sleep(context.settings.farewell))
        await self.actor.start(context.drain())
        # A request that still waits now will never be answered.
        invariant = "a planned restart drops no answer under way"
        if self.is_up:
            pending_requests = self.actor.pending_requests
            self.cluster.actors.checker.check(
                invariant, pending_requests == 0, f"{self.placement.name}: {pending_requests} dropped"
            )
        await self.actor.start(self.program.close())
        self.actor.dead = True
        self.cluster.network.disconnect(self.actor, reset=True)

    def freeze(self) -> None:
        """Stop the process; what comes up for it is held back."""
        self.actor.frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on."""
        virtual_time.running_loop().thaw(self.actor)

    def wipe(self) -> None:
        """Lose the disk."""
        self.disk.files.clear()
        self.was_wiped = True

    async def run(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result], timeout_seconds: float
    ) -> Result:
        """Run a coroutine as this process and wait for it from outside.

        Raises:
            TimeoutError: It did not end in time.
        """
        task = self.actor.start(coroutine)
        done, _ = await asyncio.wait([task], timeout=timeout_seconds)
        if not done:
            raise TimeoutError(f"{self.placement.name} did not answer")
        return task.result()

    @contextlib.contextmanager
    def counted_request(self) -> collections.abc.Iterator[None]:
        """Count a request from outside while it waits for the present process."""
        actor = self.actor
        actor.pending_requests += 1
        try:
            yield
        finally:
            actor.pending_requests -= 1
