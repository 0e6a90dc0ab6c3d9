"""Joining by a seed, and lists compared now and then: what the paper leaves open."""

import asyncio

from irisstand import errors
from irisstand.membership import detector as detecting
from irisstand.membership import updates
from irisstand.transport import network, peers

EXCHANGE_INTERVAL_PERIODS = 10
# Seconds between rounds of the seeds while nobody at all is known.
SEED_RETRY_SECONDS = 0.08


class Joiner:
    def __init__(
        self, detector: detecting.FailureDetector, transport: peers.Transport, seeds: list[network.Address]
    ) -> None:
        self.detector, self.transport = detector, transport
        self.seeds: list[network.Address] = []
        self.set_seeds(seeds)
        transport.handlers["roster"] = self.on_roster
        self.joined = asyncio.Event()

    async def on_roster(self, _: str, body: list) -> tuple:
        digest, given = body
        for parts in given:
            self.detector.apply_update(updates.decode(parts))
        # Equal lists need no copy; the asker's own digest says whether they are.
        if digest == self.detector.member_list.digest(self.detector.own_update()):
            return ()
        everything = [self.detector.own_update(), *self.detector.member_list.all_updates()]
        return tuple(updates.encode(update) for update in everything)

    async def compare(self, address: network.Address, name: str, whole: bool) -> None:
        detector = self.detector
        given = [detector.own_update()]
        if whole:
            given += detector.member_list.all_updates()
        digest = "" if whole else detector.member_list.digest(detector.own_update())
        body = (digest, tuple(updates.encode(u) for u in given))
        reply = await self.transport.call(address, name, "roster", body, 2.0)
        for parts in reply:
            detector.apply_update(updates.decode(parts))

    def set_seeds(self, seeds: list[network.Address]) -> None:
        own = (self.detector.node_info.host, self.detector.node_info.port)
        self.seeds = [tuple(seed) for seed in seeds if tuple(seed) != own]

    async def run(self) -> None:
        while True:
            period = self.detector.parameters.period_seconds
            members = list(self.detector.member_list.members.values())
            if not members:
                await self.ask_seeds()
            if self.detector.member_list.members or not self.seeds:
                self.joined.set()
            if not members:
                # All may have been started at this moment: whoever is first up should not wait for long.
                await asyncio.sleep(SEED_RETRY_SECONDS if not self.detector.member_list.members else period)
                continue
            await asyncio.sleep(EXCHANGE_INTERVAL_PERIODS * period)
            await self.compare_once(members)

    async def ask_seeds(self) -> None:
        """All seeds at once, until one has answered: one without power answers nothing at all."""
        loop = asyncio.get_running_loop()
        asking = {loop.create_task(self.compare(seed, "", whole=True)): None for seed in self.seeds}
        left = set(asking)
        try:
            while left and not self.detector.member_list.members:
                done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    error = task.exception()
                    if error is not None and not isinstance(error, (errors.IrisError, ValueError, TypeError)):
                        raise error
        finally:
            for task in left:
                task.cancel()

    async def compare_once(self, members: list[updates.Update]) -> None:
        # Seeds are asked now and then whatever their state: after a split nobody else would be.
        seed = self.detector.randomness.choice(self.seeds) if self.seeds else None
        if seed is not None and self.detector.randomness.random() < 0.3:
            address, name = seed, ""
        else:
            draw = self.detector.randomness.choice(members)
            address, name = draw.node_info.address, draw.identity.name
        try:
            await self.compare(address, name, whole=False)
        except (errors.IrisError, ValueError, TypeError):
            self.detector.counters.add("swim_compare_failed")
