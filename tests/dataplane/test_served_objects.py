"""Purges and TTLs are checked at the time when an object is served, for shared and for private fetches."""

import asyncio
import json

import cluster
import pytest


async def set_origin_delay(day, delay):
    for origin in day.actors.origins:
        origin.delay = delay


@pytest.mark.parametrize("headers", [{}, {"authorization": "Bearer me"}])
@pytest.mark.parametrize("purge", [("path", "/vacancies/7"), ("tag", "vacancies")])
def test_answer_in_flight_when_its_purge_is_confirmed_is_not_served_later(headers, purge):
    async def scenario(day):
        path = "/vacancies/7"
        await set_origin_delay(day, 2.4)
        fetching = asyncio.create_task(day.actors.send_request("edge-1", "GET", path, **headers))
        await asyncio.sleep(0.1)
        day.actors.records.versions[path] += 1
        await day.actors.order("agency-2", "purge", [purge])
        await set_origin_delay(day, 0.003)
        status, _, result = await fetching
        assert status == 200
        assert json.loads(result.body)["version"] == 1

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("headers", [{}, {"authorization": "Bearer me"}])
def test_repeated_purges_during_a_read_end_in_an_error_within_the_deadline(headers):
    async def scenario(day):
        path = "/vacancies/7"
        await set_origin_delay(day, 0.7)
        asking = asyncio.create_task(day.actors.send_request("edge-1", "GET", path, **headers))
        started_at = asyncio.get_running_loop().time()
        while not asking.done():
            await day.actors.order("agency-2", "purge", [("path", path)])
            await asyncio.sleep(0.1)
        assert asking.result()[0] == 504
        assert asyncio.get_running_loop().time() - started_at < 3.3

    cluster.run_scenario(scenario)


def test_answer_that_expires_in_flight_is_not_served():
    async def scenario(day):
        value = {"grants": [{"service": "content", "methods": ["GET"]}], "life": 0.5}
        await day.actors.order(
            "agency-1", "change", [{"kind": "path", "name": "/vacancies/", "value": value}]
        )
        await asyncio.sleep(1)
        # The origin takes so long that the TTL of 0.5 s is over when its response arrives.
        await set_origin_delay(day, 2.8)
        assert (await day.actors.send_request("edge-1", "GET", "/vacancies/1"))[0] == 504
        await set_origin_delay(day, 0.003)
        assert (await day.actors.send_request("edge-1", "GET", "/vacancies/1"))[0] == 200

    cluster.run_scenario(scenario)


def test_request_that_joins_a_fetch_that_times_out_keeps_its_own_deadline():
    async def scenario(day):
        await set_origin_delay(day, 60)
        first = asyncio.create_task(day.actors.send_request("edge-1", "GET", "/vacancies/1"))
        await asyncio.sleep(2.5)
        second = asyncio.create_task(day.actors.send_request("edge-1", "GET", "/vacancies/1"))
        await asyncio.sleep(0.4)
        await set_origin_delay(day, 0.003)
        assert (await first)[0] == 504
        assert (await second)[0] == 200

    cluster.run_scenario(scenario)
