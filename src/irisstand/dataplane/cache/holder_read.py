"""One read of an object through its holder: carries out the actions that the holder read policy decides."""

import asyncio
import collections.abc
import contextlib
import functools

from irisstand import errors
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import actions, events, holder_policy, policy

Read = collections.abc.Coroutine[object, object, objects.CachedObject]
FetchFromOrigin = collections.abc.Callable[[float], Read]
Policy = holder_policy.HolderReadPolicy[objects.CachedObject]
Event = holder_policy.Event[objects.CachedObject]


class HolderRead:
    """A read of an object by a call to its holder and, where the policy decides so, by a fetch without it.

    Args:
        holder: The holder's node name.
        call: The call to the holder, as a coroutine that was not started.
        fetch_from_origin: Fetches the object without the holder; it takes the timeout in seconds.
        check_holder: Returns whether an overdue holder is silent or declared failed.
    """

    def __init__(
        self,
        holder: str,
        call: Read,
        fetch_from_origin: FetchFromOrigin,
        check_holder: collections.abc.Callable[[], events.HolderOverdue],
    ) -> None:
        self.holder = holder
        self.call = call
        self.fetch_from_origin = fetch_from_origin
        self.check_holder = check_holder
        self.tasks: dict[str, asyncio.Task[objects.CachedObject]] = {}

    async def run(self, read_policy: Policy) -> objects.CachedObject:
        """Return the object from whichever read succeeds first, and cancel what is still in flight.

        Raises:
            errors.IrisError: The call to the holder or this node's own fetch raised it.
        """
        self.start(self.holder, self.call)
        try:
            perform = functools.partial(self.perform, read_policy)
            return policy.response_of(await policy.execute(read_policy, perform))
        finally:
            for task in self.tasks.values():
                # Retrieve the exception of a task that has ended, so that asyncio does not log it as lost.
                if not task.cancel() and not task.cancelled():
                    task.exception()

    def start(self, source: str, read: Read) -> None:
        """Start a read as a task; `source` is the holder's node name, or empty for this node's own fetch."""
        self.tasks[source] = asyncio.get_running_loop().create_task(read)

    async def perform(self, read_policy: Policy, action: holder_policy.HolderAction) -> Event:
        """Carry out one action of the policy, and return the event that ended it."""
        if isinstance(action, actions.FetchFromOrigin):
            self.start("", self.fetch_from_origin(read_policy.remaining()))
            return events.ORIGIN_FETCH_STARTED
        tasks = list(self.tasks.values())
        done, _ = await asyncio.wait(tasks, timeout=action.seconds, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            return self.check_holder()
        # The first of the finished tasks in the order of their start: a set has no fixed order, and simulated
        # runs must be repeatable.
        source = next(name for name, task in self.tasks.items() if task in done)
        task = self.tasks.pop(source)
        with contextlib.suppress(errors.IrisError):
            return events.ResponseReceived(task.result(), source)
        error = task.exception()
        assert isinstance(error, errors.IrisError), "task.result() above raises every other exception"
        error = error.without_frames()
        return events.HolderFailed(error) if source else events.AttemptFailed(error, "")
