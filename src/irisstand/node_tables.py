"""The replicas of one node, and whether work may rely on them (docs/architecture.md)."""

import typing

from irisstand import clocks, errors, node_settings
from irisstand.state import items, replica
from irisstand.state.replication import status_messages

CONTROL_PLANE_ROLE = "agency"


class NodeTables:
    """The replicas of the state tables that a node holds, by name of the table.

    Attributes:
        replicas: The replicas; the control plane holds all tables, the data plane those that it works by.
        quorum_lost_as_of: By table, the last moment at which most of its voters were found unable to confirm
            anything.
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
        """The replica of the operators' table."""
        return self.replicas[items.CONFIGURATION]

    @property
    def ledger(self) -> replica.Replica:
        """The replica of the table that the control plane itself writes."""
        return self.replicas[items.LEDGER]

    def is_fresh(self, table: replica.Replica) -> bool:
        """Return whether a replica was confirmed within the freshness bound, and since the process started.

        A node that was killed and started again might else serve by an older table than it did before.
        """
        age = table.age(self.clock.now())
        if age is None or table.current_as_of is None or table.current_as_of < self.started_at:
            return False
        return age <= self.settings.freshness_bound

    def is_quorum_lost(self, table: replica.Replica) -> bool:
        """Return whether the voters were found unable to confirm anything within the freshness bound."""
        as_of = self.quorum_lost_as_of.get(table.name)
        return as_of is not None and self.clock.now() - as_of <= self.settings.freshness_bound

    def is_current(self, table: replica.Replica) -> bool:
        """Return whether work may rely on a replica.

        It may if the replica is fresh; on the data plane also if it is older while the quorum is lost, as far
        as the settings allow that.
        """
        if self.is_fresh(table):
            return True
        # Control state is never handed out by its age alone.
        if self.role == CONTROL_PLANE_ROLE:
            return False
        age = table.age(self.clock.now())
        longest = self.settings.freshness_bound + self.settings.outage_bound
        return self.is_quorum_lost(table) and age is not None and age <= longest

    def check_current(self) -> None:
        """Raise StaleConfigurationError if work may not rely on one of the replicas."""
        for table in self.replicas.values():
            if not self.is_current(table):
                message = f"the {table.name} table is not known to be current here"
                raise errors.StaleConfigurationError(message)

    def is_evacuated(self, site: str) -> bool:
        """Return whether operators have evacuated a site."""
        return self.ledger.value(f"evacuated/{site}") is not None

    def is_standby(self, machine: str) -> bool:
        """Return whether a machine is on standby, which means that it gets no work."""
        return self.ledger.value(f"rest/{machine}") is not None

    async def on_applied_versions(self, _sender: str, _body: typing.Any) -> tuple[typing.Any, ...]:
        """Answer with the applied version of each table, and whether this node relies on it now."""
        tables = self.replicas.values()
        statuses = [self.status_of(table) for table in tables]
        return tuple(status.to_wire() for status in statuses)

    def status_of(self, table: replica.Replica) -> status_messages.TableStatus:
        """Return the applied version of a table, and whether this node relies on it now."""
        return status_messages.TableStatus(table.name, table.applied, self.is_current(table))
