"""Actors around the simulated cluster: the platform, operators and clients, and a check of each response."""

import asyncio
import collections
import json
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.singletons import origin_source
from irisstand.dataplane.nodes import edge
from irisstand.dataplane.routing import configuration_view
from irisstand.emulators import origin_emulator
from irisstand.localcluster import invariant_checker
from irisstand.simulator import simulated_origins

if typing.TYPE_CHECKING:
    # Needed only for annotations; an import at run time would be circular, as the cluster makes its actors.
    from irisstand.simulator import simulated_cluster

REQUEST_TIMEOUT_SECONDS = 8.0
HTTP_OK = 200
# The platform allows about one request per second.
PLATFORM_WINDOW_SECONDS = 10
PLATFORM_WINDOW_LIMIT = 12
PLATFORM_SECOND_LIMIT = 2
PLATFORM_DELAY_SECONDS = 0.01
CREDENTIALS_INTERVAL = 5
KEYED_WRITE_PAUSE_SECONDS = 0.5


class ClientResponse(typing.NamedTuple):
    """What a client receives: the status (0: no response), the error code, and the response of an edge."""

    status: int
    code: str
    result: typing.Any


class WriteOutcome(typing.NamedTuple):
    """Result of a write: its number in the origins' records, the status (0: no response), the error code."""

    number: str
    status: int
    code: str


