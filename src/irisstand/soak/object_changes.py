"""Objects of a soak run that change at their origins and are then purged."""

import asyncio
import random

from irisstand.soak import fleet, operator_client, records, shape


class ObjectChanges:
    """Replaces and purges objects all through a run.

    Attributes:
        plan: Parameters of the run.
        records: Where the versions of objects and the confirmed purges are recorded.
        operator: Sends the purges.
        randomness: Source of the random choices of objects and times.
    """

    def __init__(
        self, plan: shape.SoakShape, processes: fleet.Fleet, operator: operator_client.Operator
    ) -> None:
        self.plan = plan
        self.records = processes.records
        self.operator = operator
        self.randomness = random.Random(f"{plan.seed} objects")

    async def run(self) -> None:
        """Replace and purge all objects that are to change, at random times."""
        times = [self.randomness.uniform(0, self.plan.seconds) for _ in range(self.plan.purges)]
        await asyncio.gather(*map(self.change_object, times))

    async def change_object(self, wait_seconds: float) -> None:
        """Replace a random object after a wait, purge it, and record the time of a confirmed purge."""
        path = f"/objects/{self.randomness.randrange(self.plan.objects)}"
        loop = asyncio.get_running_loop()
        await asyncio.sleep(wait_seconds)
        self.records.objects.replace(path, loop.time())
        sent_at = loop.time()
        if await self.operator.purge(path):
            self.records.purges[path].append(records.Purge(sent_at, loop.time()))
