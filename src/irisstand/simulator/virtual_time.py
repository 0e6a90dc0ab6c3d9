"""An event loop with virtual time: sleeping takes no real time, and the same seed gives the same run.

Each simulated process is an `Actor`. The context of each callback that its tasks schedule refers to the
actor, so that the loop can hold back the callbacks of a frozen process and drop those of a killed one.
"""

import asyncio
import collections.abc
import contextvars
import selectors
import typing

Result = typing.TypeVar("Result")
Callback = collections.abc.Callable[..., object]
Arguments = tuple[typing.Any, ...]

# The simulated process to which the running callback belongs; None in code of the test or the simulator.
ACTOR: contextvars.ContextVar["Actor | None"] = contextvars.ContextVar("actor", default=None)
# An actor that holds more references to tasks than this drops those to ended tasks.
KEPT_TASKS_LIMIT = 500
CANCELLATION_TIMEOUT_SECONDS = 10


class ParkedCallback(typing.NamedTuple):
    """A callback that became due while its process was frozen; `handles` holds its only handle."""

    handles: list[asyncio.Handle]
    callback: Callback
    arguments: Arguments
    context: contextvars.Context


class Actor:
    """A simulated process, whose callbacks the loop can hold back or drop.

    Attributes:
        frozen: Whether its callbacks are held back until it is thawed.
        dead: Whether its callbacks are dropped, since it was killed or shut down.
        pending_requests: Number of requests of clients and operators that wait for this process.
        parked: Callbacks that became due while it was frozen, in order.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.dead = False
        self.pending_requests = 0
        self.parked: list[ParkedCallback] = []
        self.tasks: list[asyncio.Task[typing.Any]] = []
        self.context = contextvars.Context()
        self.context.run(ACTOR.set, self)

    def start(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> asyncio.Task[Result]:
        """Run a coroutine as a task of this process."""
        return self.context.copy().run(asyncio.get_running_loop().create_task, coroutine)

    def keep(self, task: asyncio.Task[typing.Any]) -> None:
        """Keep a reference to a task: garbage collection would run `finally` blocks of a killed process."""
        if len(self.tasks) > KEPT_TASKS_LIMIT:
            self.tasks = [kept for kept in self.tasks if not kept.done()]
        self.tasks.append(task)


class IdleSelector(selectors.BaseSelector):
    """A selector that never reports input, and advances the time of its loop instead of waiting."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the virtual time of the loop by the timeout and return no events.

        Raises:
            RuntimeError: No callback is scheduled, so the wait would never end.
        """
        if timeout is None or self.loop is None:
            raise RuntimeError("deadlock: every simulated task waits, and no callback is scheduled")
        self.loop.current_time += max(0.0, timeout)
        return []

    def register(self, fileobj: typing.Any, events: int, data: typing.Any = None) -> selectors.SelectorKey:
        """Accept a file object and ignore it."""
        return selectors.SelectorKey(fileobj, 0, events, data)

    def unregister(self, fileobj: typing.Any) -> selectors.SelectorKey:
        """Accept a file object and ignore it."""
        return selectors.SelectorKey(fileobj, 0, 0, None)

    def modify(self, fileobj: typing.Any, events: int, data: typing.Any = None) -> selectors.SelectorKey:
        """Accept a file object and ignore it."""
        return selectors.SelectorKey(fileobj, 0, events, data)

    def get_key(self, fileobj: typing.Any) -> selectors.SelectorKey:
        """Raise KeyError, since no file object is ever registered."""
        raise KeyError(fileobj)

    def get_map(self) -> collections.abc.Mapping[typing.Any, selectors.SelectorKey]:
        """Return an empty mapping, since no file object is ever registered."""
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when no callback is ready to run.

    Attributes:
        current_time: The virtual time in seconds since the loop was made.
        ending: Whether the run is over; then callbacks of killed and frozen processes run too.
        unhandled_errors: Contexts that asyncio passed to the exception handler, such as exceptions of tasks
            that were never awaited.
    """

    def __init__(self) -> None:
        self.current_time = 0.0
        self.ending = False
        selector = IdleSelector()
        selector.loop = self
        super().__init__(selector)
        self.set_task_factory(self.make_task)
        self.unhandled_errors: list[dict[str, typing.Any]] = []
        self.set_exception_handler(lambda _, context: self.unhandled_errors.append(context))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.current_time

    def make_task(
        self, loop: asyncio.AbstractEventLoop, coroutine: typing.Any, **keywords: typing.Any
    ) -> asyncio.Task[typing.Any]:
        """Make a task, and keep a reference to it in the simulated process that runs now."""
        task = asyncio.Task(coroutine, loop=loop, **keywords)
        actor = ACTOR.get()
        if actor is not None:
            actor.keep(task)
        return task

    # The base class derives the arguments' types from the callback's; here they are only passed on.
    def call_soon(  # type: ignore[override]  # see above
        self, callback: Callback, *arguments: typing.Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback to run soon, as the simulated process that the context refers to."""
        context = context if context is not None else contextvars.copy_context()
        handles: list[asyncio.Handle] = []
        handle = super().call_soon(self.dispatch, handles, callback, arguments, context, context=context)
        handles.append(handle)
        return handle

    def call_at(  # type: ignore[override]  # as for call_soon
        self,
        when: float,
        callback: Callback,
        *arguments: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a virtual time, as the simulated process that the context refers to."""
        context = context if context is not None else contextvars.copy_context()
        handles: list[asyncio.Handle] = []
        handle = super().call_at(when, self.dispatch, handles, callback, arguments, context, context=context)
        handles.append(handle)
        return handle

    def dispatch(
        self,
        handles: list[asyncio.Handle],
        callback: Callback,
        arguments: Arguments,
        context: contextvars.Context,
    ) -> None:
        """Run a callback now, park it if its process is frozen, or drop it if its process is dead."""
        actor = ACTOR.get()
        if self.ending or actor is None or not (actor.dead or actor.frozen):
            callback(*arguments)
        elif actor.frozen and not actor.dead:
            actor.parked.append(ParkedCallback(handles, callback, arguments, context))

    def thaw(self, actor: Actor) -> None:
        """Resume a frozen process: the callbacks that became due while it was frozen run now, in order."""
        actor.frozen = False
        parked = actor.parked
        actor.parked = []
        for entry in parked:
            self.call_soon(self.run_parked, entry, context=entry.context)

    def run_parked(self, entry: ParkedCallback) -> None:
        """Run a callback of a thawed process unless it was cancelled while the process was frozen."""
        if not entry.handles[0].cancelled():
            entry.callback(*entry.arguments)


def running_loop() -> VirtualLoop:
    """Return the running event loop, which must be a loop of virtual time.

    Raises:
        RuntimeError: No loop runs, or the running one is not a `VirtualLoop`.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, VirtualLoop):
        raise RuntimeError("the running event loop is not a VirtualLoop")  # noqa: TRY004 - as asyncio without a loop
    return loop


def run(coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine in virtual time to its end, then cancel all tasks, also those of killed processes."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.ending = True
        remaining_tasks = asyncio.all_tasks(loop)
        for task in remaining_tasks:
            task.cancel()
        if remaining_tasks:
            loop.run_until_complete(asyncio.wait(remaining_tasks, timeout=CANCELLATION_TIMEOUT_SECONDS))
        asyncio.set_event_loop(None)
        loop.close()
