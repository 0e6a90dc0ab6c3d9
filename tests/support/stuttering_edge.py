"""A direct edge in virtual time whose origins answer some requests twice, the second time late."""

import asyncio
import itertools

import direct_edge

from irisstand.dataplane.upstream import exchange, response_reports
from irisstand.emulators import hostile_origin, object_records, stuttering_origin
from irisstand.simulator import virtual_time
from irisstand.state import items

WORK_SECONDS = 0.1


class StutteringEdge(direct_edge.DirectNodeHarness):
    """An edge with one origin; after each response, its origin sends the surplus responses `surplus`.

    Attributes:
        records: What the origin has run and answered.
        surplus: The surplus responses that follow each response.
        origin_connections: The origin's ends of all connections.
    """

    def __init__(self, surplus=(), settings=direct_edge.SETTINGS, origins="a"):
        self.records = object_records.ObjectRecords()
        self.surplus = list(surplus)
        self.origin_connections = []
        self.origin_keys = origins
        self.purges = itertools.count(1)
        super().__init__(settings=settings)

    def origin(self, key, **fields):
        if key in self.origin_keys:
            super().origin(key, **fields)

    async def connect(self, host, port):
        self.connections[chr(int(host.rpartition(".")[2]))] += 1
        report = response_reports.recorder(self.context.counters)
        connection = exchange.Exchange("x-request-id", report=report)
        conduct = stuttering_origin.Conduct(lambda _: WORK_SECONDS, lambda _: self.surplus)
        end = stuttering_origin.StutteringOrigin(self.records, conduct)
        self.origin_connections.append(end)
        hostile_origin.connect_in_memory(connection, end)
        return connection

    def purge(self, path):
        """Replace an object, and purge it."""
        self.records.replace(path, self.context.clock.now())
        self.put(items.LEDGER, f"purge/path/h{path}", {"purge": next(self.purges)})

    async def ask_while_purged(self, path, request_id):
        """Ask for an object that is purged while it is fetched."""
        asking = asyncio.create_task(self.ask(path, request_id=request_id))
        await asyncio.sleep(WORK_SECONDS / 2)
        self.purge(path)
        return await asking


async def pause():
    """Wait until the surplus responses to the requests before have arrived."""
    await asyncio.sleep(WORK_SECONDS)


def run_scenario(scenario, *surplus, **fields):
    """Run `scenario(edge)` in virtual time, with a new `StutteringEdge`."""

    async def run():
        return await scenario(StutteringEdge(surplus, **fields))

    return virtual_time.run(run())
