"""Runs a local cluster: starts processes and emulators, sends load, injects faults and prints the results."""

import asyncio
import contextlib
import pathlib
import tempfile

import aiohttp

from irisstand import errors
from irisstand.emulators import origin_emulator
from irisstand.localcluster import day_plan, fault_plans, invariant_checker, load_generator, processes

PrintLine = day_plan.PrintLine


class LocalClusterRun:
    """One run of a local cluster, with emulated origins and an emulated platform.

    Attributes:
        shape: Size, sites and load of the cluster.
        folder: Directory of settings, data and logs.
        seed: Seed of the clients' random choices.
        records: Content versions and executed writes of all origins.
        origins: The emulated origins.
        platform: The emulated platform, which lists the origins.
        checker: The invariant checker.
        cluster: The processes; set when the run starts.
        load: The load generator; set when the run starts.
    """

    def __init__(self, shape: processes.ClusterShape, folder: pathlib.Path, seed: int) -> None:
        self.shape = shape
        self.folder = folder
        self.seed = seed
        self.records = origin_emulator.OriginRecords()
        self.origins = self.make_origins()
        self.platform = origin_emulator.PlatformEmulator(self.origins)
        self.checker = invariant_checker.InvariantChecker(self.records)
        self.checker.ttl_seconds = {"vacancies": 10.0, "logos": 60.0}

    def make_origins(self) -> list[origin_emulator.OriginEmulator]:
        """Return the emulated origins of the shape, spread over its sites in turn."""
        origins = []
        counts = (("content", self.shape.content_origins), ("application", self.shape.application_origins))
        for service, count in counts:
            for number in range(count):
                site = self.shape.sites[number % len(self.shape.sites)][0]
                origins.append(
                    origin_emulator.OriginEmulator(service, f"{service}-{number + 1}", site, self.records)
                )
        return origins

    async def run(self, seconds: float, plan: str, print_line: PrintLine) -> int:
        """Run the load and a fault plan, print the results and return the exit status.

        Args:
            seconds: Length of the load, in seconds.
            plan: Name of the fault plan in `fault_plans.REGISTRY`.
            print_line: Prints one line.

        Returns:
            1 if an invariant was violated, otherwise 0.
        """
        for origin in self.origins:
            await origin.start()
        await self.platform.start()
        self.cluster = processes.LocalCluster(self.shape, self.folder, self.platform.port)
        try:
            self.cluster.start_all()
            timeout = aiohttp.ClientTimeout(total=self.shape.deadline + 7)
            # Each request has a connection of its own: a request on a kept connection that the edge closes at
            # that time would look like a dropped request.
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
                self.load = load_generator.LoadGenerator(self.cluster, session, self.checker, self.seed)
                await self.set_up(session)
                print_line(f"all {len(self.cluster.placements)} processes of the cluster are ready")
                jobs = [self.load.run(seconds), fault_plans.REGISTRY[plan](self, seconds, print_line)]
                await asyncio.gather(*jobs)
                await self.cluster.wait_until_ready(
                    session, [placement.name for placement in self.cluster.with_role("agency")]
                )
                await self.check_configuration(session)
        finally:
            self.cluster.stop_all()
            await self.platform.stop()
            for origin in self.origins:
                await origin.stop()
        self.checker.close()
        for line in self.checker.lines():
            print_line(line)
        seconds_without_failures = [
            second for second in range(int(seconds)) if second not in self.load.failures_by_second
        ]
        failed_count = sum(self.load.failures_by_second.values())
        print_line(
            f"{failed_count} of {self.load.sent} requests failed; "
            f"{len(seconds_without_failures)} of {int(seconds)} seconds had none"
        )
        connections = sum(len(origin.connections) for origin in self.origins)
        connections_per_request = connections / max(1, self.load.sent)
        print_line(
            f"{connections} connections opened to origins, {connections_per_request:.4f} for each request"
        )
        print_line(
            f"failed requests by second of the run: {dict(sorted(self.load.failures_by_second.items()))}"
        )
        requests = sum(self.records.requests.values())
        print_line(
            f"{self.load.sent} requests from clients, {requests} requests at origins; "
            f"requests to the platform over its rate limit: {self.platform.over_limit}"
        )
        return 1 if sum(self.checker.broken.values()) else 0

    async def set_up(self, session: aiohttp.ClientSession) -> None:
        """Submit the first configuration and wait until all nodes are ready and serve requests."""
        control_plane_nodes = [placement.name for placement in self.cluster.with_role("agency")]
        await self.cluster.wait_until_ready(session, control_plane_nodes)
        status, answer = await self.load.call_control_plane(
            "POST", "/changes", {"rows": load_generator.first_configuration(self.shape)}
        )
        if status != day_plan.HTTP_OK:
            raise errors.IrisError(f"the first configuration was not confirmed: status {status}, {answer}")
        self.confirmed = answer
        others = [
            placement.name
            for placement in self.cluster.placements.values()
            if placement.program != "controlplane"
        ]
        await self.cluster.wait_until_ready(session, others)
        await self.wait_for_first_reads(session)

    async def wait_for_first_reads(self, session: aiohttp.ClientSession) -> None:
        """Wait until each edge has served a read of each service, so that the whole request path works."""
        end = asyncio.get_running_loop().time() + 20
        for edge in self.load.edges:
            for target in ("/vacancies/1", "/shortlists/1"):
                while True:
                    async with session.get(self.cluster.url(edge) + target) as response:
                        if response.status == day_plan.HTTP_OK:
                            break
                        answer = await response.text()
                    if asyncio.get_running_loop().time() > end:
                        raise errors.IrisError(
                            f"edge {edge} did not serve a first read in time; its last response: {answer}"
                        )
                    await asyncio.sleep(0.1)

    async def wait_until_served(self, timeout_seconds: float) -> bool:
        """Read uncached targets through one edge after another until a read succeeds.

        Returns:
            Whether a read succeeded within the timeout.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_seconds
        number = 0
        while loop.time() < end:
            number += 1
            url = self.cluster.url(self.load.edges[number % len(self.load.edges)])
            try:
                async with self.load.session.get(f"{url}/vacancies/again-{number}") as response:
                    if response.status == day_plan.HTTP_OK:
                        return True
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def check_configuration(self, session: aiohttp.ClientSession) -> None:
        """Check that each reachable control plane node returns the configuration that was confirmed."""
        expected_values = {
            (row["kind"], row["name"]): row["value"] for row in load_generator.first_configuration(self.shape)
        }
        for placement in self.cluster.with_role("agency"):
            try:
                async with session.get(self.cluster.url(placement.name) + "/rows") as response:
                    if response.status != day_plan.HTTP_OK:
                        continue
                    table = await response.json()
            except aiohttp.ClientError:
                continue
            actual_values = {(row["kind"], row["name"]): row["value"] for row in table["rows"]}
            self.checker.check(
                "a control plane node returns the confirmed configuration",
                actual_values == expected_values,
                str(actual_values)[:200],
            )


def run(  # noqa: PLR0913, PLR0917 - each is an option of the command
    shape: str, seconds: float, plan: str, seed: int, folder: str, print_line: PrintLine
) -> int:
    """Run a local cluster and return the exit status: 1 if an invariant was violated.

    Args:
        shape: Name of the shape in `processes.SHAPES`.
        seconds: Length of the load, in seconds.
        plan: Name of the fault plan in `fault_plans.REGISTRY`.
        seed: Seed of the clients' random choices.
        folder: Directory of settings, data and logs; empty for a temporary directory.
        print_line: Prints one line.
    """
    with contextlib.ExitStack() as stack:
        if not folder:
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="irisstand-"))
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        return asyncio.run(
            LocalClusterRun(processes.SHAPES[shape], path, seed).run(seconds, plan, print_line)
        )
