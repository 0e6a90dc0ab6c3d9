"""What operators order over HTTP: changes, amendments, purges, evacuations, voters."""

import json
import re
import typing

import sanic.request
import sanic.response

from irisstand import errors, node_context, web
from irisstand.controlplane.api import request_bodies
from irisstand.controlplane.changes import amendment, evacuation_check, orders
from irisstand.controlplane.consensus import submitter as submitting
from irisstand.controlplane.consensus import voter_administration

CHANGE = re.compile(r"^[A-Za-z0-9._:-]{1,100}$")


class OperatorOrders:
    def __init__(
        self,
        context: node_context.NodeContext,
        submitter: submitting.Submitter,
        members: voter_administration.VoterAdministration,
        server: web.HttpServer,
    ) -> None:
        self.context, self.submitter, self.voters = context, submitter, members
        self.evacuation = evacuation_check.EvacuationCheck(context)
        add = server.app.add_route
        add(self.post_amendment, "/amendments", methods=["POST"])
        add(self.post_change, "/changes", methods=["POST"])
        add(self.put_voter, "/voters/<name>", methods=["PUT", "DELETE"])
        add(self.post_purge, "/purges", methods=["POST"])
        add(self.put_evacuation, "/sites/<site>/evacuation", methods=["PUT", "DELETE"])

    def body(self, request: sanic.request.Request) -> dict:
        return request_bodies.read_object(request.body)

    def change_id(self, content: dict) -> str:
        """The sender's id for the change, or a new one, which the result names."""
        given = content.get("change")
        if given is None:
            return f"{self.context.settings.name}.{self.context.randomness.getrandbits(64):016x}"
        if not isinstance(given, str) or not CHANGE.match(given):
            raise errors.BadRequestError("change is not an id", "use up to 100 letters, digits and ._:-")
        return given

    async def submit(self, kind: str, change: str, payload: typing.Any) -> sanic.response.HTTPResponse:
        if self.context.is_draining:
            raise errors.DrainingError("this node is shutting down")
        try:
            result = await self.submitter.submit_for_operator(orders.Order(kind, change, payload))
        except errors.ChangeOutcomeUnknownError as error:
            return web.json_response(
                {**error.to_json(), "change": change}, error.status, {"Retry-After": "1"}
            )
        return web.json_response({"change": change, "confirmed": True, **result})

    async def post_change(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        content = self.body(request)
        rows = content.get("rows")
        if not isinstance(rows, list) or not rows or not all(isinstance(row, dict) for row in rows):
            raise errors.BadRequestError("rows is not a list of objects", "send one object for each row")
        if len(rows) > 1000:
            raise errors.BadRequestError("over 1000 rows in one change", "send it in parts")
        faults = [
            {"row": place, "field": key, "message": "no such field; use kind, name, value and expected"}
            for place, row in enumerate(rows)
            for key in row
            if key not in ("kind", "name", "value", "expected")
        ]
        faults += [
            {"row": place, "field": "value", "message": "no value; give one, or null to remove the row"}
            for place, row in enumerate(rows)
            if "value" not in row
        ]
        if faults:
            raise errors.InvalidChangeError(faults)
        return await self.submit("change", self.change_id(content), rows)

    async def post_purge(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        content = self.body(request)
        # One object or tag by itself: a purge of it again is the same purge, and needs no id.
        if "tag" in content or "path" in content:
            return await self.submit("purge", "", [self.single_purge(content)])
        paths, tags = content.get("paths", []), content.get("tags", [])
        if not isinstance(paths, list) or not isinstance(tags, list):
            raise errors.BadRequestError("paths and tags are not lists", "send lists of words")
        named = [("path", path) for path in paths] + [("tag", tag) for tag in tags]
        if not named or len(named) > 1000:
            raise errors.BadRequestError("no path and no tag, or over 1000", "name what to purge, in parts")
        for kind, name in named:
            if not isinstance(name, str) or not 0 < len(name) <= 1024:
                raise errors.BadRequestError(f"{name!r} is not a {kind}", "send short words")
            if kind == "path" and not name.startswith("/"):
                raise errors.BadRequestError(f"path {name!r} does not begin with /", "send the whole path")
        return await self.submit("purge", self.change_id(content), named)

    def single_purge(self, content: dict) -> tuple[str, str]:
        """{"tag": TAG}, or {"host": HOST, "path": PATH} for what that host serves there."""
        tag, host, path = content.get("tag"), content.get("host", ""), content.get("path")
        if isinstance(tag, str) and 0 < len(tag) <= 1024 and path is None:
            return ("tag", tag)
        is_place = isinstance(path, str) and isinstance(host, str) and path.startswith("/")
        if tag is None and is_place and len(host) + len(path) <= 2048:
            return ("path", host + path)
        raise errors.BadRequestError("not one tag, nor one host and path", "name a tag, or a host and a path")

    async def put_evacuation(self, request: sanic.request.Request, site: str) -> sanic.response.HTTPResponse:
        await self.evacuation.check_site(site)
        # Where only origins are emptied, the machines carry on, and an order again is the same order.
        only_origins = self.context.settings.evacuates == "origins"
        change = "" if only_origins else self.change_id({})
        if request.method == "DELETE":
            return await self.submit("return", change, site)
        notes: list[str] = []
        if not only_origins:
            notes = await self.evacuation.check_once(site, insist=request.args.get("insist") == "true")
        response = await self.submit("evacuate", change, site)
        if notes and response.status == 200:
            response = web.json_response({**json.loads(response.body), "notes": notes})
        return response

    async def post_amendment(self, request: sanic.request.Request) -> sanic.response.HTTPResponse:
        """Items with their senders' own versions: each alone is its own id, so a call may come again."""
        entries = amendment.parse_amendment(request.body)
        return await self.submit("amend", "", [entry.to_wire() for entry in entries])

    async def put_voter(self, request: sanic.request.Request, name: str) -> sanic.response.HTTPResponse:
        """PUT {"replaces": OLD} votes a spare in for a voter; DELETE retires a voter without another."""
        self.context.check_current()
        if request.method == "DELETE":
            return web.json_response(await self.voters.retire(name))
        old = self.body(request).get("replaces")
        if not isinstance(old, str):
            raise errors.BadRequestError("replaces is not a name", 'send {"replaces": "the voter that goes"}')
        return web.json_response(await self.voters.replace(old, name))
