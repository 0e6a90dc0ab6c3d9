"""Notifies a caller when the failure detector suspects the peer whose response the caller waits for."""

import asyncio
import typing

from irisstand.membership import detector, updates

# The result type is Any so that callers can pass the future to `asyncio.wait` with futures of other types.
Suspicion = asyncio.Future[typing.Any]


class SuspicionWatcher:
    """Keeps futures by member that are done when the member is suspected or declared failed.

    Args:
        failure_detector: The failure detector, which reports every change of a member's state.
    """

    def __init__(self, failure_detector: detector.FailureDetector) -> None:
        # Dicts instead of sets, so that futures are done in the order in which they were created.
        self.futures: dict[updates.Identity, dict[Suspicion, None]] = {}
        failure_detector.listeners.append(self.on_update)

    def watch(self, identity: updates.Identity) -> Suspicion:
        """Return a future that is done when the member is suspected or failed; cancel it to end the watch."""
        future: Suspicion = asyncio.get_running_loop().create_future()
        self.futures.setdefault(identity, {})[future] = None
        future.add_done_callback(lambda done: self.drop(identity, done))
        return future

    def drop(self, identity: updates.Identity, future: Suspicion) -> None:
        """Remove a future that is done or cancelled."""
        futures = self.futures.get(identity, {})
        futures.pop(future, None)
        if not futures:
            self.futures.pop(identity, None)

    def on_update(self, update: updates.Update) -> None:
        """Complete the futures of a member whose new state is other than alive."""
        if update.state is updates.MemberState.ALIVE:
            return
        for future in list(self.futures.get(update.identity, {})):
            if not future.done():
                future.set_result(None)
