"""Kills of a soak run: SIGKILL to processes, of which one may lose its disk, at times drawn from the seed."""

import asyncio
import enum
import random
import typing

from irisstand.soak import fleet, shape

# A control plane node whose disk was lost has caught up after this time; only then may another lose its disk.
CATCH_UP_SECONDS = 8.0
# Kills begin this long after the clients, and end this long before them.
MARGIN_SECONDS = 1.0


class KillAction(enum.StrEnum):
    """Which processes are killed."""

    ONE_EDGE = "an edge"
    HALF_OF_EDGES = "half of the edges"
    HOLDER = "a holder"
    CONTROL_NODE = "a control plane node"
    CONTROL_NODE_AND_DISK = "a control plane node, with its disk"
    CONTROL_PLANE = "all control plane nodes"


class KillStep(typing.NamedTuple):
    """One kill and its time, in seconds from the start of the clients."""

    at_seconds: float
    action: KillAction


def plan_kills(plan: shape.SoakShape) -> list[KillStep]:
    """Draw the kills of a run, ordered by time."""
    randomness = random.Random(f"{plan.seed} kills")
    actions = [action for action in KillAction if plan.holders or action is not KillAction.HOLDER]
    latest = max(MARGIN_SECONDS, plan.seconds - MARGIN_SECONDS)
    return sorted(
        KillStep(randomness.uniform(MARGIN_SECONDS, latest), randomness.choice(actions))
        for _ in range(plan.kills)
    )


class Kills:
    """Carries out the kills of a run.

    Attributes:
        plan: Parameters of the run.
        fleet: Processes of the run.
        randomness: Source of the random choices of processes.
        disk_lost_at: Event loop time of the latest loss of a disk; None if there was none.
    """

    def __init__(self, plan: shape.SoakShape, processes: fleet.Fleet) -> None:
        self.plan = plan
        self.fleet = processes
        self.randomness = random.Random(f"{plan.seed} killed")
        self.disk_lost_at: float | None = None

    async def run(self) -> None:
        """Carry out each kill at its time."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for step in plan_kills(self.plan):
            await asyncio.sleep(max(0.0, started_at + step.at_seconds - loop.time()))
            self.carry_out(step.action)

    def carry_out(self, action: KillAction) -> None:
        """Kill the processes of one action."""
        match action:
            case KillAction.ONE_EDGE:
                self.kill_some("direct", 1)
            case KillAction.HALF_OF_EDGES:
                self.kill_some("direct", self.plan.edges // 2)
            case KillAction.HOLDER:
                self.kill_some("holder", 1)
            case KillAction.CONTROL_NODE:
                self.kill_some("agency", 1)
            case KillAction.CONTROL_NODE_AND_DISK:
                self.kill_with_disk()
            case KillAction.CONTROL_PLANE:
                self.kill_some("agency", self.plan.control_nodes)

    def kill_some(self, role: str, count: int) -> None:
        """Kill random processes of a role."""
        names = [address.name for address in self.fleet.with_role(role)]
        for name in self.randomness.sample(names, min(count, len(names))):
            self.fleet.kill(name)

    def kill_with_disk(self) -> None:
        """Kill a control plane node that loses its disk, unless another has not caught up since."""
        now = asyncio.get_running_loop().time()
        name = self.randomness.choice(self.fleet.with_role("agency")).name
        may_lose_disk = self.disk_lost_at is None or now - self.disk_lost_at > CATCH_UP_SECONDS
        if may_lose_disk:
            self.disk_lost_at = now
        self.fleet.kill(name, loses_disk=may_lose_disk)
