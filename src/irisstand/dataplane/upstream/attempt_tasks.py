"""Runs attempts as tasks, and withdraws or completes them when their request is cancelled.

An attempt belongs to a request. The request is cancelled when its client disconnects or when the node that
forwarded it withdraws it. Its retry policy then decides for each attempt in flight whether it is withdrawn or
carried on to its end; see docs/departures.md.
"""

import asyncio
import collections.abc
import typing

from irisstand import node_context
from irisstand.dataplane.retry import policy

Result = typing.TypeVar("Result")


class Attempt(typing.Protocol):
    """The properties of an attempt that are read from outside its task."""

    @property
    def service(self) -> str:
        """The name of the service that the request is sent to."""
        ...

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have been sent to the origin."""
        ...

    @property
    def has_whole_request(self) -> bool:
        """Whether nothing more of the request has to come from its client."""
        ...


class AttemptTasks:
    """The tasks of the attempts that a node has in flight."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.running: set[asyncio.Task[typing.Any]] = set()

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self.running)

    def start(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> asyncio.Task[Result]:
        """Start an attempt in a new task and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    def give_up(
        self, task: asyncio.Task[typing.Any], attempt: Attempt, retry_policy: policy.DeadlinePolicy
    ) -> None:
        """Withdraw an attempt whose request was cancelled, or let it run on, as the retry policy decides.

        An attempt that runs on counts as in flight, so that a shutdown waits for its end.
        """
        if task.done():
            return
        # The rest of an incomplete request can't come any more, so that no origin can answer it.
        if not attempt.has_whole_request or retry_policy.may_withdraw(attempt.may_have_sent):
            self.context.counters.add("attempts_withdrawn", service=attempt.service)
            task.cancel()
            return
        self.context.counters.add("attempts_carried_on", service=attempt.service)
        self.context.count_until_done(task)
