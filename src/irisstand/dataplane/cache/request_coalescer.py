"""The coalescing of equal requests."""

import asyncio
import collections.abc
import typing

Result = typing.TypeVar("Result")


class SharedFetch:
    """A fetch in flight, with the number of requests that wait for its result."""

    def __init__(self, task: asyncio.Task[typing.Any]) -> None:
        self.task = task
        self.waiters = 0


class RequestCoalescer:
    """Lets equal requests share one fetch, which is cancelled when the last waiting request is cancelled."""

    def __init__(self) -> None:
        self.in_flight: dict[typing.Hashable, SharedFetch] = {}

    def is_in_flight(self, key: typing.Hashable) -> bool:
        """Return whether a fetch with the given key is in flight."""
        return key in self.in_flight

    async def join(
        self,
        key: typing.Hashable,
        fetch: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, Result]],
    ) -> Result:
        """Return the result of the fetch with the given key, and start that fetch if none is in flight.

        Args:
            key: The key of the fetch; requests that may share a result have equal keys.
            fetch: Returns the coroutine that fetches.

        Raises:
            Exception: The fetch raised it.
        """
        if not self.is_in_flight(key):
            self.start(key, fetch())
        shared = self.in_flight[key]
        shared.waiters += 1
        try:
            result: Result = await asyncio.shield(shared.task)
            return result
        finally:
            shared.waiters -= 1
            # No request waits for the fetch any more, so it must not go on to load an origin.
            if not shared.waiters and not shared.task.done():
                shared.task.cancel()
                self.forget(key, shared.task)
            # The error of the fetch refers to this frame, and the fetch to its error.
            del shared

    def start(
        self, key: typing.Hashable, fetch: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Start a fetch as a task."""
        task = asyncio.get_running_loop().create_task(fetch)
        self.in_flight[key] = SharedFetch(task)
        task.add_done_callback(lambda done: self.on_done(key, done))

    def on_done(self, key: typing.Hashable, task: asyncio.Task[typing.Any]) -> None:
        """Forget a fetch that ended, and retrieve its exception: asyncio logs one that nobody retrieves."""
        self.forget(key, task)
        if not task.cancelled():
            task.exception()

    def forget(self, key: typing.Hashable, task: asyncio.Task[typing.Any]) -> None:
        """Forget a fetch, unless a newer fetch is in flight under the same key."""
        if key in self.in_flight and self.in_flight[key].task is task:
            del self.in_flight[key]
