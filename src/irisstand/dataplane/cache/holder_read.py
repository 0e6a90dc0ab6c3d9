"""One read through an object holder: carries out what the policy decides, with the call and an own fetch."""

import asyncio
import collections.abc
import contextlib
import functools

from irisstand import errors
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import actions, events, holder_policy, policy

Read = collections.abc.Coroutine[object, object, objects.CachedObject]
FetchOwn = collections.abc.Callable[[float], Read]
Policy = holder_policy.HolderReadPolicy[objects.CachedObject]
Event = holder_policy.Event[objects.CachedObject]


class HolderRead:
    """A read that a holder was asked for.

    Args:
        holder: The holder's node name.
        call: The call to the holder.
        fetch_own: Fetches the object without the holder, within some seconds.
        check_holder: Tells how the holder is, once it is overdue.
    """

    def __init__(
        self,
        holder: str,
        call: Read,
        fetch_own: FetchOwn,
        check_holder: collections.abc.Callable[[], events.HolderOverdue],
    ) -> None:
        self.holder = holder
        self.call = call
        self.fetch_own = fetch_own
        self.check_holder = check_holder
        self.tasks: dict[str, asyncio.Task[objects.CachedObject]] = {}

    async def run(self, read_policy: Policy) -> objects.CachedObject:
        """Return the object; what is still in flight then is withdrawn.

        Raises:
            errors.IrisError: What the holder or this node's own fetch raised.
        """
        self.start(self.holder, self.call)
        try:
            perform = functools.partial(self.perform, read_policy)
            return policy.response_of(await policy.execute(read_policy, perform))
        finally:
            for task in self.tasks.values():
                # What has ended meanwhile counts as retrieved.
                if not task.cancel() and not task.cancelled():
                    task.exception()

    def start(self, source: str, read: Read) -> None:
        """Begin a read as a task of its own, under the name of where it reads."""
        self.tasks[source] = asyncio.get_running_loop().create_task(read)

    async def perform(self, read_policy: Policy, action: holder_policy.HolderAction) -> Event:
        """Carry out one action of the policy."""
        if isinstance(action, actions.FetchOwn):
            self.start("", self.fetch_own(read_policy.remaining()))
            return events.OWN_FETCH_STARTED
        tasks = list(self.tasks.values())
        done, _ = await asyncio.wait(tasks, timeout=action.seconds, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            return self.check_holder()
        # In the order of their start, so that a run can be repeated.
        source = next(name for name, task in self.tasks.items() if task in done)
        task = self.tasks.pop(source)
        with contextlib.suppress(errors.IrisError):
            return events.ResponseReceived(task.result(), source)
        error = task.exception()
        assert isinstance(error, errors.IrisError), "anything else is raised above"
        return events.HolderFailed(error) if source else events.AttemptFailed(error, "")
