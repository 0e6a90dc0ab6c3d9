"""Writes run at most once, and are rejected as not run only if they certainly never run."""

import asyncio
import json
import random

import cluster
import pytest


def applications(day):
    return [origin for origin in day.actors.origins if origin.service == "application"]


def execution_count(day, number):
    return day.actors.records.executions[number]


def test_write_with_lost_answer_is_an_unknown_outcome_and_not_retried():
    async def scenario(day):
        for origin in applications(day):
            origin.faults.add("lose-answer")
        for _ in range(20):
            number, status, code = await day.actors.write("edge-1")
            assert (status, code) in ((504, "outcome-unknown"), (503, "no-origin"), (503, "no-share"))
            assert execution_count(day, number) == (1 if code == "outcome-unknown" else 0)

    cluster.run_scenario(scenario)


def test_write_is_forwarded_only_while_no_byte_has_gone_towards_an_origin():
    async def scenario(day):
        first, second = applications(day)
        # The connections to this origin are closed, but no shield has noticed: writes go to the other one.
        first.up = False
        for _ in range(10):
            number, status, _ = await day.actors.write("edge-1")
            assert status == 200
            assert execution_count(day, number) == 1
        assert len(second.started) >= 10

    cluster.run_scenario(scenario)


def test_write_over_the_limit_is_rejected_at_once_with_retry_after_and_never_runs():
    async def scenario(day):
        value = {"deadline": 3.0, "ceiling": {"rate": 10, "inflight": 100}}
        await day.actors.order(
            "agency-1", "change", [{"kind": "service", "name": "application", "value": value}]
        )
        await asyncio.sleep(2)
        started_at = asyncio.get_running_loop().time()
        responses = await asyncio.gather(*(day.actors.write(f"edge-{n % 2 + 1}") for n in range(100)))
        assert asyncio.get_running_loop().time() - started_at < 1.5
        assert {code for _, status, code in responses if status != 200} == {"over-ceiling"}
        for number, status, _ in responses:
            assert execution_count(day, number) == (status == 200)
        # The quota shares of the five shields together never exceed the rate limit in any one second.
        start_times = sorted(start_time for origin in applications(day) for start_time, _ in origin.started)
        max_starts = max(sum(start <= other < start + 0.99 for other in start_times) for start in start_times)
        assert 0 < max_starts <= 10

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_kills_during_writes_run_no_write_twice_and_no_rejected_write(seed):
    async def scenario(day):
        randomness = random.Random(seed)
        tasks = []
        for step in range(150):
            tasks.append(asyncio.create_task(day.actors.write(f"edge-{randomness.randrange(2) + 1}")))
            await asyncio.sleep(0.01)
            if step % 25 == 10:
                node = day.cluster.nodes[f"shield-{randomness.randrange(5) + 1}"]
                if node.is_up:
                    node.kill(reset=randomness.random() < 0.5)
                origin = randomness.choice(day.actors.origins)
                origin.up = not origin.up
        await asyncio.gather(*tasks)
        day.checker.close()
        assert not any(day.checker.broken.values()), day.checker.examples
        assert day.checker.checked["no write runs twice"] == 150
        assert day.checker.checked["a write that succeeded did run"] > 30

    cluster.run_scenario(scenario, seed + 1)


def test_request_whose_client_left_is_dropped_before_it_is_sent():
    async def scenario(day):
        for origin in applications(day):
            origin.up = False
        value = {"deadline": 3.0, "ceiling": {"rate": 1, "inflight": 1}}
        await day.actors.order(
            "agency-1", "change", [{"kind": "service", "name": "application", "value": value}]
        )
        for origin in applications(day):
            origin.up = True
        await asyncio.sleep(3)
        tasks = [asyncio.create_task(day.actors.write("edge-1")) for _ in range(20)]
        await asyncio.sleep(0.05)
        started_count = sum(len(origin.started) for origin in applications(day))
        edge = day.cluster.nodes["edge-1"]
        edge.kill()
        for task in tasks:
            task.cancel()
        await asyncio.sleep(4)
        assert sum(len(origin.started) for origin in applications(day)) <= started_count + 1

    cluster.run_scenario(scenario)


