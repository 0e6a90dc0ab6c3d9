"""The caches of direct edges: which objects they serve, and how they fetch and revalidate them."""

import asyncio

import pytest
from direct_edge import complete_answer, run_scenario

from irisstand import errors
from irisstand.state import items


# -- cacheable routes --------------------------------------------------------------------------------------
def test_equal_reads_share_one_fetch_and_each_answer_has_its_own_request_id():
    async def scenario(harness):
        async def origin(headers):
            await asyncio.sleep(0.05)
            return complete_answer(headers["x-request-id"], etag='"1"')

        harness.respond = lambda key, headers, body: origin(headers)
        answers = await asyncio.gather(*(harness.ask("/objects/1", request_id=f"r{n}") for n in range(5)))
        answers.append(await harness.ask("/objects/1", request_id="r9"))
        return [answer.headers["x-request-id"] for answer in answers], len(harness.sent)

    assert run_scenario(scenario) == (["r0", "r1", "r2", "r3", "r4", "r9"], 1)


def test_range_is_cut_from_the_complete_object_and_conditional_headers_do_not_reach_the_origin():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(headers["x-request-id"], b"abcdef")
        partial = await harness.ask("/objects/1", range="bytes=2-3", if_none_match='"x"')
        unsatisfiable = await harness.ask("/objects/1", range="bytes=6-")
        return partial, unsatisfiable, harness.sent

    partial, unsatisfiable, sent = run_scenario(scenario)
    assert (partial.status, partial.body, partial.headers["content-range"]) == (206, b"cd", "bytes 2-3/6")
    assert partial.headers["content-digest"] == "seal"
    assert unsatisfiable.status == 416
    assert len(sent) == 1
    assert "range" not in sent[0][3]
    assert "if-none-match" not in sent[0][3]


def test_expired_object_is_revalidated_and_a_changed_one_fetched():
    async def scenario(harness):
        version = ['"1"']

        def origin(key, headers, body):
            if headers.get("if-none-match") == version[0]:
                return complete_answer(headers["x-request-id"], b"", 304, content_digest=None)
            return complete_answer(headers["x-request-id"], version[0].encode(), etag=version[0])

        harness.respond = origin
        bodies = []
        for pause, newest in ((0, '"1"'), (11, '"1"'), (5, '"1"'), (6, '"2"'), (1, '"2"')):
            version[0] = newest
            await asyncio.sleep(pause)
            bodies.append((await harness.ask("/objects/1")).body)
        return bodies, len(harness.sent)

    assert run_scenario(scenario) == ([b'"1"'] * 3 + [b'"2"'] * 2, 3)


@pytest.mark.parametrize("key", ["purge/path/h/objects/1", "purge/tag/t"])
def test_purged_object_is_fetched_again_also_if_the_purge_comes_during_the_fetch(key):
    async def scenario(harness):
        async def origin(headers):
            number = len(harness.sent)
            await asyncio.sleep(0.1)
            return complete_answer(headers["x-request-id"], b"n%d" % number, cache_tag="t")

        harness.respond = lambda _, headers, body: origin(headers)
        first = await harness.ask("/objects/1")
        harness.put(items.LEDGER, key, {"purge": key.split("/")[1]})
        fetching = asyncio.get_running_loop().create_task(harness.ask("/objects/1", request_id="r2"))
        await asyncio.sleep(0.05)
        harness.put(items.LEDGER, key, {"purge": key.split("/")[1]})
        second = await fetching
        return first.body, second.body, (await harness.ask("/objects/1", request_id="r3")).body

    first, second, third = run_scenario(scenario)
    assert first == b"n1"
    assert second == b"n3"
    assert third == b"n3"


def test_retry_of_an_object_fetch_has_no_clients_request_id():
    async def scenario(harness):
        def origin(key, headers, body):
            named = headers.get("x-request-id")
            return complete_answer(named, status=500) if named else complete_answer(None, b"good")

        harness.respond = origin
        return (await harness.ask("/objects/1")).body

    assert run_scenario(scenario) == b"good"


def test_reduced_ttl_applies_to_cached_objects_and_a_dropped_route_serves_none():
    async def scenario(harness):
        await harness.ask("/objects/1")
        await asyncio.sleep(3)
        harness.route("objects", kind="cacheable", cache_life=2.0)
        await harness.ask("/objects/1", request_id="r2")
        sent = len(harness.sent)
        harness.put(items.CONFIGURATION, "route/objects", {"version": 99, "item": None})
        with pytest.raises(errors.UnknownPathError):
            await harness.ask("/objects/1", request_id="r3")
        return sent

    assert run_scenario(scenario) == 2
