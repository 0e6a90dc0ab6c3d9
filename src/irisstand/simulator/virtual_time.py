"""An event loop with virtual time: nobody waits, and the same seed gives the same run.

Each simulated process is an Actor. Whatever is scheduled from its tasks carries it along in the context, so
the loop can hold back the callbacks of a frozen process and drop those of a killed one.
"""

import asyncio
import collections.abc
import contextvars
import selectors
import typing

ACTOR: contextvars.ContextVar["Actor | None"] = contextvars.ContextVar("actor", default=None)


class Actor:
    """A simulated process as the loop sees it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.frozen = False
        self.dead = False
        # What clients and operators wait for from this very process.
        self.asks = 0
        self.parked: list[tuple] = []
        self.tasks: list[asyncio.Task] = []
        self.context = contextvars.Context()
        self.context.run(ACTOR.set, self)

    def start(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Run a coroutine as this process."""
        return self.context.copy().run(asyncio.get_running_loop().create_task, coroutine)


class IdleSelector(selectors.BaseSelector):
    """Nothing ever comes from outside; a wait only moves the virtual time on."""

    def __init__(self) -> None:
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("every simulated task waits for something that never comes")
        self.loop.moment += max(0.0, timeout)
        return []

    def register(self, fileobj: typing.Any, events: int, data: typing.Any = None) -> selectors.SelectorKey:
        return selectors.SelectorKey(fileobj, 0, events, data)

    def unregister(self, fileobj: typing.Any) -> selectors.SelectorKey:
        return selectors.SelectorKey(fileobj, 0, 0, None)

    def modify(self, fileobj: typing.Any, events: int, data: typing.Any = None) -> selectors.SelectorKey:
        return selectors.SelectorKey(fileobj, 0, events, data)

    def get_key(self, fileobj: typing.Any) -> selectors.SelectorKey:
        raise KeyError(fileobj)

    def get_map(self) -> collections.abc.Mapping:
        return {}


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.moment = 0.0
        self.ending = False
        selector = IdleSelector()
        selector.loop = self
        super().__init__(selector)
        self.set_task_factory(self.make_task)
        self.faults: list[dict] = []
        self.set_exception_handler(lambda _, context: self.faults.append(context))

    def time(self) -> float:
        return self.moment

    def make_task(
        self, loop: asyncio.AbstractEventLoop, coroutine: typing.Any, **keywords: typing.Any
    ) -> asyncio.Task:
        task = asyncio.Task(coroutine, loop=loop, **keywords)
        actor = ACTOR.get()
        # A killed process's tasks are kept, or their clean-up would run as if it had ended in order.
        if actor is not None:
            actor.tasks = (
                [kept for kept in actor.tasks if not kept.done()] if len(actor.tasks) > 500 else actor.tasks
            )
            actor.tasks.append(task)
        return task

    def call_soon(
        self, callback: typing.Any, *arguments: typing.Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        context = context if context is not None else contextvars.copy_context()
        cell: list = []
        handle = super().call_soon(self.gate, cell, callback, arguments, context, context=context)
        cell.append(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: typing.Any,
        *arguments: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        context = context if context is not None else contextvars.copy_context()
        cell: list = []
        handle = super().call_at(when, self.gate, cell, callback, arguments, context, context=context)
        cell.append(handle)
        return handle

    def gate(self, cell: list, callback: typing.Any, arguments: tuple, context: contextvars.Context) -> None:
        actor = ACTOR.get()
        if self.ending or actor is None or not (actor.dead or actor.frozen):
            callback(*arguments)
        elif actor.frozen and not actor.dead:
            actor.parked.append((cell, callback, arguments, context))

    def thaw(self, actor: Actor) -> None:
        """What came up while the process was frozen happens now, in its order."""
        actor.frozen = False
        parked, actor.parked = actor.parked, []
        for cell, callback, arguments, context in parked:
            self.call_soon(self.late, cell, callback, arguments, context=context)

    def late(self, cell: list, callback: typing.Any, arguments: tuple) -> None:
        if not cell[0].cancelled():
            callback(*arguments)


def run(coroutine: collections.abc.Coroutine) -> typing.Any:
    """Run to the end in virtual time, then end all tasks, those of killed processes too."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.ending = True
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=10))
        asyncio.set_event_loop(None)
        loop.close()