def send_keyed_write(day, edge, key, number, path="/applications"):
    body = json.dumps({"number": number}).encode()
    return day.actors.send_request(edge, "POST", path, body, idempotency_key=key)


def test_same_idempotency_key_at_two_edges_runs_once_with_one_result():
    async def scenario(day):
        for round_number in range(5):
            key = f"key-{round_number}"
            responses = await asyncio.gather(
                *(send_keyed_write(day, f"edge-{n % 2 + 1}", key, key) for n in range(6))
            )
            assert execution_count(day, key) == 1
            assert {code for status, code, _ in responses if status != 200} <= {"outcome-unknown"}
            await asyncio.sleep(0.5)
            again = await send_keyed_write(day, "edge-2", key, key)
            first = next(result for status, _, result in responses if status == 200)
            assert again[0] == 200
            assert again[2].body == first.body
            assert execution_count(day, key) == 1
        other = await send_keyed_write(day, "edge-1", "key-1", "another-body")
        assert other[:2] == (422, "key-reused")
        assert execution_count(day, "another-body") == 0

    cluster.run_scenario(scenario)


def test_key_with_lost_answer_never_runs_again_and_a_rejected_one_may():
    async def scenario(day):
        for origin in applications(day):
            origin.faults.add("lose-answer")
        assert (await send_keyed_write(day, "edge-1", "lost", "lost"))[1] == "outcome-unknown"
        for origin in applications(day):
            origin.faults.clear()
        await asyncio.sleep(3)
        for edge in ("edge-1", "edge-2"):
            assert (await send_keyed_write(day, edge, "lost", "lost"))[1] == "outcome-unknown"
        assert execution_count(day, "lost") == 1
        for origin in applications(day):
            origin.up = False
        assert (await send_keyed_write(day, "edge-1", "none", "none"))[1] == "no-origin"
        for origin in applications(day):
            origin.up = True
        await asyncio.sleep(3)
        assert (await send_keyed_write(day, "edge-2", "none", "none"))[0] == 200
        assert execution_count(day, "none") == 1
        # Without a majority of voters an idempotency key cannot be claimed, so the write is not sent.
        for name in ("agency-1", "agency-2", "agency-3"):
            day.cluster.nodes[name].kill()
        status, code, _ = await send_keyed_write(day, "edge-1", "late", "late")
        assert status == 503
        assert code in ("no-claim", "stale-blueprint")
        assert execution_count(day, "late") == 0

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("seed", range(3))
def test_keyed_writes_repeated_through_kills_run_once(seed):
    async def scenario(day):
        randomness = random.Random(seed)

        async def retry_until_success(key):
            for _ in range(12):
                status, _, _ = await send_keyed_write(day, f"edge-{randomness.randrange(2) + 1}", key, key)
                if status == 200:
                    return
                await asyncio.sleep(0.3)

        tasks = []
        for step in range(40):
            tasks.append(asyncio.create_task(retry_until_success(f"k{step}")))
            await asyncio.sleep(0.1)
            if step % 8 == 3:
                victims = [*day.cluster.with_role("shield"), *day.cluster.with_role("agency")]
                victims = [node for node in victims if node.is_up]
                victim = randomness.choice(victims)
                victim.kill()
                tasks.append(asyncio.create_task(restart_later(victim)))
        await asyncio.gather(*tasks)
        counts = [execution_count(day, f"k{step}") for step in range(40)]
        assert max(counts) == 1
        assert sum(counts) > 30

    async def restart_later(node):
        await asyncio.sleep(1.5)
        await node.start()

    cluster.run_scenario(scenario, seed + 5)
