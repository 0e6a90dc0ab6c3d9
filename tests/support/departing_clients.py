"""Clients that disconnect before the response, and origins that record which of their runs were cancelled."""

import asyncio
import itertools
import types

import direct_edge

from irisstand.dataplane.http import listener
from irisstand.http1 import request_head
from irisstand.simulator import virtual_time

# Names of applications must be unique: sanic keeps each application by its name until the process ends.
NUMBERS = itertools.count(1)


class ClientRequest:
    """The attributes of a sanic request that the listener reads; the request has arrived completely."""

    def __init__(self, path, method="GET", **headers):
        self.method = method
        self.raw_url = path.encode()
        given = {"x-request-id": f"r{next(NUMBERS)}"}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = request_head.RequestHead("h", given)
        self.stream = types.SimpleNamespace(request_body=None, keep_alive=True, head=head)
        self.transport = types.SimpleNamespace(resume_reading=lambda: None)


class OriginRun:
    """The processing of one request at an origin."""

    def __init__(self, instance):
        self.instance = instance
        self.started_at = asyncio.get_running_loop().time()
        self.ended_at = None
        self.is_cancelled = False


class SlowOrigins:
    """Origins that work for `seconds` on each request, and cancel the work when the connection is closed."""

    def __init__(self, harness, seconds=1.5, status=200):
        self.seconds, self.status, self.runs = seconds, status, []
        harness.respond = self.answer

    async def answer(self, key, headers, body):
        run = OriginRun(key)
        self.runs.append(run)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            run.is_cancelled = True
            raise
        finally:
            run.ended_at = asyncio.get_running_loop().time()
        return direct_edge.complete_answer(headers.get("x-request-id", ""), status=self.status)

    def cancelled(self):
        return [run.is_cancelled for run in self.runs]


class ListenerHarness:
    """One node with a listener for clients, whose requests are made without sockets."""

    def __init__(self, address=("127.0.0.1", 0), **fields):
        settings = direct_edge.SETTINGS._replace(name=f"departures-{next(NUMBERS)}")
        self.node = direct_edge.DirectNodeHarness(settings=settings, **fields)
        self.node.put("ledger", "rate-parts", {"units": {settings.name: 1000}})
        self.context = self.node.context
        self.origins = SlowOrigins(self.node)
        self.listener = listener.ClientListener(self.context, self.node.direct_node, address)

    def start_request(self, path, method="GET", **headers):
        """Start a client's request, and return the task that runs the handler, as sanic starts one."""
        request = ClientRequest(path, method, **headers)
        return asyncio.get_running_loop().create_task(self.listener.serve(request))

    async def disconnect(self, client):
        """Close the client's connection, which cancels the task of its request."""
        client.cancel()
        await asyncio.wait([client])

    async def request_and_disconnect(self, path, seconds, method="GET"):
        """Start a client's request, and close the client's connection after `seconds`."""
        client = self.start_request(path, method)
        await asyncio.sleep(seconds)
        await self.disconnect(client)


def run_scenario(scenario, **fields):
    """Run `scenario(harness)` in virtual time, with a new `ListenerHarness`."""

    async def run():
        return await scenario(ListenerHarness(**fields))

    return virtual_time.run(run())
