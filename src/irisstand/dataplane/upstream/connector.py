"""Opens network connections to origins."""

import asyncio
import collections.abc

from irisstand import resource_budget
from irisstand.dataplane.upstream import exchange

Connect = collections.abc.Callable[[str, int], collections.abc.Awaitable[exchange.Exchange]]


def connector(id_header: str, budget: resource_budget.ResourceBudget | None = None) -> Connect:
    """Return a function that opens connections on which responses bear the request's id in `id_header`.

    The bodies of the responses count in the budget, if there is one.
    """

    async def connect(host: str, port: int) -> exchange.Exchange:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: exchange.Exchange(id_header, budget), host, port)
        return connection

    return connect
