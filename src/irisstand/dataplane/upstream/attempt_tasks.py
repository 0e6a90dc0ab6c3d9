"""Attempts as tasks, and what becomes of one when nobody waits for its request any more.

An attempt belongs to a request. When the request is cancelled, because its client left or because the node
that had sent it withdrew it, its policy says for each attempt in flight whether it is withdrawn or carried
on; see docs/departures.md.
"""

import asyncio
import collections.abc
import typing

from irisstand import node_context
from irisstand.dataplane.retry import policy

Result = typing.TypeVar("Result")


class Attempt(typing.Protocol):
    """What is known of an attempt from outside its task."""

    @property
    def service(self) -> str:
        """The name of the service that is asked."""
        ...

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have left for the origin."""
        ...


class AttemptTasks:
    """The attempts that one node has in flight."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.running: set[asyncio.Task[typing.Any]] = set()

    def __len__(self) -> int:
        """Return how many attempts are in flight."""
        return len(self.running)

    def start(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> asyncio.Task[Result]:
        """Begin an attempt as a task of its own."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    def give_up(
        self, task: asyncio.Task[typing.Any], attempt: Attempt, retry_policy: policy.DeadlinePolicy
    ) -> None:
        """Withdraw an attempt whose request was cancelled, or carry it on, as the request's policy says.

        One that is carried on counts as in flight, so that a shutdown waits for it.
        """
        if task.done():
            return
        if retry_policy.may_withdraw(attempt.may_have_sent):
            self.context.counters.add("attempts_withdrawn", service=attempt.service)
            task.cancel()
            return
        self.context.counters.add("attempts_carried_on", service=attempt.service)
        self.context.count_until_done(task)
