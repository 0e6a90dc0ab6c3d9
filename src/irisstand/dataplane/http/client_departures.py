"""Clients that leave before they are answered: how that is noticed, and counted.

Sanic cancels the handler of a request when the client's connection ends, whoever ended it.
"""

import asyncio
import collections.abc
import contextlib
import typing

import sanic.request

from irisstand import counters


@contextlib.contextmanager
def count_departure(counters: counters.Counters) -> collections.abc.Iterator[None]:
    """Count a client that leaves while the block answers it."""
    try:
        yield
    except asyncio.CancelledError:
        counters.add("clients_left")
        raise


def is_cancelled() -> bool:
    """Return whether the handler itself is cancelled, and not only something that it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def resume_reading(request: sanic.request.Request) -> None:
    """Read on from the client of a request that has come whole, as its departure is noticed by reading.

    Sanic stops reading when a buffer is full, and begins again only when it wants more of a request.
    """
    typing.cast(typing.Any, request.transport).resume_reading()
