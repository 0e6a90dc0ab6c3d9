"""What became of a change: its rows, their serials, what superseded them, and who has it in force."""

import asyncio
import typing

from irisstand import blackboard, errors
from irisstand.agency import tabletime
from irisstand.ledger import items, serials
from irisstand.rollcall import updates

PATIENCE = 0.6


class Changes:
    def __init__(self, board: blackboard.Board) -> None:
        self.board = board

    async def show(self, change: str) -> dict[str, typing.Any]:
        for table in (items.BLUEPRINT, items.LEDGER):
            copy = self.board.copies[table]
            record = copy.items.get(f"~change/{change}")
            if record is not None and record.value is not None:
                rows = [self.row(copy, key, record.serial) for key in record.value["rows"]]
                return {
                    "change": change, "table": table, "serial": str(record.serial), "rows": rows,
                    "seconds_ago": self.seconds_ago(copy, record.serial),
                    "nodes": await self.nodes(table, record.serial),
                }  # fmt: skip
        raise errors.Unknown(
            f"no change {change!r} is known here",
            "use the id that the result of the change named; ids are known for a day. If its outcome was "
            "unknown, send the change again under the same id",
        )

    def row(self, copy: typing.Any, key: str, serial: serials.Serial) -> dict[str, typing.Any]:
        """In force as long as the row still bears the change's own serial."""
        now = copy.serial(key)
        found: dict[str, typing.Any] = {"row": key, "in_force": now == serial}
        if now != serial:
            found["superseded_by"] = str(now) if now != serials.NONE else "a removal long ago"
            found["superseded_seconds_ago"] = self.seconds_ago(copy, now)
        return found

    def seconds_ago(self, copy: typing.Any, serial: serials.Serial) -> float:
        """At the least, by the table's own time, which stands still while nobody keeps it."""
        return round(tabletime.Time(copy.value(items.TIME)).stood(serial), 1)

    async def nodes(self, table: str, serial: serials.Serial) -> dict[str, str]:
        """Asked now of every member: in force, behind, stale (it answers nobody by its table), or silent."""
        members = list(self.board.detector.roster.members.values())
        told = await asyncio.gather(*(self.ask(update) for update in members))
        own = await self.board.on_tips("", [])
        found = {self.board.boot.name: self.state(own, table, serial)}
        for update, tips in zip(members, told, strict=True):
            found[update.identity.name] = "silent" if tips is None else self.state(tips, table, serial)
        return dict(sorted(found.items()))

    async def ask(self, update: updates.Update) -> tuple | None:
        try:
            return await self.board.postroom.ask(
                update.card.address, update.identity.name, "tips", (), PATIENCE
            )
        except errors.IrisError:
            return None

    def state(self, tips: typing.Iterable, table: str, serial: serials.Serial) -> str:
        for name, tip, is_current in tips:
            if name == table:
                if serials.decode(tip) < serial:
                    return "behind"
                return "in force" if is_current else "stale"
        return "silent"
