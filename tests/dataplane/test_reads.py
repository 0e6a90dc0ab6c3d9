"""Reads under faults: complete responses, freshness, purges, the retry budget, and separate services."""

import asyncio
import json

import cluster
import pytest


async def read(day, path, edge="edge-1"):
    status, code, result = await day.actors.send_request(edge, "GET", path)
    return status, code, json.loads(result.body) if result else None


def origins(day, service):
    return [origin for origin in day.actors.origins if origin.service == service]


@pytest.mark.parametrize("fault", ["wrong-digest", "no-seal", "short", "wrong-request", "lose-answer"])
def test_read_fails_when_its_answer_is_incomplete_or_unsealed(fault):
    async def scenario(day):
        faulty, healthy = origins(day, "content")
        faulty.faults.add(fault)
        responses = [await read(day, f"/vacancies/{number}") for number in range(30)]
        assert len(faulty.started) > 0
        targets = [content["target"] for status, _, content in responses if status == 200]
        assert targets
        assert all(target.startswith("/vacancies/") for target in targets)
        healthy.faults.add(fault)
        await asyncio.sleep(11)
        responses = [await read(day, f"/vacancies/x{number}") for number in range(20)]
        assert {status for status, _, _ in responses} <= {502, 503, 504}

    cluster.run_scenario(scenario)


def test_retries_stay_within_budget_when_every_origin_fails():
    async def scenario(day):
        for _ in range(100):
            await read(day, "/shortlists/1")
        for origin in origins(day, "application"):
            origin.faults.add("lose-answer")
        before = [len(origin.started) for origin in origins(day, "application")]
        first_attempt_count = sum(before)
        for number in range(100):
            await read(day, f"/shortlists/{number}")
            await asyncio.sleep(0.02)
        attempt_ids = [
            attempt_id for origin in origins(day, "application") for _, attempt_id in origin.started
        ]
        retry_count = len(attempt_ids) - len(set(attempt_ids))
        node_count = len(day.cluster.with_role("edge")) + len(day.cluster.with_role("shield"))
        assert 0 < retry_count <= 0.2 * len(set(attempt_ids)) + node_count, (
            first_attempt_count,
            retry_count,
            len(set(attempt_ids)),
        )

    cluster.run_scenario(scenario)


def test_purge_during_a_fetch_is_not_lost():
    """An object whose fetch began before a purge must not be served two seconds after the purge."""

    async def scenario(day):
        for origin in origins(day, "content"):
            origin.delay = 0.9
        path = "/vacancies/7"
        fetch_task = asyncio.create_task(read(day, path))
        # The origin has already composed its response; then the object changes and the purge is confirmed.
        await asyncio.sleep(0.1)
        day.actors.records.versions[path] += 1
        await day.actors.order("agency-2", "purge", [("path", path)])
        assert (await fetch_task)[0] == 200
        await asyncio.sleep(2.0)
        for edge in ("edge-1", "edge-2"):
            assert (await read(day, path, edge))[2]["version"] == 1

    cluster.run_scenario(scenario)


def test_purge_by_tag_reaches_every_cache():
    async def scenario(day):
        for number in range(5):
            for edge in ("edge-1", "edge-2"):
                await read(day, f"/vacancies/{number}", edge)
            day.actors.records.versions[f"/vacancies/{number}"] += 1
        assert (await read(day, "/vacancies/3"))[2]["version"] == 0
        await day.actors.order("agency-3", "purge", [("tag", "vacancies")])
        await asyncio.sleep(2.0)
        for number in range(5):
            for edge in ("edge-1", "edge-2"):
                assert (await read(day, f"/vacancies/{number}", edge))[2]["version"] == 1

    cluster.run_scenario(scenario)


def test_time_to_live_is_counted_once_over_all_hops():
    """An object that was fetched once may be cached at shield, store and edge for five seconds in all."""

    async def scenario(day):
        path = "/vacancies/5"
        assert (await read(day, path, "edge-1"))[2]["version"] == 0
        day.actors.records.versions[path] = 1
        for _ in range(3):
            await asyncio.sleep(1.5)
            # Each edge would start a new TTL if it did not add up the age of the object over all hops.
            assert (await read(day, path, "edge-2"))[2]["version"] == 0
        await asyncio.sleep(0.7)
        for edge in ("edge-1", "edge-2"):
            assert (await read(day, path, edge))[2]["version"] == 1

    cluster.run_scenario(scenario)


def test_identical_reads_in_flight_share_one_fetch():
    async def scenario(day):
        before = day.actors.records.requests, sum(len(o.started) for o in origins(day, "content"))
        reads = [read(day, "/vacancies/9", edge) for edge in ("edge-1", "edge-2") * 20]
        assert {status for status, _, _ in await asyncio.gather(*reads)} == {200}
        assert sum(len(o.started) for o in origins(day, "content")) - before[1] == 1

    cluster.run_scenario(scenario)


def test_address_that_now_belongs_to_another_service_gets_no_request_of_the_old_one():
    async def scenario(day):
        old, other = origins(day, "content")
        other_service_origin = day.actors.add_origin("payroll", "payroll-1", "north", "one")
        day.actors.origins.remove(other_service_origin)
        # The address now belongs to another service, before the platform reports the change.
        day.actors.origins_by_address[(old.host, old.port)] = other_service_origin
        old.up = False
        for number in range(40):
            await read(day, f"/vacancies/{number}")
            await day.actors.write("edge-2")
        assert other_service_origin.started == []
        assert other_service_origin.connections > 0
        assert len(other.started) > 20

    cluster.run_scenario(scenario)


def test_reads_leave_a_failed_shield_at_once():
    async def scenario(day):
        for number in range(40):
            assert (await read(day, f"/vacancies/{number}"))[0] == 200
        day.cluster.nodes["shield-2"].kill()
        # These reads come long before a failure detector can have noticed.
        responses = [await read(day, f"/vacancies/a{number}") for number in range(40)]
        assert {status for status, _, _ in responses} == {200}

    cluster.run_scenario(scenario)


def test_answer_to_a_request_with_credentials_is_not_shared():
    async def scenario(day):
        before = sum(len(o.started) for o in origins(day, "content"))
        for _ in range(3):
            status, _, _ = await day.actors.send_request(
                "edge-1", "GET", "/vacancies/2", b"", authorization="me"
            )
            assert status == 200
        assert sum(len(o.started) for o in origins(day, "content")) - before == 3

    cluster.run_scenario(scenario)


def test_request_without_a_grant_entry_is_rejected():
    async def scenario(day):
        before = sum(day.actors.records.requests.values())
        assert (await day.actors.send_request("edge-1", "GET", "/secret"))[:2] == (404, "unknown-path")
        assert (await day.actors.send_request("edge-1", "POST", "/vacancies/1"))[:2] == (
            405,
            "method-rejected",
        )
        assert (await day.actors.send_request("edge-1", "DELETE", "/applications"))[:2] == (
            405,
            "method-rejected",
        )
        assert sum(day.actors.records.requests.values()) == before

    cluster.run_scenario(scenario)
