"""Random fault injection for a simulated day, drawn by seed from the registered kinds of faults."""

import asyncio
import random

from irisstand.simulator import cluster_faults, fault_context, node_faults, origin_faults, simulated_cluster

# All kinds; the order counts, since seeded days draw from it.
REGISTRY: dict[str, fault_context.Fault] = {
    **node_faults.REGISTRY,
    **origin_faults.REGISTRY,
    **cluster_faults.REGISTRY,
}
DEFAULT_KINDS = tuple(kind for kind in REGISTRY if kind != "total-loss")
DEFAULT_PAUSES_SECONDS = (0.5, 3.0)
EXCLUSIVE_FAULT_POLL_SECONDS = 0.5
# No fault begins in the last second of a day.
QUIET_END_SECONDS = 1


class FaultInjector(fault_context.FaultContext):
    """Injects one fault after another, each in a task of its own.

    Args:
        cluster: The cluster.
        randomness: Source of all draws.
        kinds: Kinds of faults; empty: all but the total loss.
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
        """Inject faults for so many virtual seconds, and wait until all are over."""
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
