"""An event loop with virtual time: nobody waits, and the same seed gives the same run.

Each simulated process is an `Actor`. Whatever is scheduled by its tasks carries it along in the context, so
that the loop can hold back the callbacks of a frozen process and drop those of a killed one.
"""

import asyncio
import collections.abc
import contextvars
import selectors
import typing

Result = typing.TypeVar("Result")
Callback = collections.abc.Callable[..., object]
Arguments = tuple[typing.Any, ...]

# The simulated process that runs now; None: the test or the simulation itself.
ACTOR: contextvars.ContextVar["Actor | None"] = contextvars.ContextVar("actor", default=None)
# References to ended tasks are dropped when a process has so many.
KEPT_TASKS_LIMIT = 500
CANCELLATION_TIMEOUT_SECONDS = 10


class ParkedCallback(typing.NamedTuple):
    """A callback that came up while its process was frozen; `handles` holds its handle."""

    handles: list[asyncio.Handle]
    callback: Callback
    arguments: Arguments
    context: contextvars.Context


class Actor:
    """A simulated process as the loop sees it.

    Attributes:
        frozen: Its callbacks are held back.
        dead: Its callbacks are dropped.
        asks: Number of requests from outside that wait for this process.
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
        """Run a coroutine as this process."""
        return self.context.copy().run(asyncio.get_running_loop().create_task, coroutine)

    def keep(self, task: asyncio.Task[typing.Any]) -> None:
        """Keep a reference: a killed process's tasks, if collected, would run their clean-up code."""
        if len(self.tasks) > KEPT_TASKS_LIMIT:
            self.tasks = [kept for kept in self.tasks if not kept.done()]
        self.tasks.append(task)


class IdleSelector(selectors.BaseSelector):
    """Reports no input; waiting only advances the loop's virtual time."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by the timeout.

        Raises:
            RuntimeError: Nothing is scheduled, so the wait would never end.
        """
        if timeout is None or self.loop is None:
            raise RuntimeError("every simulated task waits for something that never comes")
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
        """Know no file object."""
        raise KeyError(fileobj)

    def get_map(self) -> collections.abc.Mapping[typing.Any, selectors.SelectorKey]:
        """Return no file objects."""
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when every task waits.

    Attributes:
        moment: The virtual time in seconds.
        ending: Whether the run is over; all callbacks run then, those of killed processes too.
        faults: What tasks raised that nobody awaited.
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
        """Make a task, and keep it with the process that runs now."""
        task = asyncio.Task(coroutine, loop=loop, **keywords)
        actor = ACTOR.get()
        if actor is not None:
            actor.keep(task)
        return task

    # The base class types the arguments by the callback; here they are only passed on.
    def call_soon(  # type: ignore[override]  # see above
        self, callback: Callback, *arguments: typing.Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback as the process of the context."""
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
        """Schedule a callback at a virtual time as the process of the context."""
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
        """Run a callback, or park it if its process is frozen, or drop it if that is dead."""
        actor = ACTOR.get()
        if self.ending or actor is None or not (actor.dead or actor.frozen):
            callback(*arguments)
        elif actor.frozen and not actor.dead:
            actor.parked.append(ParkedCallback(handles, callback, arguments, context))

    def thaw(self, actor: Actor) -> None:
        """Let a frozen process go on: what came up meanwhile runs now, in its order."""
        actor.frozen = False
        parked = actor.parked
        actor.parked = []
        for entry in parked:
            self.call_soon(self.run_parked, entry, context=entry.context)

    def run_parked(self, entry: ParkedCallback) -> None:
        """Run a parked callback unless it was cancelled meanwhile."""
        if not entry.handles[0].cancelled():
            entry.callback(*entry.arguments)


def running_loop() -> VirtualLoop:
    """Return the running virtual loop.

    Raises:
        RuntimeError: Another kind of loop runs.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, VirtualLoop):
        raise RuntimeError("this needs the loop of virtual time")  # noqa: TRY004 - as asyncio without a loop
    return loop


def run(coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run to the end in virtual time, then end all tasks, those of killed processes too."""
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
