"""Popular objects are served by two shields, and all others by one."""

import asyncio
import collections

import cluster
import test_placement


async def fetches_by_shield(day, path, rate, seconds):
    """Send reads of a path at a rate, and return the numbers of fetches at the shields that got any."""
    gauges = {
        node.placement.name: node.program.context.load_gauge for node in day.cluster.with_role("shield")
    }
    counts = collections.Counter()
    for gauge in gauges.values():
        gauge.window = 1000.0
        gauge.event_times.clear()
    requests = []
    for number in range(int(rate * seconds)):
        edge = f"edge-{number % 2 + 1}"
        requests.append(asyncio.create_task(day.actors.send_request(edge, "GET", path)))
        await asyncio.sleep(1 / rate)
    results = await asyncio.gather(*requests)
    assert {status for status, _, _ in results} == {200}
    for name, gauge in gauges.items():
        counts[name] = len(gauge.event_times)
    return [count for count in counts.values() if count]


def test_popular_object_is_served_by_two_shields_and_another_by_one():
    async def scenario(day):
        await test_placement.pin_all(day)
        cold = await fetches_by_shield(day, "/shortlists/cold", 10, 6)
        assert len(cold) == 1
        await fetches_by_shield(day, "/shortlists/hot", 400, 4)
        hot = await fetches_by_shield(day, "/shortlists/hot", 400, 6)
        assert len(hot) == 2, hot
        assert max(hot) < 0.62 * sum(hot), hot

    cluster.run_scenario(scenario)
