"""A run of a local cluster: processes, load, faults by plan, and the invariant checker's figures."""

import asyncio
import contextlib
import pathlib
import tempfile

import aiohttp

from irisstand import errors
from irisstand.emulators import origin_emulator
from irisstand.localcluster import day_plan, fault_plans, invariant_checker, load_generator, processes

Say = day_plan.Say


class LocalClusterRun:
    """One run, with its emulated origins and platform."""

    def __init__(self, shape: processes.ClusterShape, folder: pathlib.Path, seed: int) -> None:
        self.shape = shape
        self.folder = folder
        self.seed = seed
        self.records = origin_emulator.OriginRecords()
        self.origins = self.make_origins()
        self.platform = origin_emulator.PlatformEmulator(self.origins)
        self.checker = invariant_checker.InvariantChecker(self.records)
        self.checker.lives = {"vacancies": 10.0, "logos": 60.0}

    def make_origins(self) -> list[origin_emulator.OriginEmulator]:
        """Return the origins of the shape, spread over its sites."""
        made = []
        counts = (("content", self.shape.content_origins), ("application", self.shape.application_origins))
        for service, count in counts:
            for number in range(count):
                site = self.shape.sites[number % len(self.shape.sites)][0]
                made.append(
                    origin_emulator.OriginEmulator(service, f"{service}-{number + 1}", site, self.records)
                )
        return made

    async def run(self, seconds: float, plan: str, say: Say) -> int:
        """Run for so many seconds under a plan, print the figures, and return the exit status."""
        for origin in self.origins:
            await origin.start()
        await self.platform.start()
        self.fleet = processes.LocalCluster(self.shape, self.folder, self.platform.port)
        try:
            self.fleet.start_all()
            timeout = aiohttp.ClientTimeout(total=self.shape.deadline + 7)
            # A connection for each request: a kept one that is just being closed would look like a drop.
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
                self.load = load_generator.LoadGenerator(self.fleet, session, self.checker, self.seed)
                await self.set_up(session)
                say(f"fleet of {len(self.fleet.places)} processes is ready")
                jobs = [self.load.run(seconds), fault_plans.REGISTRY[plan](self, seconds, say)]
                await asyncio.gather(*jobs)
                await self.fleet.ready(session, [place.name for place in self.fleet.named("agency")])
                await self.read_back(session)
        finally:
            self.fleet.stop_all()
            await self.platform.stop()
            for origin in self.origins:
                await origin.stop()
        self.checker.close()
        for line in self.checker.lines():
            say(line)
        calm = [second for second in range(int(seconds)) if second not in self.load.failed_in]
        failed = sum(self.load.failed_in.values())
        say(f"{failed} of {self.load.sent} requests failed; {len(calm)} of {int(seconds)} seconds had none")
        connections = sum(len(origin.connections) for origin in self.origins)
        share = connections / max(1, self.load.sent)
        say(f"{connections} connections opened to origins, {share:.4f} for each request")
        say(f"seconds with failures: {dict(sorted(self.load.failed_in.items()))}")
        requests = sum(self.records.requests.values())
        say(
            f"{self.load.sent} requests from consumers, {requests} at origins; "
            f"platform asked over its limit {self.platform.over_limit} times"
        )
        return 1 if sum(self.checker.broken.values()) else 0

    async def set_up(self, session: aiohttp.ClientSession) -> None:
        """Send the first configuration and wait until all nodes serve."""
        control_nodes = [place.name for place in self.fleet.named("agency")]
        await self.fleet.ready(session, control_nodes)
        status, answer = await self.load.order(
            "POST", "/changes", {"rows": load_generator.first_configuration(self.shape)}
        )
        if status != day_plan.HTTP_OK:
            raise errors.IrisError(f"the blueprint was not confirmed: {status} {answer}")
        self.confirmed = answer
        others = [place.name for place in self.fleet.places.values() if place.program != "controlplane"]
        await self.fleet.ready(session, others)
        await self.warm(session)

    async def warm(self, session: aiohttp.ClientSession) -> None:
        """Wait until the first read of each service is answered through all nodes on its way."""
        end = asyncio.get_running_loop().time() + 20
        for edge in self.load.edges:
            for target in ("/vacancies/1", "/shortlists/1"):
                while True:
                    async with session.get(self.fleet.url(edge) + target) as response:
                        if response.status == day_plan.HTTP_OK:
                            break
                        answer = await response.text()
                    if asyncio.get_running_loop().time() > end:
                        raise errors.IrisError(f"no first read through {edge}: {answer}")
                    await asyncio.sleep(0.1)

    async def served_again(self, patience: float) -> bool:
        """Wait until an edge answers a read that goes to an origin; False if none does in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + patience
        number = 0
        while loop.time() < end:
            number += 1
            url = self.fleet.url(self.load.edges[number % len(self.load.edges)])
            try:
                async with self.load.session.get(f"{url}/vacancies/again-{number}") as response:
                    if response.status == day_plan.HTTP_OK:
                        return True
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def read_back(self, session: aiohttp.ClientSession) -> None:
        """Check that each control plane node has the configuration that was confirmed."""
        wanted = {
            (row["kind"], row["name"]): row["value"] for row in load_generator.first_configuration(self.shape)
        }
        for place in self.fleet.named("agency"):
            try:
                async with session.get(self.fleet.url(place.name) + "/rows") as response:
                    if response.status != day_plan.HTTP_OK:
                        continue
                    table = await response.json()
            except aiohttp.ClientError:
                continue
            got = {(row["kind"], row["name"]): row["value"] for row in table["rows"]}
            self.checker.check("the table read back is the one confirmed", got == wanted, str(got)[:200])


def run(  # noqa: PLR0913, PLR0917 - each is an option of the command
    shape: str, seconds: float, plan: str, seed: int, folder: str, say: Say
) -> int:
    """Run a local cluster and return the exit status: 1 if an invariant was broken.

    Args:
        shape: Name of the shape.
        seconds: Length of the load.
        plan: Name of the fault plan.
        seed: Seed of the clients' draws.
        folder: Where settings, data and logs are kept; empty: a temporary directory.
        say: Prints one line.
    """
    with contextlib.ExitStack() as stack:
        if not folder:
            folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="irisstand-"))
        path = pathlib.Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        return asyncio.run(LocalClusterRun(processes.SHAPES[shape], path, seed).run(seconds, plan, say))
