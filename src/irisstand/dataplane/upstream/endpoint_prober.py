"""Health probes of endpoints that are down; the health of all other endpoints is known from their traffic."""

import asyncio

from irisstand import errors, node_context
from irisstand.dataplane.http import header_names
from irisstand.dataplane.routing import configuration_view, route_table
from irisstand.dataplane.upstream import origin_endpoint

PROBE_TIMEOUT_SECONDS = 0.6
CHECK_INTERVAL_SECONDS = 0.1
HEALTHY_STATUS = 200
FAILURES = (OSError, TimeoutError, ValueError, errors.IrisError)


class EndpointProber:
    """Probes the endpoints that are down until the expected origin instance answers."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        table: route_table.RouteTable,
        names: header_names.HeaderNames,
        endpoints: dict[str, origin_endpoint.Endpoint],
    ) -> None:
        self.context = context
        self.view = view
        self.table = table
        self.header_names = names
        self.endpoints = endpoints

    async def run(self) -> None:
        """Start a task for each probe that is due, until cancelled."""
        while True:
            now = self.context.clock.now()
            for endpoint in list(self.endpoints.values()):
                is_due = endpoint.is_down and now >= endpoint.down_until
                if is_due and not self.view.is_evacuated(endpoint.origin.site) and not endpoint.is_removed:
                    endpoint.down_until = now + PROBE_TIMEOUT_SECONDS + origin_endpoint.BACKOFF_LIMIT_SECONDS
                    self.context.start_task(self.probe(endpoint), "probe")
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def probe(self, endpoint: origin_endpoint.Endpoint) -> None:
        """Probe one endpoint and mark it as up or down."""
        try:
            await self.check(endpoint)
        except FAILURES as error:
            endpoint.mark_down(repr(error))
            return
        endpoint.mark_up()

    async def check(self, endpoint: origin_endpoint.Endpoint) -> None:
        """Send one probe, and check that the expected instance answers and is healthy.

        Raises:
            NoOriginError: The endpoint is unhealthy, or another instance answered.
            OSError, TimeoutError, ValueError, IrisError: No valid response came in time; see `FAILURES`.
        """
        upstream = self.table.upstreams.get(endpoint.origin.service)
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            connection = await endpoint.acquire(PROBE_TIMEOUT_SECONDS, "")
            host = f"{endpoint.origin.host}:{endpoint.origin.port}"
            headers = [("host", host), (self.header_names.expected_instance, endpoint.instance)]
            path = upstream.probe if upstream else "/health"
            answer = await connection.send("GET", path.encode(), headers, b"", "")
        endpoint.release(connection)
        named = answer.headers.get(self.header_names.instance)
        if answer.status != HEALTHY_STATUS or (named and named != endpoint.instance):
            raise errors.NoOriginError(
                f"the health probe was answered with status {answer.status} by instance {named}"
            )
