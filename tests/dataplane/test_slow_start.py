"""Slow start limits the requests to cold origins, also when all are cold and while shields restart."""

import asyncio

import cluster
import test_origin_limits

from irisstand.simulator import origin_faults

origins_of, set_service_limits, ask_steadily = (
    test_origin_limits.origins_of,
    test_origin_limits.set_service_limits,
    test_origin_limits.ask_steadily,
)
check_limits, restart = test_origin_limits.check_limits, test_origin_limits.restart


def make_cold(day, service, warmup=10.0):
    """Replace all origins of the service at once with cold ones, and return the new origins."""
    fault_injector = day.fault_injector
    new_origins = [origin_faults.replace(fault_injector, old) for old in origins_of(day, service)]
    for origin in new_origins:
        origin.warmup = warmup
        origin.warmup_periods[:] = [(origin.warmup_periods[0][0], warmup)]
    return new_origins


def test_origins_replaced_all_at_once_get_what_slow_start_allows_and_all_in_the_end():
    async def scenario(day):
        await set_service_limits(day, "content", 60, 60)
        new_origins = make_cold(day, "content")
        results = await ask_steadily(day, 100, 16, "/vacancies/")
        checked = check_limits(day, "content", (60, 60))
        assert checked["a cold origin gets no more requests than slow start allows"] > 50
        kinds = {"over-ceiling", "warming-up", "no-origin", "origin-failed", "no-share"}
        assert {code for status, code in results if status != 200} <= kinds
        # The origins are warm at the end, so the whole rate limit is used again.
        end = day.watcher.now()
        assert sum(moment > end - 4 for origin in new_origins for moment, _ in origin.started) > 150

    cluster.run_scenario(scenario)


def test_cold_origin_is_not_flooded_by_shields_restarted_or_resumed_meanwhile():
    async def scenario(day):
        await set_service_limits(day, "content", 60, 60)
        make_cold(day, "content")
        asking = ask_steadily(day, 100, 12, "/vacancies/")
        for name in ("shield-1", "shield-4", "shield-2", "shield-5"):
            await asyncio.sleep(2)
            await restart(day.cluster.nodes[name])
        await asking
        assert (
            check_limits(day, "content", (60, 60))[
                "a cold origin gets no more requests than slow start allows"
            ]
            > 30
        )

    cluster.run_scenario(scenario)


def test_crashed_origin_returns_cold_whatever_the_platform_says():
    async def scenario(day):
        await set_service_limits(day, "content", 60, 60)
        first, second = origins_of(day, "content")
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
            check_limits(day, "content", (60, 60))[
                "a cold origin gets no more requests than slow start allows"
            ]
            > 30
        )

    cluster.run_scenario(scenario)
