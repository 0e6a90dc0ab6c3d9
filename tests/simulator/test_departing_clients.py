"""Random days of clients that leave at any moment, on both data planes, under faults and planned restarts.

The rule: nothing of a request without a key reaches an origin once its client has left, and when all is quiet
again nothing is left in flight anywhere.
"""

import asyncio
import collections
import random

import cluster
import departing_clients
import pytest
from direct_edge import UPSTREAM

from irisstand.dataplane.nodes import edge
from irisstand.state import items

# For the cancel frame's way between two nodes.
TRAVEL_SECONDS = 0.1
QUIET_SECONDS = 6
VISITS = 400


class Record:
    """When the clients of requests left, and when requests reached origins, by the requests' names."""

    def __init__(self):
        self.left = {}
        self.reached = collections.defaultdict(list)

    def note_reached(self, name):
        self.reached[name].append(asyncio.get_running_loop().time())

    def note_left(self, name):
        self.left[name] = asyncio.get_running_loop().time()

    def late(self, allowed_seconds):
        """Requests that reached an origin longer after their clients had left, and by how much."""
        return {
            name: [moment - left for moment in self.reached[name] if moment > left + allowed_seconds]
            for name, left in self.left.items()
            if any(moment > left + allowed_seconds for moment in self.reached[name])
        }


# -- edges and shields -------------------------------------------------------------------------------------
class ShieldedDay:
    """Clients of edges whose origins are slow, while shields are killed, stopped and cut off from origins."""

    def __init__(self, day, seed):
        self.day, self.draw, self.record = day, random.Random(seed), Record()
        for origin in day.actors.origins:
            origin.answer = self.recorded(origin.answer)

    def recorded(self, answer):
        def recorded_answer(method, target, headers, body):
            if target != "/health":
                self.record.note_reached(target.partition("?")[2] or target)
            return answer(method, target, headers, body)

        return recorded_answer

    async def visit(self, number):
        node = self.day.cluster.nodes[f"edge-{self.draw.randrange(2) + 1}"]
        kind = self.draw.choice(("read", "write", "keyed"))
        body = b'{"number": "%s-%d"}' % (kind.encode(), number)
        headers = {"idempotency-key": f"key-{number}"} if kind == "keyed" else {}
        method, path, query = ("GET", f"/vacancies/{number}", "")
        if kind != "read":
            method, path, query = "POST", "/applications", f"n={number}"
        request = edge.Request(method, path, query, headers, body if kind != "read" else b"")
        task = node.actor.start(node.program.role_node.handle(request))
        patience = self.draw.choice((0.01, 0.05, 0.2, 0.5, 4.0))
        done, _ = await asyncio.wait([task], timeout=patience)
        if not done:
            task.cancel()
            if kind != "keyed":
                self.record.note_left(query or path)
            await asyncio.wait([task])
        if not task.cancelled():
            task.exception()

    async def disturb(self):
        day, draw = self.day, self.draw
        for origin in day.actors.origins:
            origin.delay = draw.choice((0.003, 0.1, 0.4, 1.2))
        shield = day.cluster.nodes[f"shield-{draw.randrange(5) + 1}"]
        match draw.choice(("kill", "stop", "cut", "heal", "origin")):
            case "kill" if shield.is_up:
                shield.kill(reset=draw.random() < 0.5)
                await shield.restart()
            case "stop" if shield.is_up:
                await shield.stop()
                await shield.restart()
            case "cut":
                day.cluster.network.partition([shield.placement.host], [draw.choice(day.actors.origins).host])
            case "heal":
                day.cluster.network.heal()
            case _:
                origin = draw.choice(day.actors.origins)
                origin.up = not origin.up

    async def play(self):
        visits = []
        for number in range(VISITS):
            visits.append(asyncio.create_task(self.visit(number)))
            await asyncio.sleep(self.draw.uniform(0.0, 0.08))
            if number % 40 == 20:
                await self.disturb()
        await asyncio.gather(*visits)
        self.day.cluster.network.heal()
        await asyncio.sleep(QUIET_SECONDS)

    def in_flight(self):
        """What is left on the shields: (counted, carried on, attempts)."""
        shields = [node.program for node in self.day.cluster.with_role("shield") if node.is_up]
        counted = sum(shield.context.in_flight for shield in shields)
        carried_on = sum(len(shield.context.carried_on) for shield in shields)
        return counted, carried_on, sum(len(shield.role_node.origin_client.attempts) for shield in shields)


@pytest.mark.parametrize("seed", range(3))
def test_nothing_goes_on_behind_shields_for_clients_that_left(seed):
    async def scene(day):
        clients = ShieldedDay(day, seed)
        await clients.play()
        return clients.record, clients.in_flight()

    record, in_flight = cluster.play(scene, seed + 1)
    assert len(record.left) > VISITS / 16
    assert record.late(TRAVEL_SECONDS) == {}
    assert in_flight == (0, 0, 0)


# -- nodes that reach origins by themselves ----------------------------------------------------------------
class DirectDay:
    """Clients of a direct node whose origins are slow, full, silent or not there, some under a limit."""

    def __init__(self, stage, seed):
        self.stage, self.draw, self.record = stage, random.Random(seed), Record()
        stage.origins.answer, self.answer = self.recorded, stage.origins.answer
        stage.node.respond = self.recorded

    async def recorded(self, key, headers, body):
        self.record.note_reached(headers.get("x-visit"))
        return await self.answer(key, headers, body)

    async def visit(self, number):
        name = str(number)
        path, method = self.draw.choice((("/reads/", "GET"), ("/objects/", "GET"), ("/writes/", "POST")))
        client = self.stage.start_request(f"{path}{name}", method, x_visit=name)
        done, _ = await asyncio.wait([client], timeout=self.draw.choice((0.0, 0.01, 0.05, 0.3, 4.0)))
        if not done:
            self.record.note_left(name)
            await self.stage.disconnect(client)

    def disturb(self):
        draw, scene = self.draw, self.stage.node
        self.stage.origins.seconds = draw.choice((0.003, 0.1, 0.4, 60.0))
        self.stage.origins.status = draw.choice((200, 200, 500))
        scene.refused = set(draw.choice(("", "", "a", "ab")))
        rate = draw.choice((None, None, 50.0))
        item = {**UPSTREAM, "version": scene.version_counter, "rate": rate}
        scene.put(items.CONFIGURATION, "upstream/s", {"version": scene.version_counter, "item": item})

    async def play(self):
        visits = []
        for number in range(VISITS):
            visits.append(asyncio.create_task(self.visit(number)))
            await asyncio.sleep(self.draw.uniform(0.0, 0.03))
            if number % 25 == 10:
                self.disturb()
        await asyncio.gather(*visits)
        await asyncio.sleep(QUIET_SECONDS)

    def in_flight(self):
        """What is left on the node: (counted, carried on, attempts, in flight at endpoints)."""
        part, context = self.stage.node.direct_node, self.stage.context
        at_endpoints = sum(len(endpoint.in_flight) for endpoint in part.endpoints.endpoints.values())
        return context.in_flight, len(context.carried_on), len(part.origins.attempts), at_endpoints


@pytest.mark.parametrize("seed", range(6))
def test_nothing_goes_on_at_a_direct_node_for_clients_that_left(seed):
    async def scene(stage):
        clients = DirectDay(stage, seed)
        await clients.play()
        return clients.record, clients.in_flight()

    record, in_flight = departing_clients.run_scenario(scene)
    assert len(record.left) > VISITS / 16
    assert record.late(0.0) == {}
    assert in_flight == (0, 0, 0, 0)
