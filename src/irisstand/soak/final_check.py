"""The last check of a soak run: every edge serves, and the control plane has the configuration."""

import asyncio

import aiohttp

from irisstand.soak import clients, fleet, operator_client, records

# Within this time after the last trouble, requests are served again.
RECOVERY_SECONDS = 15.0
POLL_SECONDS = 0.2
# Beyond the time that an origin works on a request.
RESPONSE_MARGIN_SECONDS = 3.0
HTTP_OK = 200


class FinalCheck:
    """Asks all edges and control plane nodes of a run once its load has ended.

    Attributes:
        fleet: Processes of the run.
        session: HTTP session of all calls.
        records: Where edges and nodes that fail the check are recorded.
    """

    def __init__(self, processes: fleet.Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = processes
        self.session = session
        self.records: records.Records = processes.records

    async def run(self, accepted_version: int) -> None:
        """Check all processes.

        Args:
            accepted_version: The newest version of the configuration that the control plane accepted.
        """
        edges = self.fleet.with_role("direct")
        nodes = self.fleet.with_role("agency")
        checks = [self.check_edge(edge) for edge in edges]
        checks += [self.check_configuration(node, accepted_version) for node in nodes]
        await asyncio.gather(*checks)

    async def check_edge(self, edge: fleet.ProcessAddress) -> None:
        """Record an edge that serves no request within the recovery time."""
        url = f"http://{edge.host}:{fleet.FRONT_PORT}/reads/final"
        headers = {"Host": clients.HOST, "X-Request-Id": f"final-{edge.name}"}
        # An origin may take as long for this request as for any other.
        limit = aiohttp.ClientTimeout(total=self.fleet.plan.work.most + RESPONSE_MARGIN_SECONDS)
        give_up_at = asyncio.get_running_loop().time() + RECOVERY_SECONDS
        while asyncio.get_running_loop().time() < give_up_at:
            if await self.status_of(url, headers, limit) == HTTP_OK:
                return
            await asyncio.sleep(POLL_SECONDS)
        self.records.failed_checks.append(f"{edge.name} served no request after the load")

    async def status_of(self, url: str, headers: dict[str, str], limit: aiohttp.ClientTimeout) -> int:
        """Return the status of a response; 0 if there was none."""
        try:
            async with self.session.get(url, headers=headers, timeout=limit) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def check_configuration(self, node: fleet.ProcessAddress, accepted_version: int) -> None:
        """Record a control plane node that does not answer with an accepted configuration, or a newer one."""
        url = f"http://{node.host}:{fleet.HTTP_PORT}/items"
        give_up_at = asyncio.get_running_loop().time() + RECOVERY_SECONDS
        while asyncio.get_running_loop().time() < give_up_at:
            try:
                async with self.session.get(url) as response:
                    if response.status == HTTP_OK:
                        self.compare_versions(node, await response.json(), accepted_version)
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_SECONDS)
        self.records.failed_checks.append(f"{node.name} answered no read of the configuration after the load")

    def compare_versions(
        self, node: fleet.ProcessAddress, configuration: dict[str, list[dict[str, int]]], accepted: int
    ) -> None:
        """Record a node whose routes are missing or older than the accepted version."""
        versions = [route["version"] for route in configuration.get("routes", [])]
        if len(versions) < len(operator_client.ROUTE_KINDS) or min(versions) < accepted:
            self.records.failed_checks.append(
                f"{node.name} answered with versions {versions} of the routes, {accepted} was accepted"
            )
