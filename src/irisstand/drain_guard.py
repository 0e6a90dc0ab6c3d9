"""Ends unfinished work near the end of a drain with an error response, so that no client stays unanswered."""

import asyncio
import collections.abc
import contextlib
import enum

from irisstand import errors

RETRY_AFTER_SECONDS = 0.1


class WorkState(enum.Enum):
    """How far the work on a request has come; this decides with which error a drain may end the work."""

    # Nothing has been sent to another node or to an origin for this work.
    UNSENT = enum.auto()
    # The work may be cancelled: it has not run, or it may safely run more than once.
    WITHDRAWABLE = enum.auto()
    # An origin may have started work that must run at most once; a refusal would falsely say it has not run.
    BEGUN = enum.auto()
    # The result of the work is available.
    FINISHED = enum.auto()


# Returns how far a piece of work has come.
GetWorkState = collections.abc.Callable[[], WorkState]


class GuardedTask:
    """A task within `fail_at_end`, with the state of its work and the error that ends it.

    Attributes:
        task: The task to cancel; None outside of a task.
        get_state: Returns how far the work of the task has come.
        error: The error that the guard ended the task with; None while the guard lets it run.
    """

    def __init__(self, task: asyncio.Task[object] | None, get_state: GetWorkState) -> None:
        self.task = task
        self.get_state = get_state
        self.error: errors.IrisError | None = None

    def end(self, error: errors.IrisError) -> None:
        """Cancel the task so that it fails with this error, unless the guard has already cancelled it."""
        if self.error is None and self.task is not None:
            self.error = error
            self.task.cancel()


class DrainGuard:
    """Keeps the guarded tasks of one node, and lets them fail with an error at the end of a drain.

    Attributes:
        guarded: The tasks within `fail_at_end`, as keys.
    """

    def __init__(self) -> None:
        # A dict keeps the tasks in the order of their start; the order of a set differs from run to run.
        self.guarded: dict[GuardedTask, None] = {}

    @contextlib.contextmanager
    def fail_at_end(self, get_state: GetWorkState) -> collections.abc.Iterator[None]:
        """Let the enclosed `with` block fail with an error when the node's drain ends before the block does.

        Args:
            get_state: Returns how far the work of the block has come.

        Raises:
            errors.DrainingError: The drain has nearly ended, and the work has not run or may run again.
            errors.OutcomeUnknownError: The drain has ended, and an origin may have run the work.
        """
        entry = GuardedTask(asyncio.current_task(), get_state)
        self.guarded[entry] = None
        try:
            yield
        except asyncio.CancelledError:
            # As in asyncio.timeout, only a cancellation by this guard becomes an error; others propagate.
            if entry.error is not None and entry.task is not None and entry.task.uncancel() <= 0:
                raise entry.error.copy() from None
            raise
        finally:
            del self.guarded[entry]

    def refuse_unsent(self) -> None:
        """End all guarded tasks whose work has not been sent to another node or an origin yet."""
        for entry in list(self.guarded):
            if entry.get_state() is WorkState.UNSENT:
                entry.end(make_draining_error())

    def end_unfinished(self) -> None:
        """End all guarded tasks whose work is not finished, with the error that fits how far it has come."""
        for entry in list(self.guarded):
            match entry.get_state():
                case WorkState.UNSENT | WorkState.WITHDRAWABLE:
                    entry.end(make_draining_error())
                case WorkState.BEGUN:
                    entry.end(
                        errors.OutcomeUnknownError(
                            "this node stops while an origin may still process the request"
                        )
                    )
                case WorkState.FINISHED:
                    pass


def make_draining_error() -> errors.DrainingError:
    """Return the error with which a node that shuts down refuses work; another node can be asked at once."""
    return errors.DrainingError("this node is shutting down", retry_after=RETRY_AFTER_SECONDS)
