"""Makes visible that clients leave before they are answered.

Sanic cancels the handler of a request when the client's connection ends, whoever ended it.
"""

import asyncio
import collections.abc
import contextlib

from irisstand import counters


@contextlib.contextmanager
def counted(counters: counters.Counters) -> collections.abc.Iterator[None]:
    """Count a client that leaves while the block answers it."""
    try:
        yield
    except asyncio.CancelledError:
        counters.add("clients_left")
        raise
