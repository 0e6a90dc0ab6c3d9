"""What operators read over HTTP: rows, items, decisions, voters, members, machines.

Reads of control state are linearizable: a majority confirms the tables after the read came in, or it is
put off with 503.
"""

import typing

import sanic.request
import sanic.response

from irisstand import node_context, web
from irisstand.controlplane.changes import amendment, change_status
from irisstand.controlplane.consensus import heartbeat, voter_administration
from irisstand.membership import updates
from irisstand.state import items
from irisstand.validation import schema


class OperatorReads:
    def __init__(
        self,
        context: node_context.NodeContext,
        members: voter_administration.VoterAdministration,
        read_index: heartbeat.ReadIndex,
        server: web.HttpServer,
    ) -> None:
        self.context, self.voters, self.read_index = context, members, read_index
        self.changes = change_status.ChangeStatus(context)
        add = server.app.add_route
        add(self.get_rows, "/rows", methods=["GET"])
        add(self.get_items, "/items", methods=["GET"])
        add(self.get_change, "/changes/<change>", methods=["GET"])
        add(self.get_voters, "/voters", methods=["GET"])
        add(self.get_members, "/members", methods=["GET"])
        add(self.get_machines, "/machines", methods=["GET"])
        add(self.get_ledger, "/ledger", methods=["GET"])

    async def get_rows(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Every row in force with its version; a table that may be old is not shown as the table."""
        await self.read_index.confirm(items.CONFIGURATION)
        copy = self.context.configuration
        rows = []
        for kind in schema.REGISTRY:
            for item in copy.items_with_prefix(kind + "/"):
                name = item.key.removeprefix(kind + "/")
                rows.append({"kind": kind, "name": name, "serial": str(item.version), "value": item.value})
        return web.json_response({"tip": str(copy.applied), "rows": rows})

    async def get_items(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """All versioned items that stand, laid out as an amendment that would put them."""
        await self.read_index.confirm(items.CONFIGURATION)
        return web.json_response(amendment.as_amendment(self.context.configuration))

    async def get_change(self, request: sanic.request.Request, change: str) -> sanic.response.HTTPResponse:
        await self.read_index.confirm(items.CONFIGURATION, items.LEDGER)
        return web.json_response(await self.changes.show(change))

    async def get_voters(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        await self.read_index.confirm(*items.TABLES)
        return web.json_response(await self.voters.describe())

    async def get_ledger(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        await self.read_index.confirm(items.LEDGER)
        copy = self.context.ledger
        rows = [
            {"key": item.key, "serial": str(item.version), "value": item.value}
            for item in copy.items_with_prefix("")
            if not item.key.startswith("~change/")
        ]
        return web.json_response({"tip": str(copy.applied), "rows": rows})

    async def get_members(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        detector = self.context.detector
        everybody = [detector.own_update(), *detector.member_list.all_updates()]
        return web.json_response({"members": [self.member(update) for update in everybody]})

    def member(self, update: updates.Update) -> dict[str, typing.Any]:
        state = "left" if update.has_left else update.state.name.lower()
        return {
            "name": update.identity.name,
            "life": update.identity.incarnation_id,
            "state": state,
            "incarnation": update.incarnation_number,
            **update.node_info._asdict(),
        }

    async def get_machines(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Why each machine rests or does not, and the hours that rest has saved."""
        await self.read_index.confirm(items.LEDGER)
        ledger = self.context.ledger
        why = (ledger.value("staffing") or {"why": {}})["why"]
        machines = {}
        for update in [
            self.context.detector.own_update(),
            *self.context.detector.member_list.members.values(),
        ]:
            entry = machines.setdefault(
                update.node_info.machine, {"site": update.node_info.site, "nodes": [], "why": ""}
            )
            entry["nodes"].append(f"{update.identity.name} {update.state.name.lower()}")
        for name, entry in machines.items():
            entry["rests"] = self.context.is_standby(name)
            entry["why"] = why.get(name, "")
            entry["evacuated"] = self.context.is_evacuated(entry["site"])
            saved = ledger.value(f"saved/{name}") or {"seconds": 0}
            entry["hours_saved"] = round(saved["seconds"] / 3600, 2)
        total = sum(item.value["seconds"] for item in ledger.items_with_prefix("saved/")) / 3600
        return web.json_response({"machines": machines, "machine_hours_saved": round(total, 2)})
