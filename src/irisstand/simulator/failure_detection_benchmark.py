"""Measures how soon a dead member is suspected, confirmed failed and known to all, in SWIM periods.

Source of the expected figure: Das, Gupta, Motivala, "SWIM", 2002, section 3.1.
"""

import asyncio
import math

from irisstand.localcluster import processes
from irisstand.membership import detector, updates
from irisstand.simulator import simulated_cluster, virtual_time

PERIOD_SECONDS = detector.Parameters.period_seconds


def summarize(values: list[float]) -> str:
    """Return the mean, median, 90th percentile and maximum of the values as a text."""
    ordered = sorted(values)
    median = ordered[len(ordered) // 2]
    percentile_90 = ordered[int(len(ordered) * 0.9)]
    mean = sum(ordered) / len(ordered)
    return f"mean {mean:.2f}, median {median:.2f}, 90th percentile {percentile_90:.2f}, max {ordered[-1]:.2f}"


class FailureDetectionBenchmark:
    """Kills members one after another, and records when the others learn of it.

    Attributes:
        loss: Share of datagrams that are lost, from 0 to 1.
        first_update_at: Virtual time at which any member first had the victim in a state, by state.
        last_confirm_at: Virtual time at which the last member so far had the victim as failed.
        victim: Name of the member that is dead now; empty: none.
    """

    def __init__(self, seed: int, loss: float) -> None:
        self.cluster = simulated_cluster.SimulatedCluster(seed, processes.SHAPES["karbes"])
        self.loss = loss
        self.first_update_at: dict[updates.MemberState, float] = {}
        self.last_confirm_at = 0.0
        self.victim = ""

    def attach_listeners(self) -> None:
        """Register `on_update` with the failure detectors of all current processes."""
        for node in self.cluster.nodes.values():
            listeners = node.program.context.detector.listeners
            if self.on_update not in listeners:
                listeners.append(self.on_update)

    def on_update(self, update: updates.Update) -> None:
        """Record when a member receives a membership update about the victim."""
        if update.identity.name == self.victim and update.state is not updates.MemberState.ALIVE:
            now = asyncio.get_running_loop().time()
            self.first_update_at.setdefault(update.state, now)
            if update.state is updates.MemberState.CONFIRM:
                self.last_confirm_at = now

    def is_removed_everywhere(self) -> bool:
        """Return whether every other member has removed the victim from its member list."""
        others = [node for name, node in self.cluster.nodes.items() if name != self.victim]
        return all(
            all(member.name != self.victim for member in node.program.context.detector.member_list.members)
            for node in others
        )

    async def run(self, kills: int) -> list[str]:
        """Kill this number of members, one at a time, and return the report as lines."""
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
        lines = [
            f"{members} members, {kills} kills, {self.loss:.0%} of datagrams lost; times in SWIM periods"
        ]
        lines.append(f"first suspicion: {summarize(suspicion_periods)}")
        lines.append(f"first Confirm: {summarize(confirm_periods)}")
        lines.append(f"dissemination of Confirm: {summarize(dissemination_periods)}")
        expected = 1 / (1 - math.exp(-1))
        lines.append(f"section 3.1 of the SWIM paper expects a first suspicion after {expected:.2f} periods")
        contexts = [node.program.context for node in cluster.nodes.values()]
        lines.append(
            "a suspected member is confirmed as failed after "
            f"{max(context.detector.transmission_limit() for context in contexts)} periods"
        )
        false_positives = sum(context.counters.get("swim_lives") for context in contexts)
        lines.append(f"false positives, live members that were confirmed as failed: {false_positives:.0f}")
        return lines


def measure(seed: int, kills: int, loss: float) -> list[str]:
    """Run the benchmark in virtual time; `loss` is the share of datagrams that are lost."""
    return virtual_time.run(FailureDetectionBenchmark(seed, loss).run(kills))
