"""The status of a confirmed change: its rows, which versions superseded them, and which nodes applied it."""

import asyncio
import collections.abc
import enum
import typing

from irisstand import errors, node_context
from irisstand.controlplane.changes import table_time
from irisstand.membership import updates
from irisstand.state import items, replica, versions
from irisstand.state.replication import messages, status_messages

CALL_TIMEOUT_SECONDS = 0.6
# The tables whose changes are recorded under change ids that operators can look up.
TABLES_WITH_CHANGES = (items.CONFIGURATION, items.LEDGER)


class NodeState(enum.StrEnum):
    """Whether a node has applied a change; the values are the texts that operators read."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    # The node has applied the change but does not serve from its replica, as that may be out of date.
    STALE = "stale"
    SILENT = "silent"


class ChangeStatus:
    """Looks up changes by their ids, and asks all members whether they have applied them."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def show(self, change: str) -> dict[str, typing.Any]:
        """Return the status of a change as the JSON object that operators read.

        Raises:
            UnknownNameError: This node's tables have no record of a change with this id.
        """
        for table in TABLES_WITH_CHANGES:
            table_replica = self.context.replicas[table]
            record = table_replica.items.get(f"~change/{change}")
            if record is not None and record.value is not None:
                rows = [self.row_status(table_replica, key, record.version) for key in record.value["rows"]]
                return {
                    "change": change,
                    "table": table,
                    "serial": str(record.version),
                    "rows": rows,
                    "seconds_ago": self.seconds_ago(table_replica, record.version),
                    "nodes": await self.node_states(table, record.version),
                }
        raise errors.UnknownNameError(
            f"this node has no record of a change with the id {change!r}",
            "use the id that the result of the change named; ids are known for a day. If its outcome was "
            "unknown, send the change again under the same id",
        )

    def row_status(
        self, table: replica.Replica, key: str, version: versions.Version
    ) -> dict[str, typing.Any]:
        """Return whether a row still has its change's version, and if not, which version superseded it."""
        in_force = table.version(key)
        found: dict[str, typing.Any] = {"row": key, "in_force": in_force == version}
        if in_force != version:
            is_known = in_force != versions.NONE
            found["superseded_by"] = str(in_force) if is_known else "a removal long ago"
            found["superseded_seconds_ago"] = self.seconds_ago(table, in_force)
        return found

    def seconds_ago(self, table: replica.Replica, version: versions.Version) -> float:
        """Return a lower bound on how long ago a version was written, in seconds of the table's own time."""
        return round(table_time.TableTime(table.value(items.TABLE_TIME_KEY)).age_of(version), 1)

    async def node_states(self, table: str, version: versions.Version) -> dict[str, str]:
        """Ask all members for their applied versions; return each node's state for a version, by name."""
        members = list(self.context.detector.member_list.members.values())
        answers = await asyncio.gather(*(self.ask_applied_versions(member) for member in members))
        own = await self.context.on_applied_versions("", [])
        found = {self.context.settings.name: self.state_of(own, table, version)}
        for member, answer in zip(members, answers, strict=True):
            found[member.identity.name] = self.state_of(answer, table, version)
        return {name: str(state) for name, state in sorted(found.items())}

    async def ask_applied_versions(self, member: updates.Update) -> typing.Any:
        """Return a member's reply with its applied versions, not yet parsed; None if it does not reply."""
        try:
            return await self.context.transport.call(
                member.node_info.address,
                member.identity.name,
                messages.MessageKind.APPLIED_VERSIONS,
                (),
                CALL_TIMEOUT_SECONDS,
            )
        except errors.IrisError:
            return None

    def state_of(
        self, answer: collections.abc.Iterable[typing.Any] | None, table: str, version: versions.Version
    ) -> NodeState:
        """Return a node's state for a version of a table, from the applied versions in its reply."""
        for parts in answer or ():
            name, *_ = parts
            if name != table:
                continue
            report = status_messages.TableStatus.from_wire(parts)
            if report.applied < version:
                return NodeState.BEHIND
            return NodeState.IN_FORCE if report.is_current else NodeState.STALE
        return NodeState.SILENT
