"""Clients that leave before they are answered, and origins that note which of their runs were cut off."""

import asyncio
import itertools
import types

import direct_edge

from irisstand.dataplane.http import listener
from irisstand.http1 import request_head
from irisstand.simulator import virtual_time

# Sanic knows its applications by name for as long as the process lives.
NUMBERS = itertools.count(1)


class ClientRequest:
    """What the listener takes of sanic's request: one that has come whole."""

    def __init__(self, path, method="GET", **headers):
        self.method = method
        self.raw_url = path.encode()
        given = {"x-request-id": f"r{next(NUMBERS)}"}
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = request_head.RequestHead("h", given)
        self.stream = types.SimpleNamespace(request_body=None, keep_alive=True, head=head)
        self.transport = types.SimpleNamespace(resume_reading=lambda: None)


class Run:
    """One run of an origin."""

    def __init__(self, instance):
        self.instance = instance
        self.started_at = asyncio.get_running_loop().time()
        self.ended_at = None
        self.is_cut = False


class WorkingOrigins:
    """Origins that work for `seconds` on each request, and drop one whose connection is closed."""

    def __init__(self, stage, seconds=1.5, status=200):
        self.seconds, self.status, self.runs = seconds, status, []
        stage.play = self.answer

    async def answer(self, key, headers, body):
        run = Run(key)
        self.runs.append(run)
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            run.is_cut = True
            raise
        finally:
            run.ended_at = asyncio.get_running_loop().time()
        return direct_edge.whole(headers.get("x-request-id", ""), status=self.status)

    def cut(self):
        return [run.is_cut for run in self.runs]


class Stage:
    """One node with a listener for clients, in virtual time."""

    def __init__(self, address=("127.0.0.1", 0), **fields):
        settings = direct_edge.SETTINGS._replace(name=f"departures-{next(NUMBERS)}")
        self.scene = direct_edge.Scene(settings=settings, **fields)
        self.scene.put("ledger", "rate-parts", {"units": {settings.name: 1000}})
        self.context = self.scene.context
        self.origins = WorkingOrigins(self.scene)
        self.listener = listener.ClientListener(self.context, self.scene.part, address)

    def arrive(self, path, method="GET", **headers):
        """A client's request, as the task in which sanic runs the handler; it is cancelled as sanic does."""
        request = ClientRequest(path, method, **headers)
        return asyncio.get_running_loop().create_task(self.listener.serve(request))

    async def leave(self, client):
        """End the client's connection."""
        client.cancel()
        await asyncio.wait([client])

    async def visit(self, path, seconds, method="GET"):
        """Let a client ask, and leave after some seconds."""
        client = self.arrive(path, method)
        await asyncio.sleep(seconds)
        await self.leave(client)


def play(scene, **fields):
    """Run `scene(stage)` in virtual time."""

    async def run():
        return await scene(Stage(**fields))

    return virtual_time.run(run())
