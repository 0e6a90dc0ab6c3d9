"""Random clients that disconnect at any time, behind shields and at a direct node, under faults and restarts.

A request without an idempotency key must not reach an origin after its client has left, and once all clients
have left and faults are over no request may remain in flight anywhere.
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

# Time for the frame that cancels a request to travel from an edge to a shield.
CANCEL_DELAY_SECONDS = 0.1
QUIET_SECONDS = 6
REQUESTS = 400


class RequestTimes:
    """Times at which clients left and at which their requests reached origins, by the name of the request."""

    def __init__(self):
        self.departed_at = {}
        self.reached = collections.defaultdict(list)

    def add_arrival(self, name):
        self.reached[name].append(asyncio.get_running_loop().time())

    def add_departure(self, name):
        self.departed_at[name] = asyncio.get_running_loop().time()

    def late_requests(self, allowed_seconds):
        """Return requests that reached origins too long after their clients left, and how long after."""
        return {
            name: [
                reached_at - departed_at
                for reached_at in self.reached[name]
                if reached_at > departed_at + allowed_seconds
            ]
            for name, departed_at in self.departed_at.items()
            if any(reached_at > departed_at + allowed_seconds for reached_at in self.reached[name])
        }


# -- edges and shields -------------------------------------------------------------------------------------
class ShieldedClients:
    """Clients of edges with slow origins, while shields are killed, stopped or partitioned from origins."""

    def __init__(self, day, seed):
        self.day, self.randomness, self.times = day, random.Random(seed), RequestTimes()
        for origin in day.actors.origins:
            origin.answer = self.with_arrivals(origin.answer)

    def with_arrivals(self, answer):
        def answer_with_arrival(method, target, headers, body):
            if target != "/health":
                self.times.add_arrival(target.partition("?")[2] or target)
            return answer(method, target, headers, body)

        return answer_with_arrival

    async def send_request(self, number):
        node = self.day.cluster.nodes[f"edge-{self.randomness.randrange(2) + 1}"]
        kind = self.randomness.choice(("read", "write", "keyed"))
        body = b'{"number": "%s-%d"}' % (kind.encode(), number)
        headers = {"idempotency-key": f"key-{number}"} if kind == "keyed" else {}
        method, path, query = ("GET", f"/vacancies/{number}", "")
        if kind != "read":
            method, path, query = "POST", "/applications", f"n={number}"
        request = edge.Request(method, path, query, headers, body if kind != "read" else b"")
        task = node.actor.start(node.program.role_node.handle(request))
        timeout = self.randomness.choice((0.01, 0.05, 0.2, 0.5, 4.0))
        done, _ = await asyncio.wait([task], timeout=timeout)
        if not done:
            task.cancel()
            if kind != "keyed":
                self.times.add_departure(query or path)
            await asyncio.wait([task])
        if not task.cancelled():
            task.exception()

    async def inject_fault(self):
        day, randomness = self.day, self.randomness
        for origin in day.actors.origins:
            origin.delay = randomness.choice((0.003, 0.1, 0.4, 1.2))
        shield = day.cluster.nodes[f"shield-{randomness.randrange(5) + 1}"]
        match randomness.choice(("kill", "stop", "cut", "heal", "origin")):
            case "kill" if shield.is_up:
                shield.kill(reset=randomness.random() < 0.5)
                await shield.restart()
            case "stop" if shield.is_up:
                await shield.stop()
                await shield.restart()
            case "cut":
                day.cluster.network.partition(
                    [shield.placement.host], [randomness.choice(day.actors.origins).host]
                )
            case "heal":
                day.cluster.network.heal()
            case _:
                origin = randomness.choice(day.actors.origins)
                origin.up = not origin.up

    async def run(self):
        requests = []
        for number in range(REQUESTS):
            requests.append(asyncio.create_task(self.send_request(number)))
            await asyncio.sleep(self.randomness.uniform(0.0, 0.08))
            if number % 40 == 20:
                await self.inject_fault()
        await asyncio.gather(*requests)
        self.day.cluster.network.heal()
        await asyncio.sleep(QUIET_SECONDS)

    def in_flight(self):
        """Return numbers on all shields: requests in flight, requests without a client, attempts."""
        shields = [node.program for node in self.day.cluster.with_role("shield") if node.is_up]
        counted = sum(shield.context.in_flight for shield in shields)
        carried_on = sum(len(shield.context.detached_tasks) for shield in shields)
        return counted, carried_on, sum(len(shield.role_node.origin_client.attempts) for shield in shields)


@pytest.mark.parametrize("seed", range(3))
def test_nothing_goes_on_behind_shields_for_clients_that_left(seed):
    async def scenario(day):
        clients = ShieldedClients(day, seed)
        await clients.run()
        return clients.times, clients.in_flight()

    times, in_flight = cluster.run_scenario(scenario, seed + 1)
    assert len(times.departed_at) > REQUESTS / 16
    assert times.late_requests(CANCEL_DELAY_SECONDS) == {}
    assert in_flight == (0, 0, 0)


# -- direct nodes, which reach origins without a shield ----------------------------------------------------
class DirectClients:
    """Clients of a direct node whose origins are slow, failing, silent or down, some under a rate limit."""

    def __init__(self, harness, seed):
        self.harness, self.randomness, self.times = harness, random.Random(seed), RequestTimes()
        harness.origins.answer, self.answer = self.with_arrivals, harness.origins.answer
        harness.node.respond = self.with_arrivals

    async def with_arrivals(self, key, headers, body):
        self.times.add_arrival(headers.get("x-visit"))
        return await self.answer(key, headers, body)

    async def send_request(self, number):
        name = str(number)
        path, method = self.randomness.choice(
            (("/reads/", "GET"), ("/objects/", "GET"), ("/writes/", "POST"))
        )
        client = self.harness.start_request(f"{path}{name}", method, x_visit=name)
        done, _ = await asyncio.wait([client], timeout=self.randomness.choice((0.0, 0.01, 0.05, 0.3, 4.0)))
        if not done:
            self.times.add_departure(name)
            await self.harness.disconnect(client)

    def inject_fault(self):
        randomness, node = self.randomness, self.harness.node
        self.harness.origins.seconds = randomness.choice((0.003, 0.1, 0.4, 60.0))
        self.harness.origins.status = randomness.choice((200, 200, 500))
        node.refused = set(randomness.choice(("", "", "a", "ab")))
        rate = randomness.choice((None, None, 50.0))
        item = {**UPSTREAM, "version": node.version_counter, "rate": rate}
        node.put(items.CONFIGURATION, "upstream/s", {"version": node.version_counter, "item": item})

    async def run(self):
        requests = []
        for number in range(REQUESTS):
            requests.append(asyncio.create_task(self.send_request(number)))
            await asyncio.sleep(self.randomness.uniform(0.0, 0.03))
            if number % 25 == 10:
                self.inject_fault()
        await asyncio.gather(*requests)
        await asyncio.sleep(QUIET_SECONDS)

    def in_flight(self):
        """Return numbers: requests in flight, requests without a client, attempts, requests at endpoints."""
        direct_node, context = self.harness.node.direct_node, self.harness.context
        in_flight_at_endpoints = sum(
            len(endpoint.in_flight) for endpoint in direct_node.endpoints.endpoints.values()
        )
        return (
            context.in_flight,
            len(context.detached_tasks),
            len(direct_node.origins.attempts),
            in_flight_at_endpoints,
        )


@pytest.mark.parametrize("seed", range(6))
def test_nothing_goes_on_at_a_direct_node_for_clients_that_left(seed):
    async def scenario(harness):
        clients = DirectClients(harness, seed)
        await clients.run()
        return clients.times, clients.in_flight()

    times, in_flight = departing_clients.run_scenario(scenario)
    assert len(times.departed_at) > REQUESTS / 16
    assert times.late_requests(0.0) == {}
    assert in_flight == (0, 0, 0, 0)
