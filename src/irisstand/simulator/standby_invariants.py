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
AWAKE_AGAIN_SECONDS = 5.0
# While nothing can be decided, this much before each look counts as an outage.
LOOK_INTERVAL_SECONDS = 0.05
NEVER = -1e9
MAJORITY_LOST = "majority"


# A machine and the version of its rest: one that comes back may find an older rest of its own recorded.
RestRecord = tuple[str, versions.Version]


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
        self.seen: set[RestRecord] = set()
        self.up: set[str] = set()
        self.lost_at = NEVER
        self.short_since: dict[str, float] = {}
        self.longest: dict[str, float] = {}

    def look(self, now: float) -> None:
        """Check the cluster as it is now."""
        contexts = [node.program.context for node in self.cluster.nodes.values() if node.program is not None]
        ledger = newest(context.ledger for context in contexts)
        configuration = newest(context.configuration for context in contexts)
        self.note_losses(ledger, now)
        # While nothing can be decided, no node learns that it should do anything else.
        if self.core_shortage(ledger) == MAJORITY_LOST:
            self.cluster.actors.platform_outages.append((now - LOOK_INTERVAL_SECONDS, now))
        for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE:
            self.look_at_role(role, ledger, configuration, now)

    def note_losses(self, ledger: replica.Replica, now: float) -> None:
        """Note the time if a node that was there at the last look is not there now."""
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = {
            node.placement.name
            for node in self.cluster.nodes.values()
            if node.is_up and self.reaches_core(node, voters)
        }
        if self.up - up:
            self.lost_at = now
        self.up = up

    def look_at_role(
        self, role: str, ledger: replica.Replica, configuration: replica.Replica, now: float
    ) -> None:
        """Check the machines of one role."""
        nodes = [
            node
            for node in self.cluster.with_role(role)
            if node.placement.name in self.up and ledger.value(f"evacuated/{node.placement.site}") is None
        ]
        machines = [node.placement.machine for node in nodes]
        resting = {name for name in machines if ledger.value(rest_key(name)) is not None}
        awake = [
            as_machine(node, role, configuration) for node in nodes if node.placement.machine not in resting
        ]
        load = sum(node.program.context.load_gauge.per_second() for node in nodes)
        shortage = standby_planning.uncovered_loss(awake, load)
        self.check_new_rests(ledger, resting, f"{shortage or self.core_shortage(ledger)}", load, now)
        is_decidable = self.core_shortage(ledger) != MAJORITY_LOST
        # With no machine to wake, or no way to decide it, there is nothing to be checked.
        if not shortage or not resting or self.cluster.network.cuts or not is_decidable:
            self.short_since.pop(role, None)
            return
        self.check_awake_again(role, shortage, now)

    def check_new_rests(
        self, ledger: replica.Replica, resting: set[str], shortage: str, load: float, now: float
    ) -> None:
        """Check that a rest recorded since the last look leaves enough for any one further loss."""
        records = {(name, ledger.version(rest_key(name))) for name in resting}
        new = records - self.seen
        self.seen |= records
        if new and now - self.lost_at > UNKNOWN_LOSS_SECONDS:
            rule = "a rest leaves enough for any one further loss"
            example = f"{sorted(new)} rest at {now:.2f}: {shortage} is not carried at {load:.1f}/s"
            self.checker.check(rule, not shortage, example)

    def check_awake_again(self, role: str, shortage: str, now: float) -> None:
        """Check that a shortage, which a loss has caused, does not last."""
        since = self.short_since.setdefault(role, max(now, self.lost_at))
        lasted = now - since
        self.longest[role] = max(self.longest.get(role, 0.0), lasted)
        rule = f"after a loss enough is awake again within {AWAKE_AGAIN_SECONDS:g} s"
        example = f"{role}: {shortage} at {now:.2f}, since {since:.2f}"
        self.checker.check(rule, lasted <= AWAKE_AGAIN_SECONDS, example)

    def has_stuck_disk(self, name: str) -> bool:
        """Return whether a node's disk is full or stalled."""
        node = self.cluster.nodes.get(name)
        return node is not None and (node.disk.full or node.disk.stalled)

    def reaches_core(self, node: simulated_node.SimulatedNode, voters: list[quorum.Voter]) -> bool:
        """Return whether a node reaches a majority of running voters; otherwise it counts as lost."""
        reached = sum(
            self.is_running(voter.name) and not self.cluster.network.is_cut(node.placement.host, voter.host)
            for voter in voters
        )
        return 2 * reached > len(voters)

    def is_running(self, name: str) -> bool:
        """Return whether a node exists and is up."""
        node = self.cluster.nodes.get(name)
        return node is not None and node.is_up

    def core_shortage(self, ledger: replica.Replica) -> str:
        """Return what the core lacks: a majority, or enough for one further loss; empty: nothing."""
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = [voter for voter in voters if voter.name in self.up]
        # A voter whose disk is full or stalled answers reads, but decides nothing.
        able = {voter.disk_id for voter in up if not self.has_stuck_disk(voter.name)}
        if not quorum.is_durable(voters, able):
            return MAJORITY_LOST
        names = {voter.name for voter in up}
        return "" if standby_planning.voters_survive_any_loss(quorum.placements(voters), names) else "core"


def newest(replicas: typing.Iterable[replica.Replica]) -> replica.Replica:
    """Return the replica with the highest applied version."""
    return max(replicas, key=lambda copy: copy.applied)


def rest_key(machine: str) -> str:
    """Return the key of a machine's rest in the state table."""
    return f"rest/{machine}"


def as_machine(
    node: simulated_node.SimulatedNode, role: str, configuration: replica.Replica
) -> standby_planning.Machine:
    """Return an awake node as the planning sees it, with its configured capacity."""
    place = node.placement
    row = configuration.value(f"shield/{place.machine}") or {}
    capacity = row.get("limit", fleet_view.DEFAULT_CAPACITY_BY_ROLE[role])
    return standby_planning.Machine(place.machine, place.site, capacity, pinned=False)
