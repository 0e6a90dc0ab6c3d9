"""Checks that enough machines stay active: losses must be survivable while others are on standby.

The checks use the true state of the simulated cluster, not the view that any node has of it.
"""

import typing

from irisstand.balancing import standby_planning
from irisstand.controlplane.singletons import fleet_view
from irisstand.localcluster import invariant_checker
from irisstand.simulator import simulated_cluster, simulated_node
from irisstand.state import items, quorum, replica, versions

# A node that puts a machine on standby cannot know of a loss more recent than this, as requests and ballots
# take time.
UNKNOWN_LOSS_SECONDS = 1.5
# Allowed time from a loss until enough machines are active; docs/measurements.md has the longest time seen.
ACTIVE_AGAIN_SECONDS = 5.0
# Interval of the checks; without a quorum, the interval before each check counts as an outage.
CHECK_INTERVAL_SECONDS = 0.05
NEVER = -1e9
MAJORITY_LOST = "majority"


# A machine and the version of its standby record; the version tells a new record from one that a machine left
# when it was lost and that is still there when it comes back.
StandbyRecord = tuple[str, versions.Version]


class StandbyInvariants:
    """Periodic checks of the machines on standby during a simulated day.

    Attributes:
        seen_records: Standby records that earlier checks have seen.
        up: Names of the nodes that were up and reached a majority of voters at the last check.
        last_loss_at: Virtual time at which a check last found a node lost.
        shortage_since: Virtual time since when too few machines are active, by role.
        longest_shortage: Longest time without enough active machines, in virtual seconds, by role.
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
        """Check the machines of all roles in the current state of the cluster."""
        contexts = [node.program.context for node in self.cluster.nodes.values() if node.program is not None]
        ledger = newest(context.ledger for context in contexts)
        configuration = newest(context.configuration for context in contexts)
        self.record_losses(ledger, now)
        # Without a majority of voters no change is confirmed, so no node can learn of a new list of origins.
        if self.control_plane_shortage(ledger) == MAJORITY_LOST:
            self.cluster.actors.platform_outages.append((now - CHECK_INTERVAL_SECONDS, now))
        for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE:
            self.check_role(role, ledger, configuration, now)

    def record_losses(self, ledger: replica.Replica, now: float) -> None:
        """Record the time if a node that was up at the last check has been lost since."""
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
        """Check that the active machines of one role have enough capacity."""
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
        # Without a machine on standby, or a quorum to activate one, the shortage cannot be ended.
        if not shortage or not on_standby or self.cluster.network.partitioned_pairs or not is_decidable:
            self.shortage_since.pop(role, None)
            return
        self.check_active_again(role, shortage, now)

    def check_new_standbys(
        self, ledger: replica.Replica, on_standby: set[str], shortage: str, load: float, now: float
    ) -> None:
        """Check that machines put on standby since the last check leave enough for any one further loss."""
        records = {(name, ledger.version(standby_key(name))) for name in on_standby}
        new = records - self.seen_records
        self.seen_records |= records
        if new and now - self.last_loss_at > UNKNOWN_LOSS_SECONDS:
            invariant = "a machine on standby leaves enough capacity for any one further loss"
            example = f"{sorted(new)} on standby at {now:.2f}, uncovered loss: {shortage}, load: {load:.1f}/s"
            self.checker.check(invariant, not shortage, example)

    def check_active_again(self, role: str, shortage: str, now: float) -> None:
        """Check that a shortage of active machines after a loss ends in time."""
        since = self.shortage_since.setdefault(role, max(now, self.last_loss_at))
        duration = now - since
        self.longest_shortage[role] = max(self.longest_shortage.get(role, 0.0), duration)
        invariant = f"after a loss enough machines are active again within {ACTIVE_AGAIN_SECONDS:g} s"
        example = f"{role}: uncovered loss: {shortage} at {now:.2f}, since {since:.2f}"
        self.checker.check(invariant, duration <= ACTIVE_AGAIN_SECONDS, example)

    def has_stuck_disk(self, name: str) -> bool:
        """Return whether the disk of the named node is full or stalled."""
        node = self.cluster.nodes.get(name)
        return node is not None and (node.disk.full or node.disk.stalled)

    def reaches_majority(self, node: simulated_node.SimulatedNode, voters: list[quorum.Voter]) -> bool:
        """Return whether a node reaches a majority of voters that run; one that does not counts as lost."""
        reached = sum(
            self.is_running(voter.name)
            and not self.cluster.network.is_partitioned(node.placement.host, voter.host)
            for voter in voters
        )
        return 2 * reached > len(voters)

    def is_running(self, name: str) -> bool:
        """Return whether the named node exists and is up."""
        node = self.cluster.nodes.get(name)
        return node is not None and node.is_up

    def control_plane_shortage(self, ledger: replica.Replica) -> str:
        """Return what the control plane lacks: a majority, or voters to survive a loss; empty if nothing."""
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = [voter for voter in voters if voter.name in self.up]
        # A voter whose disk is full or stalled answers reads, but accepts no changes.
        deciding_disk_ids = {voter.disk_id for voter in up if not self.has_stuck_disk(voter.name)}
        if not quorum.is_durable(voters, deciding_disk_ids):
            return MAJORITY_LOST
        names = {voter.name for voter in up}
        return (
            ""
            if standby_planning.voters_survive_any_loss(quorum.placements(voters), names)
            else "control plane"
        )


def newest(replicas: typing.Iterable[replica.Replica]) -> replica.Replica:
    """Return the replica with the highest applied version."""
    return max(replicas, key=lambda candidate: candidate.applied)


def standby_key(machine: str) -> str:
    """Return the key of a machine's standby record in the state table."""
    return f"rest/{machine}"


def as_machine(
    node: simulated_node.SimulatedNode, role: str, configuration: replica.Replica
) -> standby_planning.Machine:
    """Return an active node with its configured capacity, as standby planning represents it."""
    placement = node.placement
    row = configuration.value(f"shield/{placement.machine}") or {}
    capacity = row.get("limit", fleet_view.DEFAULT_CAPACITY_BY_ROLE[role])
    return standby_planning.Machine(placement.machine, placement.site, capacity, pinned=False)
