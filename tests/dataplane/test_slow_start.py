"""Cold origins are not flooded, however many of them there are and whoever is restarted meanwhile."""

import asyncio

import cluster
import test_origin_limits

from irisstand.simulator import origin_faults

of, set_ceiling, ask_steadily = (
    test_origin_limits.of,
    test_origin_limits.set_ceiling,
    test_origin_limits.ask_steadily,
)
judge, restart = test_origin_limits.judge, test_origin_limits.restart


def make_cold(day, service, warmup=10.0):
    """Every origin of the service by a cold one, at once."""
    trouble = day.fault_injector
    fresh = [origin_faults.replace(trouble, old) for old in of(day, service)]
    for origin in fresh:
        origin.warmup = warmup
        origin.warmup_periods[:] = [(origin.warmup_periods[0][0], warmup)]
    return fresh


def test_origins_replaced_all_at_once_get_what_slow_start_allows_and_all_in_the_end():
    async def scene(day):
        await set_ceiling(day, "content", 60, 60)
        fresh = make_cold(day, "content")
        told = await ask_steadily(day, 100, 16, "/vacancies/")
        checked = judge(day, "content", (60, 60))
        assert checked["a cold origin gets no more requests than slow start allows"] > 50
        kinds = {"over-ceiling", "warming-up", "no-origin", "origin-failed", "no-share"}
        assert {code for status, code in told if status != 200} <= kinds
        # Warm in the end: the whole ceiling is used again.
        end = day.watcher.now()
        assert sum(moment > end - 4 for origin in fresh for moment, _ in origin.started) > 150

    cluster.play(scene)


def test_cold_origin_is_not_flooded_by_shields_restarted_or_resumed_meanwhile():
    async def scene(day):
        await set_ceiling(day, "content", 60, 60)
        make_cold(day, "content")
        asking = ask_steadily(day, 100, 12, "/vacancies/")
        for name in ("shield-1", "shield-4", "shield-2", "shield-5"):
            await asyncio.sleep(2)
            await restart(day.cluster.nodes[name])
        await asking
        assert (
            judge(day, "content", (60, 60))["a cold origin gets no more requests than slow start allows"] > 30
        )

    cluster.play(scene)


def test_crashed_origin_returns_cold_whatever_the_platform_says():
    async def scene(day):
        await set_ceiling(day, "content", 60, 60)
        first, second = of(day, "content")
        for origin in (first, second):
            origin.warmup = 8.0
        await asyncio.sleep(1)
        asking = ask_steadily(day, 50, 14, "/vacancies/")
        await asyncio.sleep(1)
        first.up = second.up = False
        await asyncio.sleep(2)
        first.up = second.up = True
        await asking
        assert (
            judge(day, "content", (60, 60))["a cold origin gets no more requests than slow start allows"] > 30
        )

    cluster.play(scene)
