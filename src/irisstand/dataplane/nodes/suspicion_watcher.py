"""Doubts about peers that are being asked: told as soon as SWIM suspects them."""

import asyncio

from irisstand.membership import detector as detecting
from irisstand.membership import updates


class SuspicionWatcher:
    def __init__(self, detector: detecting.FailureDetector) -> None:
        self.futures: dict[updates.Identity, dict[asyncio.Future, None]] = {}
        detector.listeners.append(self.on_update)

    def watch(self, identity: updates.Identity) -> asyncio.Future:
        """Done when the member is suspected or failed; whoever stops watching cancels it."""
        future = asyncio.get_running_loop().create_future()
        self.futures.setdefault(identity, {})[future] = None
        future.add_done_callback(lambda done: self.drop(identity, done))
        return future

    def drop(self, identity: updates.Identity, future: asyncio.Future) -> None:
        watchers = self.futures.get(identity, {})
        watchers.pop(future, None)
        if not watchers:
            self.futures.pop(identity, None)

    def on_update(self, update: updates.Update) -> None:
        if update.state is not updates.MemberState.ALIVE:
            for future in list(self.futures.get(update.identity, {})):
                if not future.done():
                    future.set_result(None)
