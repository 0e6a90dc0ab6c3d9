"""What operators read over HTTP: rows, items, decisions, voters, members, machines.

Reads of control state are linearizable: a majority confirms the tables after the read came in, or the read is
refused with status 503.
"""

import typing

import sanic.request
import sanic.response

from irisstand import drain_guard, node_context, web
from irisstand.controlplane.changes import amendment, change_status
from irisstand.controlplane.consensus import heartbeat, voter_administration
from irisstand.controlplane.singletons import capacity_scaling
from irisstand.membership import updates
from irisstand.state import items
from irisstand.validation import schema

SECONDS_PER_HOUR = 3600


class MachineStatus(typing.NamedTuple):
    """What operators read of a machine.

    Attributes:
        site: The machine's site.
        nodes: The names and states of its nodes.
        why: Why it is awake or on standby.
        rests: Whether it is on standby.
        evacuated: Whether its site is evacuated.
        hours_saved: For how long it was on standby.
    """

    site: str
    nodes: list[str]
    why: str
    rests: bool
    evacuated: bool
    hours_saved: float


class OperatorReads:
    """The routes by which operators read.

    Attributes:
        context: The node that answers.
        voters: What is known of the voters.
        read_index: Confirms tables before they are read.
        changes: What became of changes.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        members: voter_administration.VoterAdministration,
        read_index: heartbeat.ReadIndex,
        server: web.HttpServer,
    ) -> None:
        self.context = context
        self.voters = members
        self.read_index = read_index
        self.changes = change_status.ChangeStatus(context)
        add = server.app.add_route
        add(self.get_rows, "/rows", methods=["GET"])
        add(self.get_items, "/items", methods=["GET"])
        add(self.get_change, "/changes/<change>", methods=["GET"])
        add(self.get_voters, "/voters", methods=["GET"])
        add(self.get_members, "/members", methods=["GET"])
        add(self.get_machines, "/machines", methods=["GET"])
        add(self.get_ledger, "/ledger", methods=["GET"])

    async def confirm_current(self, *tables: str) -> None:
        """Wait until the tables are known to be current, or until the end of a drain.

        Raises:
            irisstand.errors.StaleConfigurationError: They could not be confirmed in time.
            irisstand.errors.DrainingError: This node is shutting down.
        """
        with self.context.drain_guard.fail_at_end(lambda: drain_guard.WorkState.WITHDRAWABLE):
            await self.read_index.confirm(*tables)

    async def get_rows(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return every configuration row in force with its version."""
        await self.confirm_current(items.CONFIGURATION)
        configuration = self.context.configuration
        rows = []
        for kind in schema.REGISTRY:
            for item in configuration.items_with_prefix(kind + "/"):
                name = item.key.removeprefix(kind + "/")
                rows.append({"kind": kind, "name": name, "serial": str(item.version), "value": item.value})
        return web.json_response({"tip": str(configuration.applied), "rows": rows})

    async def get_items(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return all versioned items in force, laid out as an amendment that would put them."""
        await self.confirm_current(items.CONFIGURATION)
        return web.json_response(amendment.as_amendment(self.context.configuration))

    async def get_change(self, request: sanic.request.Request, change: str) -> sanic.response.HTTPResponse:
        """Return what became of a change."""
        await self.confirm_current(items.CONFIGURATION, items.LEDGER)
        return web.json_response(await self.changes.show(change))

    async def get_voters(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return each table's voters and the spares."""
        await self.confirm_current(*items.TABLES)
        return web.json_response(await self.voters.describe())

    async def get_ledger(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return every row of the ledger with its version, without the records of changes."""
        await self.confirm_current(items.LEDGER)
        ledger = self.context.ledger
        rows = [
            {"key": item.key, "serial": str(item.version), "value": item.value}
            for item in ledger.items_with_prefix("")
            if not item.key.startswith("~change/")
        ]
        return web.json_response({"tip": str(ledger.applied), "rows": rows})

    async def get_members(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return all members as this node knows them, this node first."""
        detector = self.context.detector
        members = [detector.own_update(), *detector.member_list.all_updates()]
        return web.json_response({"members": [self.member_entry(update) for update in members]})

    def member_entry(self, update: updates.Update) -> dict[str, typing.Any]:
        """Return a member as operators read it."""
        state = "left" if update.has_left else update.state.name.lower()
        return {
            "name": update.identity.name,
            "life": update.identity.incarnation_id,
            "state": state,
            "incarnation": update.incarnation_number,
            **update.node_info._asdict(),
        }

    async def get_machines(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Return why each machine is on standby or not, and the hours that standby has saved."""
        await self.confirm_current(items.LEDGER)
        machines = {name: status._asdict() for name, status in self.machine_statuses().items()}
        saved = self.context.ledger.items_with_prefix(capacity_scaling.SAVINGS_PREFIX)
        hours = sum(item.value["seconds"] for item in saved) / SECONDS_PER_HOUR
        return web.json_response({"machines": machines, "machine_hours_saved": round(hours, 2)})

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """Return the status of each machine that has a member, by name."""
        detector = self.context.detector
        sites: dict[str, str] = {}
        nodes: dict[str, list[str]] = {}
        for update in [detector.own_update(), *detector.member_list.members.values()]:
            machine = update.node_info.machine
            sites.setdefault(machine, update.node_info.site)
            nodes.setdefault(machine, []).append(f"{update.identity.name} {update.state.name.lower()}")
        return {name: self.machine_status(name, site, nodes[name]) for name, site in sites.items()}

    def machine_status(self, name: str, site: str, nodes: list[str]) -> MachineStatus:
        """Return the status of one machine."""
        ledger = self.context.ledger
        reasons = (ledger.value(capacity_scaling.REASONS_KEY) or {"why": {}})["why"]
        saved = ledger.value(f"{capacity_scaling.SAVINGS_PREFIX}{name}") or {"seconds": 0}
        return MachineStatus(
            site,
            nodes,
            reasons.get(name, ""),
            self.context.is_standby(name),
            self.context.is_evacuated(site),
            round(saved["seconds"] / SECONDS_PER_HOUR, 2),
        )