class SimulatedActors:
    """The origins, the platform, the operators and the clients of a simulated cluster.

    Attributes:
        records: Shared records of the requests that the origins have executed.
        checker: Checker of the responses that clients and operators receive.
        origins: Origins that the platform lists now.
        all_origins: All origins that ever existed.
        minimum_origin_counts: Lowest number of listed origins that each service has had.
        platform_requests: Recent virtual times at which the platform was asked.
        platform_outages: Start and end of each time in which no node could learn what the platform lists.
        evacuations: Virtual times of the confirmation and of the return of each evacuation, by site.
        origins_by_address: Origin that answers at each host and port.
        platform_up: Whether the platform answers.
        platform_override: Body with which the platform answers instead of its list; None: its list.
        last_number: Number of the last request or order, which makes change ids and bodies unique.
    """

    def __init__(self, cluster: "simulated_cluster.SimulatedCluster") -> None:
        self.cluster = cluster
        self.records = origin_emulator.OriginRecords()
        self.checker = invariant_checker.InvariantChecker(self.records)
        self.origins: list[simulated_origins.SimulatedOrigin] = []
        self.all_origins: list[simulated_origins.SimulatedOrigin] = []
        self.minimum_origin_counts: dict[str, int] = {}
        self.platform_requests: list[float] = []
        self.platform_outages: list[tuple[float, float]] = []
        self.evacuations: dict[str, list[list[float]]] = collections.defaultdict(list)
        self.origins_by_address: dict[tuple[str, int], simulated_origins.SimulatedOrigin] = {}
        self.platform_up = True
        self.platform_override: bytes | None = None
        self.last_number = 0
        self.add_origins()

    # -- origins and platform ------------------------------------------------------------------------
    def add_origins(self) -> None:
        """Add the number of origins that the cluster's shape gives, spread over its sites."""
        shape = self.cluster.shape
        self.minimum_origin_counts = {
            "content": shape.content_origins,
            "application": shape.application_origins,
        }
        for service, count in self.minimum_origin_counts.items():
            for index in range(count):
                site, region = shape.sites[index % len(shape.sites)]
                self.add_origin(service, f"{service}-{index + 1}", site, region)

    def add_origin(
        self, service: str, instance: str, site: str, region: str
    ) -> simulated_origins.SimulatedOrigin:
        """Add an origin at a new address to the list of the platform, and return it."""
        origin = simulated_origins.SimulatedOrigin(service, instance, site, self.records)
        origin.host = f"10.0.1.{len(self.origins_by_address) + 1}"
        self.cluster.network.regions[origin.host] = region
        self.origins.append(origin)
        self.all_origins.append(origin)
        self.origins_by_address[(origin.host, origin.port)] = origin
        return origin

    def unlist(self, origin: simulated_origins.SimulatedOrigin) -> None:
        """Remove an origin from the platform's list and update the lowest count of its service."""
        self.origins.remove(origin)
        remaining = sum(other.service == origin.service for other in self.origins)
        self.minimum_origin_counts[origin.service] = min(
            self.minimum_origin_counts[origin.service], remaining
        )

    def answers_at(self, origin: simulated_origins.SimulatedOrigin, address: tuple[str, int]) -> bool:
        """Return whether this origin is up and is the one that answers at this address."""
        return origin.up and self.origins_by_address.get(address) is origin

    async def ask_platform(self) -> origin_source.PlatformAnswer:
        """Return the platform's list of origins, and check the rate at which the platform is asked.

        Raises:
            ConnectionRefusedError: The platform is down.
        """
        now = asyncio.get_running_loop().time()
        recent = [sent_at for sent_at in self.platform_requests if sent_at > now - PLATFORM_WINDOW_SECONDS]
        self.platform_requests = [*recent, now]
        in_last_second = sum(sent_at > now - 0.99 for sent_at in self.platform_requests)
        is_allowed = (
            in_last_second <= PLATFORM_SECOND_LIMIT and len(self.platform_requests) <= PLATFORM_WINDOW_LIMIT
        )
        invariant = "the platform is asked no more often than it allows"
        self.checker.check(invariant, is_allowed, f"asked at {self.platform_requests}, now {now:.2f}")
        await asyncio.sleep(PLATFORM_DELAY_SECONDS)
        if not self.platform_up:
            raise ConnectionRefusedError("the platform is down")
        if self.platform_override is not None:
            return origin_source.PlatformAnswer(self.platform_override, 0.0)
        listed = [origin.listing() for origin in self.origins]
        return origin_source.PlatformAnswer(json.dumps({"origins": listed}).encode(), 0.0)

    # -- operators -----------------------------------------------------------------------------------
    async def order(
        self, name: str, kind: str, payload: typing.Any, change: str = ""
    ) -> dict[str, typing.Any]:
        """Submit an order of an operator to a control plane node and return its result.

        Args:
            name: Name of the control plane node.
            kind: Kind of the order, such as "change" or "purge".
            payload: Content of the order.
            change: Change id, which identifies the order when it is repeated; empty: a new id.

        Raises:
            errors.IrisError: The order was rejected, or its outcome is unknown.
            TimeoutError: The node gave no result within the timeout.
        """
        self.last_number += 1
        order = orders.Order(kind, change or f"change-{self.last_number}", payload)
        node = self.cluster.nodes[name]
        # The operators' API of a draining node gives this error, or its listener is already closed.
        if node.program.context.is_draining:
            raise errors.DrainingError(f"{name} is shutting down")
        with node.counted_request():
            result: dict[str, typing.Any] = await node.run(
                node.program.submitter.submit_for_operator(order), REQUEST_TIMEOUT_SECONDS
            )
            return result

    # -- clients -------------------------------------------------------------------------------------
    async def send_request(
        self, name: str, method: str, path: str, body: bytes = b"", **headers: str
    ) -> ClientResponse:
        """Send a request of a client to an edge; underscores in names of headers stand for hyphens."""
        node = self.cluster.nodes[name]
        # A draining edge has closed its listener, so the client gets no response.
        if not node.is_up or node.program.context.is_draining:
            return ClientResponse(0, "no-answer", None)
        sent_headers = {header.replace("_", "-"): value for header, value in headers.items()}
        request = edge.Request(method, path, "", sent_headers, body)
        try:
            with node.counted_request():
                result = await node.run(node.program.role_node.handle(request), REQUEST_TIMEOUT_SECONDS)
            return ClientResponse(result.status, "", result)
        except errors.IrisError as error:
            if error.code == "over-ceiling":
                self.count_capacity_elsewhere(node.program.role_node.view.authorize(method, path, ""))
            return ClientResponse(error.status, error.code, None)
        except TimeoutError:
            return ClientResponse(0, "no-answer", None)

    def count_capacity_elsewhere(self, request: configuration_view.AllowedRequest) -> None:
        """Count a request rejected by a quota share, by whether another shield could have sent it."""
        capacity = "had capacity" if self.has_capacity(request) else "had none"
        self.checker.results[f"over-ceiling while another shield {capacity}"] += 1

    def has_capacity(self, request: configuration_view.AllowedRequest) -> bool:
        """Return whether the quota share of a running shield allows one more request of the service now."""
        now = asyncio.get_running_loop().time()
        for node in self.cluster.with_role("shield"):
            share = node.program.role_node.origin_client.shares.get(request.service) if node.is_up else None
            if share is not None:
                rate, in_flight = node.program.role_node.view.quota_share(request.service, request.limit)
                started = sum(sent_at > now - 1 for sent_at in share.recent_starts.event_times)
                if started < rate and share.in_flight() < in_flight:
                    return True
        return False

    async def read(self, name: str, service: str, path: str) -> int:
        """Read a path through an edge, check the response, and return its status."""
        # Some requests have credentials, for which an edge has a code path of its own.
        headers = {} if self.last_number % CREDENTIALS_INTERVAL else {"authorization": "Bearer me"}
        self.last_number += 1
        status, code, result = await self.send_request(name, "GET", path, b"", **headers)
        if result is not None:
            now = asyncio.get_running_loop().time()
            self.checker.read(service, path, status, dict(result.headers), result.body, now)
        else:
            self.checker.results[f"read {status} {code}"] += 1
        return status

    async def write(self, name: str, path: str = "/applications") -> WriteOutcome:
        """Send one write through an edge, record the outcome that the client learns, and return it."""
        self.last_number += 1
        number = f"application-{self.last_number}"
        status, code, _ = await self.send_request(name, "POST", path, write_body(number))
        self.record_write(number, status, code)
        return WriteOutcome(number, status, code)

    async def write_until_known(self, names: list[str]) -> None:
        """Send a write through one edge after another, with one idempotency key, until it succeeds."""
        self.last_number += 1
        number = f"keyed-{self.last_number}"
        for name in names:
            status, code, _ = await self.send_request(
                name, "POST", "/applications", write_body(number), idempotency_key=number
            )
            self.record_write(number, status, code)
            if status == HTTP_OK:
                return
            await asyncio.sleep(KEYED_WRITE_PAUSE_SECONDS)

    def record_write(self, number: str, status: int, code: str) -> None:
        """Record the outcome of a write as the client knows it; without a response it is unknown."""
        self.checker.write(number, status, "outcome-unknown" if status == 0 else code)


def write_body(number: str) -> bytes:
    """Return the JSON body of a write, which has this number in the origins' records."""
    return json.dumps({"number": number}).encode()
