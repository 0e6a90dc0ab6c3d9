"""Failure-detection benchmark: how soon a dead member is suspected, confirmed and known, in SWIM periods.

Source of the expected figures: Das, Gupta, Motivala, "SWIM", 2002, section 3.1.
"""

import asyncio
import math

from irisstand.localcluster import processes
from irisstand.membership import detector, updates
from irisstand.simulator import simulated_cluster, virtual_time

PERIOD_SECONDS = detector.Parameters.period_seconds


def summarize(values: list[float]) -> str:
    """Return mean, median, 90th percentile and maximum as a text."""
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    percentile_90 = ordered[int(len(ordered) * 0.9)]
    mean = sum(ordered) / len(ordered)
    return f"mean {mean:.2f}, median {median:.2f}, 90th hundredth {percentile_90:.2f}, most {ordered[-1]:.2f}"


class FailureDetectionBenchmark:
    """Kills members one after another, and notes what the others learn.

    Attributes:
        first: When any member first took the victim for suspect or failed.
        last: When the last member took it for failed.
        victim: The member that is dead now.
    """

    def __init__(self, seed: int, loss: float) -> None:
        self.cluster = simulated_cluster.SimulatedCluster(seed, processes.SHAPES["karbes"])
        self.loss = loss
        self.first_update_at: dict[updates.MemberState, float] = {}
        self.last_confirm_at = 0.0
        self.victim = ""

    def attach_listeners(self) -> None:
        """Listen to the detectors of all present processes."""
        for node in self.cluster.nodes.values():
            listeners = node.program.context.detector.listeners
            if self.on_update not in listeners:
                listeners.append(self.on_update)

    def on_update(self, update: updates.Update) -> None:
        """Note an update on the victim."""
        if update.identity.name == self.victim and update.state is not updates.MemberState.ALIVE:
            now = asyncio.get_running_loop().time()
            self.first_update_at.setdefault(update.state, now)
            if update.state is updates.MemberState.CONFIRM:
                self.last_confirm_at = now

    def is_removed_everywhere(self) -> bool:
        """Return whether no other member lists the victim any more."""
        others = [node for name, node in self.cluster.nodes.items() if name != self.victim]
        return all(
            all(member.name != self.victim for member in node.program.context.detector.member_list.members)
            for node in others
        )

    async def run(self, kills: int) -> list[str]:
        """Kill so many members and return the lines to print."""
        cluster = self.cluster
        await cluster.start_all()
        await cluster.wait_until_ready()
        cluster.network.loss = self.loss
        suspicion_periods: list[float] = []
        confirm_periods: list[float] = []
        dissemination_periods: list[float] = []
        for _ in range(kills):
            await asyncio.sleep(cluster.randomness.uniform(10, 20))
            self.attach_listeners()
            self.victim = cluster.randomness.choice(list(cluster.nodes))
            self.first_update_at.clear()
            node = cluster.nodes[self.victim]
            node.kill(reset=False)
            killed = asyncio.get_running_loop().time()
            await cluster.wait_until(self.is_removed_everywhere, 120)
            suspicion_periods.append(
                (self.first_update_at[updates.MemberState.SUSPECT] - killed) / PERIOD_SECONDS
            )
            confirm_periods.append(
                (self.first_update_at[updates.MemberState.CONFIRM] - killed) / PERIOD_SECONDS
            )
            dissemination_periods.append(
                (self.last_confirm_at - self.first_update_at[updates.MemberState.CONFIRM]) / PERIOD_SECONDS
            )
            self.victim = ""
            await node.start()
        members = len(cluster.nodes)
        lines = [f"{members} members, {kills} kills, {self.loss:.0%} of packets lost; figures in periods"]
        lines.append(f"first suspicion: {summarize(suspicion_periods)}")
        lines.append(f"first Confirm: {summarize(confirm_periods)}")
        lines.append(f"spread of Confirm: {summarize(dissemination_periods)}")
        expected = 1 / (1 - math.exp(-1))
        lines.append(f"the paper expects a first suspicion after {expected:.2f} periods, section 3.1")
        contexts = [node.program.context for node in cluster.nodes.values()]
        lines.append(
            "a suspicion ripens after "
            f"{max(context.detector.transmission_limit() for context in contexts)} periods"
        )
        false_positives = sum(context.counters.get("swim_lives") for context in contexts)
        lines.append(f"living members that were declared failed: {false_positives:.0f}")
        return lines


def measure(seed: int, kills: int, loss: float) -> list[str]:
    """Run the benchmark in virtual time; `loss` is the share of datagrams that are lost."""
    return virtual_time.run(FailureDetectionBenchmark(seed, loss).run(kills))
