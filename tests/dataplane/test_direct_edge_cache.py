"""Edges that reach origins by themselves: which copies of objects they give out, and how they fetch them."""

import asyncio

import pytest
from direct_edge import play, whole

from irisstand import errors
from irisstand.state import items


# -- objects -----------------------------------------------------------------------------------------------
def test_equal_reads_share_one_fetch_and_each_answer_has_its_own_request_id():
    async def scene(stage):
        async def origin(headers):
            await asyncio.sleep(0.05)
            return whole(headers["x-request-id"], etag='"1"')

        stage.play = lambda key, headers, body: origin(headers)
        answers = await asyncio.gather(*(stage.ask("/objects/1", request_id=f"r{n}") for n in range(5)))
        answers.append(await stage.ask("/objects/1", request_id="r9"))
        return [answer.headers["x-request-id"] for answer in answers], len(stage.sent)

    assert play(scene) == (["r0", "r1", "r2", "r3", "r4", "r9"], 1)


def test_range_is_cut_from_the_complete_object_and_conditional_headers_do_not_reach_the_origin():
    async def scene(stage):
        stage.play = lambda key, headers, body: whole(headers["x-request-id"], b"abcdef")
        part = await stage.ask("/objects/1", range="bytes=2-3", if_none_match='"x"')
        past = await stage.ask("/objects/1", range="bytes=6-")
        return part, past, stage.sent

    part, past, sent = play(scene)
    assert (part.status, part.body, part.headers["content-range"]) == (206, b"cd", "bytes 2-3/6")
    assert part.headers["content-digest"] == "seal"
    assert past.status == 416
    assert len(sent) == 1
    assert "range" not in sent[0][3]
    assert "if-none-match" not in sent[0][3]


def test_expired_object_is_revalidated_and_a_changed_one_fetched():
    async def scene(stage):
        version = ['"1"']

        def origin(key, headers, body):
            if headers.get("if-none-match") == version[0]:
                return whole(headers["x-request-id"], b"", 304, content_digest=None)
            return whole(headers["x-request-id"], version[0].encode(), etag=version[0])

        stage.play = origin
        bodies = []
        for pause, newest in ((0, '"1"'), (11, '"1"'), (5, '"1"'), (6, '"2"'), (1, '"2"')):
            version[0] = newest
            await asyncio.sleep(pause)
            bodies.append((await stage.ask("/objects/1")).body)
        return bodies, len(stage.sent)

    assert play(scene) == ([b'"1"'] * 3 + [b'"2"'] * 2, 3)


@pytest.mark.parametrize("key", ["purge/path/h/objects/1", "purge/tag/t"])
def test_purged_object_is_fetched_again_also_if_the_purge_comes_during_the_fetch(key):
    async def scene(stage):
        async def origin(headers):
            number = len(stage.sent)
            await asyncio.sleep(0.1)
            return whole(headers["x-request-id"], b"n%d" % number, cache_tag="t")

        stage.play = lambda _, headers, body: origin(headers)
        first = await stage.ask("/objects/1")
        stage.put(items.LEDGER, key, {"purge": key.split("/")[1]})
        asking = asyncio.get_running_loop().create_task(stage.ask("/objects/1", request_id="r2"))
        await asyncio.sleep(0.05)
        stage.put(items.LEDGER, key, {"purge": key.split("/")[1]})
        second = await asking
        return first.body, second.body, (await stage.ask("/objects/1", request_id="r3")).body

    first, second, third = play(scene)
    assert first == b"n1"
    assert second == b"n3"
    assert third == b"n3"


def test_retry_of_an_object_fetch_has_no_clients_request_id():
    async def scene(stage):
        def origin(key, headers, body):
            named = headers.get("x-request-id")
            return whole(named, status=500) if named else whole(None, b"good")

        stage.play = origin
        return (await stage.ask("/objects/1")).body

    assert play(scene) == b"good"


def test_reduced_ttl_applies_to_cached_objects_and_a_dropped_route_serves_none():
    async def scene(stage):
        await stage.ask("/objects/1")
        await asyncio.sleep(3)
        stage.route("objects", kind="cacheable", cache_life=2.0)
        await stage.ask("/objects/1", request_id="r2")
        sent = len(stage.sent)
        stage.put(items.CONFIGURATION, "route/objects", {"version": 99, "item": None})
        with pytest.raises(errors.UnknownPathError):
            await stage.ask("/objects/1", request_id="r3")
        return sent

    assert play(scene) == 2
