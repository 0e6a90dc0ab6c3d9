"""Standby invariants: which machines may rest, checked on the true state of the simulated cluster.

What any node believes of that state is not asked.
"""

import typing

from irisstand.balancing import standby_planning
from irisstand.controlplane.singletons import fleet_view
from irisstand.localcluster import invariant_checker
from irisstand.simulator import simulated_cluster, simulated_node
from irisstand.state import items, quorum, replica, versions

# A younger loss cannot be known yet to the node that records a rest: requests and decisions take that long.
UNKNOWN_LOSS_SECONDS = 1.5
# After a loss enough machines are awake again within this time; docs/measurements.md has the longest seen.
ACTIVE_AGAIN_SECONDS = 5.0
# While nothing can be decided, this much before each look counts as an outage.
CHECK_INTERVAL_SECONDS = 0.05
NEVER = -1e9
MAJORITY_LOST = "majority"


# A machine and the version of its rest: one that comes back may find an older rest of its own recorded.
StandbyRecord = tuple[str, versions.Version]


class StandbyInvariants:
    """Checks rests again and again during a simulated day.

    Attributes:
        longest: By role, the longest time without enough machines awake, in virtual seconds.
    """

    def __init__(
        self, cluster: simulated_cluster.SimulatedCluster, checker: invariant_checker.InvariantChecker
    ) -> None:
        self.cluster = cluster
        self.checker = checker
        self.seen_records: set[StandbyRecord] = set()
        self.up: set[str] = set()
        self.last_loss_at = NEVER
        self.shortage_since: dict[str, float] = {}
        self.longest_shortage: dict[str, float] = {}

    def check(self, now: float) -> None:
        """Check the cluster as it is now."""
        contexts = [node.program.context for node in self.cluster.nodes.values() if node.program is not None]
        ledger = newest(context.ledger for context in contexts)
        configuration = newest(context.configuration for context in contexts)
        self.record_losses(ledger, now)
        # While nothing can be decided, no node learns that it should do anything else.
        if self.control_plane_shortage(ledger) == MAJORITY_LOST:
            self.cluster.actors.platform_outages.append((now - CHECK_INTERVAL_SECONDS, now))
        for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE:
            self.check_role(role, ledger, configuration, now)

    def record_losses(self, ledger: replica.Replica, now: float) -> None:
        """Note the time if a node that was there at the last look is not there now."""
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = {
            node.placement.name
            for node in self.cluster.nodes.values()
            if node.is_up and self.reaches_majority(node, voters)
        }
        if self.up - up:
            self.last_loss_at = now
        self.up = up

    def check_role(
        self, role: str, ledger: replica.Replica, configuration: replica.Replica, now: float
    ) -> None:
        """Check the machines of one role."""
        nodes = [
            node
            for node in self.cluster.with_role(role)
            if node.placement.name in self.up and ledger.value(f"evacuated/{node.placement.site}") is None
        ]
        machines = [node.placement.machine for node in nodes]
        on_standby = {name for name in machines if ledger.value(standby_key(name)) is not None}
        active = [
            as_machine(node, role, configuration)
            for node in nodes
            if node.placement.machine not in on_standby
        ]
        load = sum(node.program.context.load_gauge.per_second() for node in nodes)
        shortage = standby_planning.uncovered_loss(active, load)
        self.check_new_standbys(
            ledger, on_standby, f"{shortage or self.control_plane_shortage(ledger)}", load, now
        )
        is_decidable = self.control_plane_shortage(ledger) != MAJORITY_LOST
        # With no machine to wake, or no way to decide it, there is nothing to be checked.
        if not shortage or not on_standby or self.cluster.network.partitioned_pairs or not is_decidable:
            self.shortage_since.pop(role, None)
            return
        self.check_active_again(role, shortage, now)

    def check_new_standbys(
        self, ledger: replica.Replica, on_standby: set[str], shortage: str, load: float, now: float
    ) -> None:
        """Check that a rest recorded since the last look leaves enough for any one further loss."""
        records = {(name, ledger.version(standby_key(name))) for name in on_standby}
        new = records - self.seen_records
        self.seen_records |= records
        if new and now - self.last_loss_at > UNKNOWN_LOSS_SECONDS:
            invariant = "a rest leaves enough for any one further loss"
            example = f"{sorted(new)} rest at {now:.2f}: {shortage} is not carried at {load:.1f}/s"
            self.checker.check(invariant, not shortage, example)

    def check_active_again(self, role: str, shortage: str, now: float) -> None:
        """Check that a shortage, which a loss has caused, does not last."""
        since = self.shortage_since.setdefault(role, max(now, self.last_loss_at))
        duration = now - since
        self.longest_shortage[role] = max(self.longest_shortage.get(role, 0.0), duration)
        invariant = f"after a loss enough is awake again within {ACTIVE_AGAIN_SECONDS:g} s"
        example = f"{role}: {shortage} at {now:.2f}, since {since:.2f}"
        self.checker.check(invariant, duration <= ACTIVE_AGAIN_SECONDS, example)

    def has_stuck_disk(self, name: str) -> bool:
        """Return whether a node's disk is full or stalled."""
        node = self.cluster.nodes.get(name)
        return node is not None and (node.disk.full or node.disk.stalled)

    def reaches_majority(self, node: simulated_node.SimulatedNode, voters: list[quorum.Voter]) -> bool:
        """Return whether a node reaches a majority of running voters; otherwise it counts as lost."""
        reached = sum(
            self.is_running(voter.name)
            and not self.cluster.network.is_partitioned(node.placement.host, voter.host)
            for voter in voters
        )
        return 2 * reached > len(voters)

    def is_running(self, name: str) -> bool:
        """Return whether a node exists and is up."""
        node = self.cluster.nodes.get(name)
        return node is not None and node.is_up

    def control_plane_shortage(self, ledger: replica.Replica) -> str:
        """Return what the core lacks: a majority, or enough for one further loss; empty: nothing."""
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = [voter for voter in voters if voter.name in self.up]
        # A voter whose disk is full or stalled answers reads, but decides nothing.
        deciding_disk_ids = {voter.disk_id for voter in up if not self.has_stuck_disk(voter.name)}
        if not quorum.is_durable(voters, deciding_disk_ids):
            return MAJORITY_LOST
        names = {voter.name for voter in up}
        return "" if standby_planning.core_survives_any_loss(quorum.placements(voters), names) else "core"


def newest(replicas: typing.Iterable[replica.Replica]) -> replica.Replica:
    """Return the replica with the highest applied version."""
    return max(replicas, key=lambda candidate: candidate.applied)


def standby_key(machine: str) -> str:
    """Return the key of a machine's rest in the state table."""
    return f"rest/{machine}"


def as_machine(
    node: simulated_node.SimulatedNode, role: str, configuration: replica.Replica
) -> standby_planning.Machine:
    """Return an awake node as the planning sees it, with its configured capacity."""
    placement = node.placement
    row = configuration.value(f"shield/{placement.machine}") or {}
    capacity = row.get("limit", fleet_view.DEFAULT_CAPACITY_BY_ROLE[role])
    return standby_planning.Machine(placement.machine, placement.site, capacity, pinned=False)
