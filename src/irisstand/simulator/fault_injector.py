"""Injects faults of random kinds into a simulated day, determined by the seed of the day."""

import asyncio
import random

from irisstand.simulator import cluster_faults, fault_context, node_faults, origin_faults, simulated_cluster

# All kinds of faults by name. A changed order would change which faults a seed draws.
REGISTRY: dict[str, fault_context.Fault] = {
    **node_faults.REGISTRY,
    **origin_faults.REGISTRY,
    **cluster_faults.REGISTRY,
    **origin_faults.SPECIAL_REGISTRY,
}
NOT_BY_DEFAULT = ("total-loss", *origin_faults.SPECIAL_REGISTRY)
DEFAULT_KINDS = tuple(kind for kind in REGISTRY if kind not in NOT_BY_DEFAULT)
DEFAULT_PAUSES_SECONDS = (0.5, 3.0)
EXCLUSIVE_FAULT_POLL_SECONDS = 0.5
# No fault begins in the last so many seconds of a day.
QUIET_END_SECONDS = 1


class FaultInjector(fault_context.FaultContext):
    """Injects faults one after another, each in a task of its own, so that they may overlap.

    Args:
        cluster: Cluster into which the faults are injected.
        randomness: Random generator for kinds, targets and times.
        kinds: Names of the kinds to choose from; empty means all but those in `NOT_BY_DEFAULT`.
        pauses: Shortest and longest pause between two faults, in virtual seconds.
    """

    def __init__(
        self,
        cluster: simulated_cluster.SimulatedCluster,
        randomness: random.Random,
        kinds: tuple[str, ...] = (),
        pauses: tuple[float, float] = DEFAULT_PAUSES_SECONDS,
    ) -> None:
        super().__init__(cluster, randomness)
        self.kinds = kinds or DEFAULT_KINDS
        self.pauses = pauses

    async def run(self, seconds: float) -> None:
        """Inject faults for this number of virtual seconds, and wait until all of them are over."""
        end = fault_context.now() + seconds
        while fault_context.now() < end - QUIET_END_SECONDS:
            if self.is_exclusive:
                await asyncio.sleep(EXCLUSIVE_FAULT_POLL_SECONDS)
                continue
            kind = self.randomness.choice(self.kinds)
            task = asyncio.create_task(REGISTRY[kind](self))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await self.pause(*self.pauses)
        if self.tasks:
            await asyncio.wait(self.tasks)
