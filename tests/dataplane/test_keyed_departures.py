"""Clients that disconnect: a write goes on at its shield, with a key its result is recorded; a read ends."""

import asyncio
import json

import cluster


def write(day, edge, key):
    body = json.dumps({"number": key}).encode()
    return day.actors.send_request(edge, "POST", "/applications", body, idempotency_key=key)


def test_keyed_write_whose_client_left_is_carried_on_and_its_result_kept():
    async def scenario(day):
        for origin in day.actors.origins:
            origin.delay = 0.5
        client = asyncio.create_task(write(day, "edge-1", "left"))
        await asyncio.sleep(0.3)
        # The edge is killed, which ends all connections of its clients.
        day.cluster.nodes["edge-1"].kill(reset=True)
        client.cancel()
        await asyncio.sleep(2)
        return await write(day, "edge-2", "left"), day.actors.records.executions["left"]

    (status, code, _), runs = cluster.run_scenario(scenario)
    assert (status, code, runs) == (200, "", 1)


def test_write_without_a_key_is_carried_on_at_its_origin_and_sent_nowhere_else():
    async def scenario(day):
        for origin in day.actors.origins:
            origin.delay = 0.5
        client = asyncio.create_task(day.actors.write("edge-1"))
        await asyncio.sleep(0.3)
        day.cluster.nodes["edge-1"].kill(reset=True)
        client.cancel()
        await asyncio.sleep(0.05)
        shields = [node.program.context for node in day.cluster.with_role("shield")]
        carried_on = sum(context.counters.total("attempts_carried_on") for context in shields)
        counted = sum(len(context.detached_tasks) for context in shields)
        await asyncio.sleep(1)
        left = sum(len(context.detached_tasks) + context.in_flight for context in shields)
        runs = [runs for number, runs in day.actors.records.executions.items() if "application" in number]
        return carried_on, counted, left, runs

    assert cluster.run_scenario(scenario) == (1, 1, 0, [1])


def test_read_at_an_origin_is_withdrawn_when_the_edge_that_asked_is_gone():
    async def scenario(day):
        for origin in day.actors.origins:
            origin.delay = 0.5
        client = asyncio.create_task(day.actors.send_request("edge-1", "GET", "/vacancies/1"))
        await asyncio.sleep(0.2)
        day.cluster.nodes["edge-1"].kill(reset=True)
        client.cancel()
        await asyncio.sleep(0.05)
        shields = [node.program for node in day.cluster.with_role("shield")]
        withdrawn = sum(program.context.counters.total("attempts_withdrawn") for program in shields)
        left = sum(len(program.role_node.origin_client.attempts) for program in shields)
        return withdrawn, left

    assert cluster.run_scenario(scenario) == (1, 0)
