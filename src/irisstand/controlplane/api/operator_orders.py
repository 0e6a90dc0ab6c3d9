"""HTTP routes by which operators submit changes, amendments, purges, evacuations and changes of voters."""

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
    """The HTTP routes by which operators submit orders.

    Attributes:
        context: The state and services of the node that responds.
        submitter: Submits orders to the proposers.
        voters: Replaces and retires voters.
        evacuation: Checks evacuations before they are submitted.
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
        """Return a new change id for a request that has none; the response contains it."""
        return f"{self.context.settings.name}.{self.context.randomness.getrandbits(64):016x}"

    async def submit(
        self,
        kind: orders.OrderKind,
        change: str,
        payload: typing.Any,
        notes: collections.abc.Sequence[str] = (),
    ) -> sanic.response.HTTPResponse:
        """Submit an order, wait for its decision, and respond with its result.

        Args:
            kind: The kind of the order.
            change: The change id, empty if the order has none.
            payload: The arguments of the order.
            notes: Remarks for the operator that the response contains.

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
        """Write rows of the configuration, either all of them or none."""
        content = request_bodies.read_object(request.body)
        rows = operator_calls.changed_rows(content)
        change = operator_calls.change_id(content) or self.new_change_id()
        return await self.submit(orders.OrderKind.CHANGE, change, rows)

    async def post_purge(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Purge cached objects by paths and tags.

        A purge of a single object or tag gets no change id, as repeating it has the same effect.
        """
        content = request_bodies.read_object(request.body)
        if operator_calls.is_single_purge(content):
            target = operator_calls.single_purge(content)
            return await self.submit(orders.OrderKind.PURGE, "", [tuple(target)])
        targets = operator_calls.purges(content)
        change = operator_calls.change_id(content) or self.new_change_id()
        return await self.submit(orders.OrderKind.PURGE, change, [tuple(target) for target in targets])

    async def put_evacuation(self, request: sanic.request.Request, site: str) -> sanic.response.HTTPResponse:
        """Evacuate a site, or end its evacuation (DELETE).

        If the settings evacuate only origins, the site's machines keep their work. The order then needs no
        capacity check and no change id, as repeating it has the same effect.
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
        """Put and drop versioned items; their versions identify repeats, so no change id is needed."""
        entries = amendment.parse_amendment(request.body)
        return await self.submit(orders.OrderKind.AMEND, "", [entry.to_wire() for entry in entries])

    async def put_voter(self, request: sanic.request.Request, name: str) -> sanic.response.HTTPResponse:
        """Make a spare a voter in place of the voter that the body names, or retire a voter (DELETE)."""
        self.context.check_current()
        if request.method == "DELETE":
            return web.json_response(await self.voters.retire(name))
        replaced = operator_calls.replaced_voter(request_bodies.read_object(request.body))
        return web.json_response(await self.voters.replace(replaced, name))
