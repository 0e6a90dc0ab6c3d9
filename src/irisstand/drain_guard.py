"""Ends what a node still waits for when its drain is nearly over, so that it is answered and not cut off."""

import asyncio
import collections.abc
import contextlib

from irisstand import errors

RETRY_AFTER_SECONDS = 0.1
Condition = collections.abc.Callable[[], bool]


class GuardedTask:
    """A task inside the guard, and when it may be ended."""

    def __init__(self, task: asyncio.Task[object] | None, is_unsent: Condition, may_end: Condition) -> None:
        self.task = task
        self.is_unsent = is_unsent
        self.may_end = may_end
        self.is_ended = False


class DrainGuard:
    """The waits of one node that the end of a drain turns into a refusal."""

    def __init__(self) -> None:
        # By entry, in the order of their start: a set would give another order in every run.
        self.guarded: dict[GuardedTask, None] = {}

    @contextlib.contextmanager
    def refuse_at_end(self, is_unsent: Condition, may_end: Condition) -> collections.abc.Iterator[None]:
        """Refuse what the block works on when the drain is nearly over.

        Args:
            is_unsent: Returns whether no other node or origin has been sent anything for it.
            may_end: Returns whether it may be refused all the same, at the very end. Not a write that an
                origin may have begun: a refusal says that it has not run.

        Raises:
            errors.DrainingError: The drain was nearly over.
        """
        entry = GuardedTask(asyncio.current_task(), is_unsent, may_end)
        self.guarded[entry] = None
        try:
            yield
        except asyncio.CancelledError:
            # As in asyncio.timeout: only a cancellation of this guard's own becomes an error.
            if entry.is_ended and entry.task is not None and entry.task.uncancel() <= 0:
                raise draining_error() from None
            raise
        finally:
            del self.guarded[entry]

    def refuse_unsent(self) -> None:
        """End all work of which nothing was sent yet."""
        self._end([entry for entry in self.guarded if entry.is_unsent()])

    def refuse_rest(self) -> None:
        """End all other work that may be ended."""
        self._end([entry for entry in self.guarded if entry.may_end()])

    @staticmethod
    def _end(entries: list[GuardedTask]) -> None:
        for entry in entries:
            if not entry.is_ended and entry.task is not None:
                entry.is_ended = True
                entry.task.cancel()


def draining_error() -> errors.DrainingError:
    """Return the refusal of a node that shuts down; another node can be asked at once."""
    return errors.DrainingError("this node is shutting down", retry_after=RETRY_AFTER_SECONDS)
