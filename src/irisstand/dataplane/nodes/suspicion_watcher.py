"""Tells a caller as soon as the failure detector suspects the peer that it waits for."""

import asyncio
import typing

from irisstand.membership import detector, updates

# Of any result, so that callers can wait for it beside other futures.
Suspicion = asyncio.Future[typing.Any]


class SuspicionWatcher:
    """Futures by member, which are done when the member is suspected or failed.

    Args:
        failure_detector: Tells every change of a member's state.
    """

    def __init__(self, failure_detector: detector.FailureDetector) -> None:
        # A dict in place of a set: futures are done in the order in which they were made.
        self.futures: dict[updates.Identity, dict[Suspicion, None]] = {}
        failure_detector.listeners.append(self.on_update)

    def watch(self, identity: updates.Identity) -> Suspicion:
        """Return a future that is done when the member is suspected or failed; cancel it to stop watching."""
        future: Suspicion = asyncio.get_running_loop().create_future()
        self.futures.setdefault(identity, {})[future] = None
        future.add_done_callback(lambda done: self.drop(identity, done))
        return future

    def drop(self, identity: updates.Identity, future: Suspicion) -> None:
        """Forget a future that is done."""
        futures = self.futures.get(identity, {})
        futures.pop(future, None)
        if not futures:
            self.futures.pop(identity, None)

    def on_update(self, update: updates.Update) -> None:
        """Take over a change of a member's state."""
        if update.state is updates.MemberState.ALIVE:
            return
        for future in list(self.futures.get(update.identity, {})):
            if not future.done():
                future.set_result(None)
