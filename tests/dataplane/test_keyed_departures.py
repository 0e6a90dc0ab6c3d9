"""Writes with an Idempotency-Key whose client leaves: the key's one run is carried on, and its result kept."""

import asyncio
import json

import cluster


def write(day, edge, key):
    body = json.dumps({"number": key}).encode()
    return day.actors.ask(edge, "POST", "/applications", body, idempotency_key=key)


def test_keyed_write_whose_client_left_is_carried_on_and_its_result_kept():
    async def scene(day):
        for origin in day.actors.origins:
            origin.delay = 0.5
        client = asyncio.create_task(write(day, "edge-1", "left"))
        await asyncio.sleep(0.3)
        # All its clients' connections end with the edge.
        day.cluster.nodes["edge-1"].kill(reset=True)
        client.cancel()
        await asyncio.sleep(2)
        return await write(day, "edge-2", "left"), day.actors.records.executions["left"]

    (status, code, _), runs = cluster.play(scene)
    assert (status, code, runs) == (200, "", 1)
