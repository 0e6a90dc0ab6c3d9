"""What operators order over HTTP: changes, amendments, purges, evacuations, voters."""

import collections.abc
import typing

import sanic.request
import sanic.response

from irisstand import errors, node_context, web
from irisstand.controlplane.api import operator_calls, request_bodies
from irisstand.controlplane.changes import amendment, evacuation_check, orders
from irisstand.controlplane.consensus import submitter, voter_administration

UNKNOWN_OUTCOME_HEADERS = {"Retry-After": "1"}


class OperatorOrders:
    """The routes by which operators order changes.

    Attributes:
        context: The node that answers.
        submitter: Where orders are sent.
        voters: Changes of the voters.
        evacuation: Checks of evacuations.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        order_submitter: submitter.Submitter,
        voter_admin: voter_administration.VoterAdministration,
        server: web.HttpServer,
    ) -> None:
        self.context = context
        self.submitter = order_submitter
        self.voters = voter_admin
        self.evacuation = evacuation_check.EvacuationCheck(context)
        add = server.app.add_route
        add(self.post_amendment, "/amendments", methods=["POST"])
        add(self.post_change, "/changes", methods=["POST"])
        add(self.put_voter, "/voters/<name>", methods=["PUT", "DELETE"])
        add(self.post_purge, "/purges", methods=["POST"])
        add(self.put_evacuation, "/sites/<site>/evacuation", methods=["PUT", "DELETE"])

    def new_change_id(self) -> str:
        """Return an id for a change whose sender gave none; the result names it."""
        return f"{self.context.settings.name}.{self.context.randomness.getrandbits(64):016x}"

    async def submit(
        self,
        kind: orders.OrderKind,
        change: str,
        payload: typing.Any,
        notes: collections.abc.Sequence[str] = (),
    ) -> sanic.response.HTTPResponse:
        """Have an order decided, and return its result with notes for the operator.

        Raises:
            DrainingError: This node is shutting down.
            IrisError: The order was refused.
        """
        if self.context.is_draining:
            raise errors.DrainingError("this node is shutting down")
        order = orders.Order(kind.value, change, payload)
        try:
            result = await self.submitter.submit_for_operator(order)
        except errors.ChangeOutcomeUnknownError as error:
            content = {**error.to_json(), "change": change}
            return web.json_response(content, error.status, UNKNOWN_OUTCOME_HEADERS)
        content = {"change": change, "confirmed": True, **result}
        if notes:
            content["notes"] = list(notes)
        return web.json_response(content)

    async def post_change(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Write rows of the configuration, all or none."""
        content = request_bodies.read_object(request.body)
        rows = operator_calls.changed_rows(content)
        change = operator_calls.change_id(content) or self.new_change_id()
        return await self.submit(orders.OrderKind.CHANGE, change, rows)

    async def post_purge(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Purge paths and tags.

        One object or tag by itself needs no id: a purge of it again is the same purge.
        """
        content = request_bodies.read_object(request.body)
        if operator_calls.is_single_purge(content):
            target = operator_calls.single_purge(content)
            return await self.submit(orders.OrderKind.PURGE, "", [tuple(target)])
        targets = operator_calls.purges(content)
        change = operator_calls.change_id(content) or self.new_change_id()
        return await self.submit(orders.OrderKind.PURGE, change, [tuple(target) for target in targets])

    async def put_evacuation(self, request: sanic.request.Request, site: str) -> sanic.response.HTTPResponse:
        """Take work away from a site, or give it back (DELETE).

        Where only origins are evacuated, the machines carry on, and an order again is the same order.
        """
        await self.evacuation.check_site(site)
        only_origins = self.context.settings.evacuates == "origins"
        change = "" if only_origins else self.new_change_id()
        if request.method == "DELETE":
            return await self.submit(orders.OrderKind.RETURN, change, site)
        notes: list[str] = []
        if not only_origins:
            insist = request.args.get("insist") == "true"
            notes = await self.evacuation.check_unless_evacuated(site, insist=insist)
        return await self.submit(orders.OrderKind.EVACUATE, change, site, notes)

    async def post_amendment(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Put and drop items that have their senders' versions: these tell whether a call came before."""
        entries = amendment.parse_amendment(request.body)
        return await self.submit(orders.OrderKind.AMEND, "", [entry.to_wire() for entry in entries])

    async def put_voter(self, request: sanic.request.Request, name: str) -> sanic.response.HTTPResponse:
        """Vote a spare in for the voter that the body names; DELETE retires a voter without another."""
        self.context.check_current()
        if request.method == "DELETE":
            return web.json_response(await self.voters.retire(name))
        replaced = operator_calls.replaced_voter(request_bodies.read_object(request.body))
        return web.json_response(await self.voters.replace(replaced, name))
