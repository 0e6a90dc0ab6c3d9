"""Opens network connections to origins."""

import asyncio
import collections.abc

from irisstand import resource_budget
from irisstand.dataplane.upstream import exchange, response_reports

Connect = collections.abc.Callable[[str, int], collections.abc.Awaitable[exchange.Exchange]]


def connector(
    id_header: str,
    budget: resource_budget.ResourceBudget | None = None,
    report: response_reports.Report = response_reports.ignore,
) -> Connect:
    """Return a function that opens connections on which responses bear the request's id in `id_header`.

    Args:
        id_header: The header with the id.
        budget: The budget in which the bodies of the responses count; None if they do not.
        report: Gets the responses that are not taken.
    """

    async def connect(host: str, port: int) -> exchange.Exchange:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: exchange.Exchange(id_header, budget, report), host, port
        )
        return connection

    return connect
