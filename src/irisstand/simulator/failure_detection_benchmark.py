"""How soon the death of a member is suspected, declared and known everywhere, in SWIM periods."""

import asyncio
import math

from irisstand.localcluster import processes
from irisstand.membership import detector, updates
from irisstand.simulator import simulated_cluster, virtual_time

PERIOD = detector.Parameters.period_seconds


def spread(values: list[float]) -> str:
    ordered = sorted(values)
    middle, tenth = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.9)]
    mean = sum(ordered) / len(ordered)
    return f"mean {mean:.2f}, median {middle:.2f}, 90th hundredth {tenth:.2f}, most {ordered[-1]:.2f}"


class FailureDetectionBenchmark:
    def __init__(self, seed: int, loss: float) -> None:
        self.cluster = simulated_cluster.SimulatedCluster(seed, processes.SHAPES["karbes"])
        self.loss = loss
        self.first: dict[updates.MemberState, float] = {}
        self.last = 0.0
        self.victim = ""

    def listen(self) -> None:
        for node in self.cluster.nodes.values():
            listeners = node.program.context.detector.listeners
            if self.heard not in listeners:
                listeners.append(self.heard)

    def heard(self, update: updates.Update) -> None:
        if update.identity.name == self.victim and update.state is not updates.MemberState.ALIVE:
            now = asyncio.get_running_loop().time()
            self.first.setdefault(update.state, now)
            if update.state is updates.MemberState.CONFIRM:
                self.last = now

    def is_known(self) -> bool:
        others = [node for name, node in self.cluster.nodes.items() if name != self.victim]
        return all(
            all(who.name != self.victim for who in node.program.context.detector.member_list.members)
            for node in others
        )

    async def run(self, kills: int) -> list[str]:
        world = self.cluster
        await world.start_all()
        await world.wait_until_ready()
        world.network.loss = self.loss
        suspicions: list[float] = []
        confirms: list[float] = []
        spreads: list[float] = []
        for _ in range(kills):
            await asyncio.sleep(world.randomness.uniform(10, 20))
            self.listen()
            self.victim = world.randomness.choice(list(world.nodes))
            self.first.clear()
            node = world.nodes[self.victim]
            node.kill(reset=False)
            killed = asyncio.get_running_loop().time()
            await world.wait_until(self.is_known, 120)
            suspicions.append((self.first[updates.MemberState.SUSPECT] - killed) / PERIOD)
            confirms.append((self.first[updates.MemberState.CONFIRM] - killed) / PERIOD)
            spreads.append((self.last - self.first[updates.MemberState.CONFIRM]) / PERIOD)
            self.victim = ""
            await node.start()
        members = len(world.nodes)
        lines = [f"{members} members, {kills} kills, {self.loss:.0%} of packets lost; figures in periods"]
        lines.append(f"first suspicion: {spread(suspicions)}")
        lines.append(f"first Confirm: {spread(confirms)}")
        lines.append(f"spread of Confirm: {spread(spreads)}")
        expected = 1 / (1 - math.exp(-1))
        lines.append(f"the paper expects a first suspicion after {expected:.2f} periods, section 3.1")
        contexts = [node.program.context for node in world.nodes.values()]
        lines.append(
            "a suspicion ripens after "
            f"{max(context.detector.transmission_limit() for context in contexts)} periods"
        )
        lives = sum(context.counters.get("swim_lives") for context in contexts)
        lines.append(f"living members that were declared failed: {lives:.0f}")
        return lines


def measure(seed: int, kills: int, loss: float) -> list[str]:
    return virtual_time.run(FailureDetectionBenchmark(seed, loss).run(kills))
