"""Stand-ins inside the simulator: the platform, clients and operators around the origins."""

import asyncio
import collections
import json
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.singletons import origin_source
from irisstand.dataplane.nodes import edge as edges
from irisstand.dataplane.routing import snapshot
from irisstand.emulators import origin_emulator
from irisstand.localcluster import invariant_checker
from irisstand.simulator import simulated_origins


class SimulatedActors:
    """Everything around the network under test."""

    def __init__(self, world: typing.Any) -> None:
        self.cluster = world
        self.records = origin_emulator.OriginRecords()
        self.checker = invariant_checker.InvariantChecker(self.records)
        # Those that the platform lists, and all that there ever were.
        self.origins: list[simulated_origins.SimulatedOrigin] = []
        self.all_origins: list[simulated_origins.SimulatedOrigin] = []
        self.counts: dict[str, int] = {}
        self.asked: list[float] = []
        # Times in which nobody could hear the platform, and evacuations by site as [confirmed, taken back].
        self.platform_outages: list[tuple[float, float]] = []
        self.evacuations: dict[str, list[list[float]]] = collections.defaultdict(list)
        self.at: dict[tuple[str, int], simulated_origins.SimulatedOrigin] = {}
        self.platform_up = True
        self.platform_says: bytes | None = None
        self.number = 0
        shape = world.shape
        counts = (("content", shape.content_origins), ("application", shape.application_origins))
        self.counts.update(counts)
        for service, count in counts:
            for index in range(count):
                site, region = shape.sites[index % len(shape.sites)]
                self.add_origin(service, f"{service}-{index + 1}", site, region)

    def add_origin(
        self, service: str, instance: str, site: str, region: str
    ) -> simulated_origins.SimulatedOrigin:
        origin = simulated_origins.SimulatedOrigin(service, instance, site, self.records)
        origin.host = f"10.0.1.{len(self.at) + 1}"
        self.cluster.network.regions[origin.host] = region
        self.origins.append(origin)
        self.all_origins.append(origin)
        self.at[(origin.host, origin.port)] = origin
        return origin

    def unlist(self, origin: simulated_origins.SimulatedOrigin) -> None:
        self.origins.remove(origin)
        left = sum(other.service == origin.service for other in self.origins)
        self.counts[origin.service] = min(self.counts[origin.service], left)

    def reaches(self, origin: simulated_origins.SimulatedOrigin, address: tuple[str, int]) -> bool:
        return origin.up and self.at.get(address) is origin

    async def ask_platform(self) -> origin_source.PlatformAnswer:
        now = asyncio.get_running_loop().time()
        self.asked = [moment for moment in self.asked if moment > now - 10] + [now]
        rule = "the platform is asked no more often than it allows"
        recent = sum(moment > now - 0.99 for moment in self.asked)
        self.checker.check(rule, recent <= 2 and len(self.asked) <= 12, f"{self.asked} at {now:.2f}")
        await asyncio.sleep(0.01)
        if not self.platform_up:
            raise ConnectionRefusedError("the platform is down")
        if self.platform_says is not None:
            return origin_source.PlatformAnswer(self.platform_says, 0.0)
        listed = [origin.listing() for origin in self.origins]
        return origin_source.PlatformAnswer(json.dumps({"origins": listed}).encode(), 0.0)

    # -- operators -----------------------------------------------------------------------------------
    async def order(self, name: str, kind: str, payload: typing.Any, change: str = "") -> dict:
        self.number += 1
        order = orders.Order(kind, change or f"change-{self.number}", payload)
        node = self.cluster.nodes[name]
        # As its operators' page says it, or the closed listener behind it.
        if node.program.context.is_draining:
            raise errors.DrainingError(f"{name} is shutting down")
        actor = node.actor
        actor.asks += 1
        try:
            return await node.do(node.program.submitter.submit_for_operator(order), 8.0)
        finally:
            actor.asks -= 1

    # -- clients -----------------------------------------------------------------------------------
    async def ask(self, edge: str, method: str, path: str, body: bytes = b"", **headers: str) -> tuple:
        """(status, code, result): what a client sees; status 0 if nothing came back."""
        node = self.cluster.nodes[edge]
        # The listener of an edge that drains is closed.
        if not node.is_up or node.program.context.is_draining:
            return 0, "no-answer", None
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        request = edges.Request(method, path, "", given, body)
        actor = node.actor
        actor.asks += 1
        try:
            result = await node.do(node.program.role_node.handle(request), 8.0)
            return result.status, "", result
        except errors.IrisError as error:
            if error.code == "over-ceiling":
                granted = node.program.role_node.view.authorize(method, path, "")
                room = "had room" if self.has_room(granted) else "had none"
                self.checker.results[f"over-ceiling while another shield {room}"] += 1
            return error.status, error.code, None
        except TimeoutError:
            return 0, "no-answer", None
        finally:
            actor.asks -= 1

    def has_room(self, granted: snapshot.AllowedRequest) -> bool:
        """Whether some shield that is up could have sent one more request of the service just now."""
        now = asyncio.get_running_loop().time()
        for node in self.cluster.with_role("shield"):
            share = node.program.role_node.origin_client.shares.get(granted.service) if node.is_up else None
            if share is not None:
                rate, inflight = node.program.role_node.view.quota_share(granted.service, granted.limit)
                if (
                    sum(moment > now - 1 for moment in share.started.moments) < rate
                    and share.in_flight() < inflight
                ):
                    return True
        return False

    async def read(self, edge: str, service: str, path: str) -> int:
        # Some bear credentials, which takes another way through the edge.
        given = {"authorization": "Bearer me"} if self.number % 5 == 0 else {}
        self.number += 1
        status, code, result = await self.ask(edge, "GET", path, **given)
        if result is not None:
            now = asyncio.get_running_loop().time()
            self.checker.read(service, path, status, dict(result.headers), result.body, now)
        else:
            self.checker.results[f"read {status} {code}"] += 1
        return status

    async def write(self, edge: str, path: str = "/applications") -> tuple[str, int, str]:
        self.number += 1
        number = f"application-{self.number}"
        body = json.dumps({"number": number}).encode()
        status, code, _ = await self.ask(edge, "POST", path, body)
        self.checker.write(number, status, "outcome-unknown" if status == 0 else code)
        return number, status, code

    async def write_until_known(self, edges: list[str]) -> None:
        """A keyed write, sent again by other edges under the same key until its outcome is known."""
        self.number += 1
        number = f"keyed-{self.number}"
        body = json.dumps({"number": number}).encode()
        for edge in edges:
            status, code, _ = await self.ask(edge, "POST", "/applications", body, idempotency_key=number)
            self.checker.write(number, status, "outcome-unknown" if status == 0 else code)
            if status == 200:
                return
            await asyncio.sleep(0.5)
