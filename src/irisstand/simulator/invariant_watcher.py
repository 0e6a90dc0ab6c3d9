"""Checks the leases, replicas and quota shares of all simulated nodes at a fixed interval."""

import asyncio
import collections
import typing

from irisstand.simulator import simulated_cluster, simulated_node, standby_invariants
from irisstand.state import versions

CHECK_INTERVAL_SECONDS = standby_invariants.CHECK_INTERVAL_SECONDS


class QuotaUse(typing.NamedTuple):
    """One shield's share of the rate limit of a service, and the whole limit, in requests per second."""

    shield: str
    rate: float
    limit: float


class InvariantWatcher:
    """Periodic checks of the invariants that hold at any time in a simulated cluster."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster) -> None:
        self.cluster = cluster
        self.checker = cluster.actors.checker
        self.applied_versions: dict[tuple[str, str], versions.Version] = {}
        self.standby_invariants = standby_invariants.StandbyInvariants(cluster, self.checker)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Check all invariants at a fixed interval until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Check all invariants on the current state of the nodes that are up."""
        nodes = {
            name: node for name, node in self.cluster.nodes.items() if node.is_up and node.program is not None
        }
        for name, node in nodes.items():
            self.check_replicas(name, node)
        self.check_leases(nodes)
        self.check_quota_shares(nodes)
        self.standby_invariants.check(self.now())

    def check_replicas(self, name: str, node: simulated_node.SimulatedNode) -> None:
        """Check that no current replica of a node goes back to an older version."""
        invariant = "no serving node goes back to an older version of a table"
        for table, replica in node.program.context.replicas.items():
            if node.program.context.is_current(replica):
                before = self.applied_versions.get((name, table), versions.NONE)
                example = f"{name} {table}: version {replica.applied} after {before}"
                self.checker.check(invariant, replica.applied >= before, example)
                self.applied_versions[(name, table)] = max(before, replica.applied)

    def check_leases(self, nodes: dict[str, simulated_node.SimulatedNode]) -> None:
        """Check that no two nodes hold the lease of the same singleton task."""
        holders: dict[str, list[str]] = collections.defaultdict(list)
        for name, node in nodes.items():
            if node.placement.role == "agency":
                for task in node.program.singleton_tasks:
                    if task.holds_lease():
                        holders[task.name].append(name)
        for task_name, names in holders.items():
            self.checker.check(
                "the lease of a singleton task has one holder",
                len(names) == 1,
                f"{task_name}: held by {names}",
            )

    def check_quota_shares(self, nodes: dict[str, simulated_node.SimulatedNode]) -> None:
        """Check that the shields' quota shares of each service add up to no more than its rate limit."""
        uses: dict[str, list[QuotaUse]] = collections.defaultdict(list)
        for name, node in nodes.items():
            context = node.program.context
            if node.placement.role == "shield" and all(map(context.is_current, context.replicas.values())):
                self.add_quota_uses(name, node, uses)
        invariant = "the quota shares of a rate limit add up to no more than the limit"
        for service, entries in uses.items():
            rate = sum(entry.rate for entry in entries)
            limit = max(entry.limit for entry in entries)
            example = f"{service}: {[tuple(entry) for entry in entries]} at {self.now():.2f}"
            self.checker.check(invariant, rate <= limit, example)

    def add_quota_uses(
        self, name: str, node: simulated_node.SimulatedNode, uses: dict[str, list[QuotaUse]]
    ) -> None:
        """Add a shield's current quota share of the rate limit of each configured service."""
        for item in node.program.context.configuration.items_with_prefix("service/"):
            limits = item.value["ceiling"]
            service = item.key.removeprefix("service/")
            rate, _ = node.program.view.quota_share(service, (limits["rate"], limits["inflight"]))
            uses[service].append(QuotaUse(name, rate, limits["rate"]))
