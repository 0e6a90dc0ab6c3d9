"""Answers what a node still works on when its drain is nearly over, so that no connection ends unanswered."""

import asyncio
import collections.abc
import contextlib
import enum

from irisstand import errors

RETRY_AFTER_SECONDS = 0.1


class WorkState(enum.Enum):
    """How far a piece of work is, which decides what may be answered in its place."""

    # No other node or origin has been sent anything for it.
    UNSENT = enum.auto()
    # It may be cut off: it has not run, or may run more than once.
    WITHDRAWABLE = enum.auto()
    # An origin may have begun what may run once only. A refusal would say that it has not run.
    BEGUN = enum.auto()
    # Its result is there.
    FINISHED = enum.auto()


GetWorkState = collections.abc.Callable[[], WorkState]


class GuardedTask:
    """A task inside the guard, how far its work is, and what it is ended with."""

    def __init__(self, task: asyncio.Task[object] | None, get_state: GetWorkState) -> None:
        self.task = task
        self.get_state = get_state
        self.error: errors.IrisError | None = None

    def end(self, error: errors.IrisError) -> None:
        """End the task, once, with an error."""
        if self.error is None and self.task is not None:
            self.error = error
            self.task.cancel()


class DrainGuard:
    """The waits of one node that the end of a drain turns into an answer."""

    def __init__(self) -> None:
        # By entry, in the order of their start: a set would give another order in every run.
        self.guarded: dict[GuardedTask, None] = {}

    @contextlib.contextmanager
    def fail_at_end(self, get_state: GetWorkState) -> collections.abc.Iterator[None]:
        """Answer what the block works on when the drain is nearly over.

        Args:
            get_state: Returns how far the work is.

        Raises:
            errors.DrainingError: The drain was nearly over, and the work has not run or may run again.
            errors.OutcomeUnknownError: The drain was over, and an origin may have run the work.
        """
        entry = GuardedTask(asyncio.current_task(), get_state)
        self.guarded[entry] = None
        try:
            yield
        except asyncio.CancelledError:
            # As in asyncio.timeout: only a cancellation of this guard's own becomes an error.
            if entry.error is not None and entry.task is not None and entry.task.uncancel() <= 0:
                raise entry.error from None
            raise
        finally:
            del self.guarded[entry]

    def refuse_unsent(self) -> None:
        """End all work of which nothing was sent yet."""
        for entry in list(self.guarded):
            if entry.get_state() is WorkState.UNSENT:
                entry.end(make_draining_error())

    def end_unfinished(self) -> None:
        """End all other work but what is finished."""
        for entry in list(self.guarded):
            match entry.get_state():
                case WorkState.UNSENT | WorkState.WITHDRAWABLE:
                    entry.end(make_draining_error())
                case WorkState.BEGUN:
                    entry.end(errors.OutcomeUnknownError("this node stops while an origin is at work on it"))
                case WorkState.FINISHED:
                    pass


def make_draining_error() -> errors.DrainingError:
    """Return the refusal of a node that shuts down; another node can be asked at once."""
    return errors.DrainingError("this node is shutting down", retry_after=RETRY_AFTER_SECONDS)
