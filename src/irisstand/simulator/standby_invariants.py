"""Who rests, judged by the true state of the world and not by what any node believes of it."""

import typing

from irisstand.balancing import standby_planning
from irisstand.controlplane.singletons import fleet_view
from irisstand.state import items, quorum

# A loss younger than this cannot be known yet to whoever records a rest: asking and deciding take that long.
UNKNOWN = 1.5
# After a loss enough is awake again within this time; the most that was seen stands in the measurements.
AWAKE_AGAIN = 5.0


class StandbyInvariants:
    def __init__(self, world: typing.Any) -> None:
        self.cluster, self.checker = world, world.actors.checker
        self.recorded: set[tuple] = set()
        self.up: set[str] = set()
        self.lost_at = -1e9
        self.short_since: dict[str, float] = {}
        self.longest: dict[str, float] = {}

    def look(self, now: float) -> None:
        contexts = [node.program.context for node in self.cluster.nodes.values() if node.program is not None]
        ledger = max((context.ledger for context in contexts), key=lambda copy: copy.applied)
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = {
            n.placement.name for n in self.cluster.nodes.values() if n.is_up and self.reaches_core(n, voters)
        }
        # Whatever was there at the last look and is not now was lost since.
        if self.up - up:
            self.lost_at = now
        self.up = up
        # While nothing can be decided, nobody can be told to do anything else.
        if self.core_is_short(ledger) == "majority":
            self.cluster.actors.platform_outages.append((now - 0.05, now))
        for role in fleet_view.DEFAULT_CAPACITY_BY_ROLE:
            self.look_at(role, ledger, contexts, now)

    def look_at(self, role: str, ledger: typing.Any, contexts: list, now: float) -> None:
        configuration = max((context.configuration for context in contexts), key=lambda copy: copy.applied)
        nodes = [node for node in self.cluster.with_role(role) if node.placement.name in self.up]
        nodes = [n for n in nodes if ledger.value(f"evacuated/{n.placement.site}") is None]
        resting = {
            n.placement.machine for n in nodes if ledger.value(f"rest/{n.placement.machine}") is not None
        }
        awake = []
        for node in nodes:
            if node.placement.machine not in resting:
                row = configuration.value(f"shield/{node.placement.machine}") or {}
                limit = row.get("limit", fleet_view.DEFAULT_CAPACITY_BY_ROLE[role])
                awake.append(
                    standby_planning.Machine(node.placement.machine, node.placement.site, limit, False)
                )
        load = sum(node.program.context.load_gauge.per_second() for node in nodes)
        short = standby_planning.uncovered_loss(awake, load)
        # By the row itself: a machine that comes back may find an older rest of its own still recorded.
        recorded = {(name, ledger.version(f"rest/{name}")) for name in resting}
        fresh = recorded - self.recorded
        self.recorded |= recorded
        if fresh and now - self.lost_at > UNKNOWN:
            rule = "a rest leaves enough for any one further loss"
            core = self.core_is_short(ledger)
            example = f"{sorted(fresh)} rest at {now:.2f}: {short or core} is not carried at {load:.1f}/s"
            self.checker.check(rule, not short and not core, example)
        # With nobody to wake, or nobody who could decide it, there is nothing to be judged.
        if not short or not resting or self.cluster.network.cuts or self.core_is_short(ledger) == "majority":
            self.short_since.pop(role, None)
            return
        since = self.short_since.setdefault(role, max(now, self.lost_at))
        self.longest[role] = max(self.longest.get(role, 0.0), now - since)
        rule = f"after a loss enough is awake again within {AWAKE_AGAIN:g} s"
        self.checker.check(
            rule, now - since <= AWAKE_AGAIN, f"{role}: {short} at {now:.2f}, since {since:.2f}"
        )

    def is_stuck(self, name: str) -> bool:
        node = self.cluster.nodes.get(name)
        return node is not None and (node.disk.full or node.disk.stalled)

    def reaches_core(self, node: typing.Any, voters: list) -> bool:
        """On the side of a cut where a majority runs and can decide; the other side counts as lost."""
        reached = sum(
            self.runs(voter.name) and not self.cluster.network.is_cut(node.placement.host, voter.host)
            for voter in voters
        )
        return 2 * reached > len(voters)

    def runs(self, name: str) -> bool:
        node = self.cluster.nodes.get(name)
        return node is not None and node.is_up

    def core_is_short(self, ledger: typing.Any) -> str:
        voters = quorum.voters_from_wire(ledger.value(items.VOTERS_KEY))
        up = [voter for voter in voters if voter.name in self.up]
        # A full or stalled disk answers questions, but decides nothing.
        able = [voter for voter in up if not self.is_stuck(voter.name)]
        if not quorum.is_durable(voters, {voter.disk_id for voter in able}):
            return "majority"
        carried = standby_planning.core_survives_any_loss(
            quorum.placements(voters), {voter.name for voter in up}
        )
        return "" if carried else "core"
