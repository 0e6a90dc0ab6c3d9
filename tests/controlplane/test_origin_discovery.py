"""What the ledger records if the platform lags, lists too few origins, is silent or answers out of order."""

import asyncio
import json

import cluster

from irisstand.controlplane.singletons import origin_source


def platform_record(day, name="edge-1"):
    return cluster.context(day, name).ledger.value("platform")


def listed_origins(day):
    return {item.key for item in cluster.context(day, "edge-1").ledger.items_with_prefix("origin/")}


def set_platform_answer(day, revision=None, age=0.0, without=()):
    origins = [origin.listing() for origin in day.actors.origins if origin.instance not in without]
    content = {"origins": origins, **({} if revision is None else {"revision": revision})}

    async def ask():
        return origin_source.PlatformAnswer(json.dumps(content).encode(), age)

    day.actors.ask_platform = ask


def test_an_old_answer_after_a_new_one_changes_nothing():
    async def scenario(day):
        omitted = day.actors.origins[0]
        set_platform_answer(day, 7, without=(omitted.instance,))
        await asyncio.sleep(4)
        assert f"origin/{omitted.instance}" not in listed_origins(day)
        set_platform_answer(day, 6)
        await asyncio.sleep(4)
        assert f"origin/{omitted.instance}" not in listed_origins(day)
        assert platform_record(day)["state"] == "lagging"
        # The next lease holder ignores the old answer too, although it did not receive the newer one itself.
        for node in day.cluster.with_role("agency"):
            if any(
                task.name == "platform-watch" and task.holds_lease() for task in node.program.singleton_tasks
            ):
                node.kill()
        await asyncio.sleep(6)
        assert f"origin/{omitted.instance}" not in listed_origins(day)
        set_platform_answer(day, 8)
        await asyncio.sleep(4)
        assert f"origin/{omitted.instance}" in listed_origins(day)
        assert platform_record(day)["state"] == "well"

    cluster.run_scenario(scenario)


def test_old_answers_are_recorded_as_lagging_and_failures_as_silent():
    async def scenario(day):
        set_platform_answer(day, age=30.0)
        await asyncio.sleep(3)
        assert platform_record(day)["state"] == "lagging"
        assert "30 s old" in platform_record(day)["why"]

        async def refuse_connection():
            raise ConnectionRefusedError("the platform is down")

        day.actors.ask_platform = refuse_connection
        before = listed_origins(day)
        await asyncio.sleep(8)
        assert platform_record(day)["state"] == "silent"
        assert listed_origins(day) == before
        set_platform_answer(day)
        await asyncio.sleep(3)
        assert platform_record(day)["state"] == "well"

    cluster.run_scenario(scenario)


def test_a_service_that_shrinks_suddenly_is_held_back_and_other_services_are_not():
    async def scenario(day):
        for number in range(2):
            day.actors.add_origin("content", f"content-x{number}", "east", "two")
        await asyncio.sleep(3)
        content = [o.instance for o in day.actors.origins if o.service == "content"]
        other = next(o for o in day.actors.origins if o.service == "application")
        assert len(content) == 4
        other.state = "leaving"
        set_platform_answer(day, without=content[:3])
        await asyncio.sleep(3)
        assert platform_record(day)["state"] == "shrunk"
        assert "content" in platform_record(day)["why"]
        assert {f"origin/{name}" for name in content} <= listed_origins(day)
        # The rest of the answer is in force while the shrunk service keeps its origins.
        ledger = cluster.context(day, "edge-1").ledger
        assert ledger.value(f"origin/{other.instance}")["state"] == "leaving"
        await asyncio.sleep(6)
        assert not {f"origin/{name}" for name in content[:3]} & listed_origins(day)

    cluster.run_scenario(scenario)
