"""The platform's list of origins: changes apply in time; leaving, cold, replaced and malformed origins."""

import asyncio
import json

import cluster
import pytest

from irisstand import errors

ORIGIN = {"id": "a", "service": "s", "host": "127.0.0.1", "port": 1, "site": "north", "state": "ready"}


def listed_origins(day, name="agency-1"):
    return {
        item.key: item.value["state"]
        for item in cluster.context(day, name).ledger.items_with_prefix("origin/")
    }


async def reads(day, count, path_prefix):
    statuses = []
    for number in range(count):
        edge = f"edge-{number % 2 + 1}"
        statuses.append((await day.actors.send_request(edge, "GET", f"/vacancies/{path_prefix}-{number}"))[0])
        await asyncio.sleep(0.02)
    return statuses


def test_a_leaving_origin_gets_no_new_work_two_seconds_after_the_platform_says_so():
    async def scenario(day):
        leaving = day.actors.origins[0]
        await reads(day, 40, "before")
        assert leaving.started
        leaving.state = "leaving"
        await asyncio.sleep(2)
        requests_before = len(leaving.started)
        assert set(await reads(day, 60, "after")) == {200}
        assert len(leaving.started) == requests_before

    cluster.run_scenario(scenario)


def test_rolling_replacement_of_all_origins_loses_no_read():
    async def scenario(day):
        statuses = []
        for number, old in enumerate(list(day.actors.origins)):
            new_origin = day.actors.add_origin(old.service, f"{old.service}-new-{number}", old.site, "one")
            new_origin.state, new_origin.warmup = "cold", 2.0
            statuses += await reads(day, 60, f"a{number}")
            old.state = "leaving"
            statuses += await reads(day, 150, f"b{number}")
            old.up = False
            day.actors.origins.remove(old)
            statuses += await reads(day, 60, f"c{number}")
        assert set(statuses) == {200}
        assert all("new" in origin.instance and origin.started for origin in day.actors.origins[:2])

    cluster.run_scenario(scenario)


def test_a_cold_origin_ramps_over_its_warm_up():
    async def scenario(day):
        new_origin = day.actors.add_origin("content", "content-fresh", "east", "two")
        new_origin.state, new_origin.warmup = "cold", 20.0
        await day.cluster.wait_until(lambda: "origin/content-fresh" in listed_origins(day), 5)
        counts = []
        started_at = day.watcher.now()
        for round_number in range(8):
            before = len(new_origin.started)
            await reads(day, 150, f"p{round_number}")
            counts.append(len(new_origin.started) - before)
        # Each round takes five to seven seconds. In the first, the cold origin gets hardly any requests. In
        # the last two it is one of three origins, and the shields of its region prefer it three to one: it
        # gets about 140 of 300 requests; 131 to 148 over several seeds.
        assert 30 < day.watcher.now() - started_at < 60
        assert counts[0] < 20, counts
        assert counts[0] < counts[1] < counts[-1], counts
        assert 115 < sum(counts[-2:]) < 165, counts

    cluster.run_scenario(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        b"{",
        b"[]",
        b'{"origins": 7}',
        b'{"origins": [{"id": "x"}]}',
        json.dumps({"origins": []}).encode(),
        json.dumps({"origins": [{**ORIGIN, "id": "a/b"}]}).encode(),
    ],
)
def test_a_malformed_or_suddenly_empty_answer_leaves_the_last_good_list_of_origins(answer):
    async def scenario(day):
        before = listed_origins(day)
        assert len(before) == 4
        day.actors.platform_override = answer
        await asyncio.sleep(3)
        assert listed_origins(day) == before
        failed = sum(
            node.program.context.counters.total("platform_failed") for node in day.cluster.with_role("agency")
        )
        state = cluster.context(day, "agency-2").ledger.value("platform")["state"]
        assert failed >= 2 or state == "shrunk"
        assert set(await reads(day, 10, "still")) == {200}

    cluster.run_scenario(scenario)


def test_the_platform_is_asked_by_one_node_within_its_limit_through_changes_of_holder():
    async def scenario(day):
        asked = []
        ask = day.actors.ask_platform

        async def count_requests():
            asked.append(asyncio.get_running_loop().time())
            return await ask()

        day.actors.ask_platform = count_requests
        for _ in range(3):
            await asyncio.sleep(5)
            for node in day.cluster.with_role("agency"):
                for task in node.program.singleton_tasks if node.is_up else ():
                    if task.name == "platform-watch" and task.holds_lease():
                        node.freeze()
                        break
            await asyncio.sleep(8)
            for node in day.cluster.with_role("agency"):
                if node.actor.frozen:
                    node.thaw()
        assert len(asked) > 15
        # The platform gets at most one request per second, though three lease holders were paused meanwhile.
        assert max(sum(one <= other < one + 3 for other in asked) for one in asked) <= 4

    cluster.run_scenario(scenario)


def test_a_holder_paused_past_its_lease_stops_by_itself_and_its_late_write_is_refused():
    async def scenario(day):
        tasks = {
            node.placement.name: task
            for node in day.cluster.with_role("agency")
            for task in node.program.singleton_tasks
            if task.name == "placement"
        }
        holder = next(name for name, task in tasks.items() if task.holds_lease())
        fencing_token = tasks[holder].fencing_token
        node = day.cluster.nodes[holder]
        node.freeze()
        await day.cluster.wait_until(
            lambda: any(d.holds_lease() for n, d in tasks.items() if n != holder), 20
        )
        node.thaw()
        assert not tasks[holder].holds_lease()
        # Before its tables are current again, the write would be refused for lack of a majority instead.
        await day.cluster.wait_until_ready()
        row = ("slots/00", {"owners": ["nonsense"] * 16})
        with pytest.raises(errors.StaleVersionError):
            await day.actors.order(holder, "fenced", ("placement", fencing_token, [row]))
        assert cluster.context(day, holder).ledger.value("slots/00") != row[1]

    cluster.run_scenario(scenario)


def test_rows_of_an_unknown_kind_are_kept_and_replicated():
    """In a rolling upgrade, old nodes store and replicate kinds of rows that they do not know."""

    async def scenario(day):
        newer = day.cluster.nodes["agency-1"].program
        row = [("hologram/7", {"depth": 3})]
        holder = next(
            task
            for node in day.cluster.with_role("agency")
            for task in node.program.singleton_tasks
            if task.holds_lease()
        )
        await day.actors.order("agency-2", "fenced", (holder.name, holder.fencing_token, row))
        await asyncio.sleep(1)
        for name in ("agency-4", "edge-1", "shield-2", "store-1"):
            assert cluster.context(day, name).ledger.value("hologram/7") == {"depth": 3}
        for node in day.cluster.with_role("agency"):
            node.kill()
        for node in day.cluster.with_role("agency"):
            await node.start()
        await day.cluster.wait_until_ready()
        assert cluster.context(day, "agency-1").ledger.value("hologram/7") == {"depth": 3}
        assert newer is not day.cluster.nodes["agency-1"].program

    cluster.run_scenario(scenario)
