"""The replicas of the tables on one node, and whether they are current enough (docs/architecture.md)."""

import typing

from irisstand import clocks, errors, node_settings
from irisstand.state import items, replica
from irisstand.state.replication import status_messages

CONTROL_PLANE_ROLE = "agency"


class NodeTables:
    """Holds the replicas of a node, by table name, and decides whether they may be used.

    Attributes:
        replicas: The replicas by table name: all tables on the control plane, on the data plane the tables
            that are replicated to it.
        quorum_lost_as_of: By table name, the last time at which a majority of the voters was found unable to
            confirm changes; seconds of the node's clock.
    """

    def __init__(self, settings: node_settings.Settings, role: str, clock: clocks.Clock) -> None:
        self.settings = settings
        self.role = role
        self.clock = clock
        self.started_at = clock.now()
        tables = items.TABLES if role == CONTROL_PLANE_ROLE else items.REPLICATED_TABLES
        self.replicas = {table: replica.Replica(table) for table in tables}
        self.quorum_lost_as_of: dict[str, float] = {}

    @property
    def configuration(self) -> replica.Replica:
        """The replica of the configuration, the table that operators change."""
        return self.replicas[items.CONFIGURATION]

    @property
    def ledger(self) -> replica.Replica:
        """The replica of the ledger, the table in which the control plane records its own state."""
        return self.replicas[items.LEDGER]

    def is_fresh(self, table: replica.Replica) -> bool:
        """Return whether a replica was confirmed within the freshness bound, and after this process started.

        Confirmations from before the start do not count: otherwise a node that was killed and restarted
        could serve from an older version than it did before.
        """
        age = table.age(self.clock.now())
        if age is None or table.current_as_of is None or table.current_as_of < self.started_at:
            return False
        return age <= self.settings.freshness_bound

    def is_quorum_lost(self, table: replica.Replica) -> bool:
        """Return whether, within the freshness bound, most voters of a table were found unable to confirm."""
        as_of = self.quorum_lost_as_of.get(table.name)
        return as_of is not None and self.clock.now() - as_of <= self.settings.freshness_bound

    def is_current(self, table: replica.Replica) -> bool:
        """Return whether a replica is current enough to serve requests from it.

        A fresh replica is current. On the data plane, an older replica counts as current while the quorum is
        lost, up to the sum of the settings `freshness_bound` and `outage_bound`.
        """
        if self.is_fresh(table):
            return True
        # The control plane never serves a replica that is not confirmed, however recent the replica is.
        if self.role == CONTROL_PLANE_ROLE:
            return False
        age = table.age(self.clock.now())
        longest = self.settings.freshness_bound + self.settings.outage_bound
        return self.is_quorum_lost(table) and age is not None and age <= longest

    def check_current(self) -> None:
        """Raise StaleConfigurationError if any replica of this node is not current."""
        for table in self.replicas.values():
            if not self.is_current(table):
                message = f"this node's replica of the {table.name} table is not known to be current"
                raise errors.StaleConfigurationError(message)

    def is_evacuated(self, site: str) -> bool:
        """Return whether a site is evacuated by an operator's order."""
        return self.ledger.value(f"evacuated/{site}") is not None

    def is_standby(self, machine: str) -> bool:
        """Return whether a machine is on standby, so that it is sent no requests."""
        return self.ledger.value(f"rest/{machine}") is not None

    async def on_applied_versions(self, _sender: str, _body: typing.Any) -> tuple[typing.Any, ...]:
        """Reply to a peer with the applied version of each replica and whether the replica is current."""
        tables = self.replicas.values()
        statuses = [self.status_of(table) for table in tables]
        return tuple(status.to_wire() for status in statuses)

    def status_of(self, table: replica.Replica) -> status_messages.TableStatus:
        """Return the applied version of a replica and whether the replica is current."""
        return status_messages.TableStatus(table.name, table.applied, self.is_current(table))
