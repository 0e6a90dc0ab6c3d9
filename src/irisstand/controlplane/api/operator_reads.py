"""HTTP routes by which operators read rows, items, the ledger, changes, voters, members and machines.

Reads of replicated tables are linearizable: a majority of the voters confirms the tables after the request
arrived, or the request is refused with status 503.
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
    """The status of a machine as operators read it; the field names are the keys of the JSON object.

    Attributes:
        site: The machine's site.
        nodes: The name and the membership state of each node on the machine.
        why: The reason why the machine is active or on standby.
        rests: Whether the machine is on standby.
        evacuated: Whether the machine's site is evacuated.
        hours_saved: The total time that the machine was on standby, in hours.
    """

    site: str
    nodes: list[str]
    why: str
    rests: bool
    evacuated: bool
    hours_saved: float


class OperatorReads:
    """The HTTP routes by which operators read the state of the control plane.

    Attributes:
        context: The state and services of the node that responds.
        voters: Describes the voters of each table.
        read_index: Confirms with a majority that tables are current before they are read.
        changes: Looks up the status of changes.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        voter_admin: voter_administration.VoterAdministration,
        read_index: heartbeat.ReadIndex,
        server: web.HttpServer,
    ) -> None:
        self.context = context
        self.voters = voter_admin
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
        """Wait until a majority has confirmed that this node's replicas of the tables are current.

        Raises:
            irisstand.errors.StaleConfigurationError: The tables could not be confirmed in time.
            irisstand.errors.DrainingError: This node's graceful shutdown ended before the confirmation.
        """
        with self.context.drain_guard.fail_at_end(lambda: drain_guard.WorkState.WITHDRAWABLE):
            await self.read_index.confirm(*tables)

    async def get_rows(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Respond with all configuration rows in force and their versions."""
        await self.confirm_current(items.CONFIGURATION)
        configuration = self.context.configuration
        rows = []
        for kind in schema.REGISTRY:
            for item in configuration.items_with_prefix(kind + "/"):
                name = item.key.removeprefix(kind + "/")
                rows.append({"kind": kind, "name": name, "serial": str(item.version), "value": item.value})
        return web.json_response({"tip": str(configuration.applied), "rows": rows})

    async def get_items(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Respond with all versioned items in force, in the form of an amendment that would put them."""
        await self.confirm_current(items.CONFIGURATION)
        return web.json_response(amendment.as_amendment(self.context.configuration))

    async def get_change(self, request: sanic.request.Request, change: str) -> sanic.response.HTTPResponse:
        """Respond with the status of the change with this id."""
        await self.confirm_current(items.CONFIGURATION, items.LEDGER)
        return web.json_response(await self.changes.show(change))

    async def get_voters(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Respond with the voters of each table and the spare control plane nodes."""
        await self.confirm_current(*items.TABLES)
        return web.json_response(await self.voters.describe())

    async def get_ledger(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Respond with all rows of the ledger and their versions, without the records of change ids."""
        await self.confirm_current(items.LEDGER)
        ledger = self.context.ledger
        rows = [
            {"key": item.key, "serial": str(item.version), "value": item.value}
            for item in ledger.items_with_prefix("")
            if not item.key.startswith("~change/")
        ]
        return web.json_response({"tip": str(ledger.applied), "rows": rows})

    async def get_members(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Respond with all members that this node knows, itself first."""
        detector = self.context.detector
        members = [detector.own_update(), *detector.member_list.all_updates()]
        return web.json_response({"members": [self.member_entry(update) for update in members]})

    def member_entry(self, update: updates.Update) -> dict[str, typing.Any]:
        """Return a member as the JSON object that operators read."""
        state = "left" if update.has_left else update.state.name.lower()
        return {
            "name": update.identity.name,
            "life": update.identity.incarnation_id,
            "state": state,
            "incarnation": update.incarnation_number,
            **update.node_info._asdict(),
        }

    async def get_machines(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Respond with the status of each machine, and the machine hours that standby has saved."""
        await self.confirm_current(items.LEDGER)
        machines = {name: status._asdict() for name, status in self.machine_statuses().items()}
        saved = self.context.ledger.items_with_prefix(capacity_scaling.SAVINGS_PREFIX)
        hours = sum(item.value["seconds"] for item in saved) / SECONDS_PER_HOUR
        return web.json_response({"machines": machines, "machine_hours_saved": round(hours, 2)})

    def machine_statuses(self) -> dict[str, MachineStatus]:
        """Return by name the status of each machine on which a member runs."""
        detector = self.context.detector
        sites: dict[str, str] = {}
        nodes: dict[str, list[str]] = {}
        for update in [detector.own_update(), *detector.member_list.members.values()]:
            machine = update.node_info.machine
            sites.setdefault(machine, update.node_info.site)
            nodes.setdefault(machine, []).append(f"{update.identity.name} {update.state.name.lower()}")
        return {name: self.machine_status(name, site, nodes[name]) for name, site in sites.items()}

    def machine_status(self, name: str, site: str, nodes: list[str]) -> MachineStatus:
        """Return the status of one machine, whose site and nodes come from the member list."""
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
