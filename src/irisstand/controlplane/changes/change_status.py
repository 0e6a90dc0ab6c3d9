"""What became of a change: its rows, their versions, what superseded them, and who has it in force."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.controlplane.changes import table_time
from irisstand.membership import updates
from irisstand.state import items, versions

CALL_TIMEOUT_SECONDS = 0.6


class ChangeStatus:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def show(self, change: str) -> dict[str, typing.Any]:
        for table in (items.CONFIGURATION, items.LEDGER):
            copy = self.context.replicas[table]
            record = copy.items.get(f"~change/{change}")
            if record is not None and record.value is not None:
                rows = [self.row(copy, key, record.version) for key in record.value["rows"]]
                return {
                    "change": change,
                    "table": table,
                    "serial": str(record.version),
                    "rows": rows,
                    "seconds_ago": self.seconds_ago(copy, record.version),
                    "nodes": await self.nodes(table, record.version),
                }
        raise errors.UnknownNameError(
            f"no change {change!r} is known here",
            "use the id that the result of the change named; ids are known for a day. If its outcome was "
            "unknown, send the change again under the same id",
        )

    def row(self, copy: typing.Any, key: str, version: versions.Version) -> dict[str, typing.Any]:
        """In force as long as the row still bears the change's own version."""
        now = copy.version(key)
        found: dict[str, typing.Any] = {"row": key, "in_force": now == version}
        if now != version:
            found["superseded_by"] = str(now) if now != versions.NONE else "a removal long ago"
            found["superseded_seconds_ago"] = self.seconds_ago(copy, now)
        return found

    def seconds_ago(self, copy: typing.Any, version: versions.Version) -> float:
        """At the least, by the table's own time, which stands still while nobody keeps it."""
        return round(table_time.TableTime(copy.value(items.TABLE_TIME_KEY)).stood(version), 1)

    async def nodes(self, table: str, version: versions.Version) -> dict[str, str]:
        """Asked now of every member: in force, behind, stale (it answers nobody by its table), or silent."""
        members = list(self.context.detector.member_list.members.values())
        told = await asyncio.gather(*(self.ask(update) for update in members))
        own = await self.context.on_applied_versions("", [])
        found = {self.context.settings.name: self.state(own, table, version)}
        for update, applied_versions in zip(members, told, strict=True):
            found[update.identity.name] = (
                "silent" if applied_versions is None else self.state(applied_versions, table, version)
            )
        return dict(sorted(found.items()))

    async def ask(self, update: updates.Update) -> tuple | None:
        try:
            return await self.context.transport.call(
                update.node_info.address, update.identity.name, "tips", (), CALL_TIMEOUT_SECONDS
            )
        except errors.IrisError:
            return None

    def state(self, applied_versions: typing.Iterable, table: str, version: versions.Version) -> str:
        for name, applied, is_current in applied_versions:
            if name == table:
                if versions.Version.from_wire(applied) < version:
                    return "behind"
                return "in force" if is_current else "stale"
        return "silent"
