"""Detects and counts clients that disconnect before they get their response.

Sanic cancels the handler of a request when the client's connection ends, whichever end closed it.
"""

import asyncio
import collections.abc
import contextlib
import typing

import sanic.request

from irisstand import counters


@contextlib.contextmanager
def count_departure(counters: counters.Counters) -> collections.abc.Iterator[None]:
    """Count a client that disconnects while the block handles its request."""
    try:
        yield
    except asyncio.CancelledError:
        counters.add("clients_left")
        raise


def is_cancelled() -> bool:
    """Return whether the request's handler itself was cancelled, and not only a task that it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def resume_reading(request: sanic.request.Request) -> None:
    """Resume reading from the client of a complete request: only reading detects that it disconnects.

    Sanic stops reading when its buffer is full, and resumes only when it needs more of a request.
    """
    typing.cast(typing.Any, request.transport).resume_reading()
