"""Responses that belong to one request alone: no other request that shares its fetch gets them."""

import asyncio

import cluster
import pytest
import test_object_holders
from direct_edge import complete_answer, run_scenario

from irisstand import errors
from irisstand.dataplane.nodes import direct
from irisstand.dataplane.upstream import exchange
from irisstand.state import items

REQUEST_IDS = ["r0", "r1", "r2"]


async def outcome_of(asking):
    """Return the status and body of an answer, or the status of the node's own error."""
    try:
        answer = await asking
    except errors.IrisError as error:
        return error.status, b""
    return answer.status, answer.body


def outcomes_of_equal_reads(respond):
    """Return the outcomes of equal reads at one time, whose responses `respond(request id)` gives."""

    async def scenario(harness):
        async def origin(headers):
            await asyncio.sleep(0.05)
            return respond(headers.get("x-request-id", ""))

        harness.respond = lambda key, headers, body: origin(headers)
        reads = [outcome_of(harness.ask("/objects/1", request_id=request_id)) for request_id in REQUEST_IDS]
        return await asyncio.gather(*reads)

    return run_scenario(scenario)


@pytest.mark.parametrize("status", [404, 403])
def test_failure_of_an_origin_goes_to_the_request_that_it_belongs_to_alone(status):
    """Guards against MIXED: a sealed failure of one request, given to others under their ids."""
    outcomes = outcomes_of_equal_reads(lambda found: complete_answer(found, found.encode(), status))
    assert outcomes == [(status, request_id.encode()) for request_id in REQUEST_IDS]


def test_cookie_goes_to_the_client_that_it_was_set_for_alone():
    outcomes = outcomes_of_equal_reads(
        lambda found: complete_answer(found, found.encode(), set_cookie=f"session={found}")
    )
    assert outcomes == [(200, request_id.encode()) for request_id in REQUEST_IDS]


def test_failure_of_a_retry_without_an_id_is_nobodys_answer():
    """Guards against MIXED: a sealed failure under no id, given to a client under its own."""

    def respond(key, headers, body):
        if "x-request-id" in headers:
            return exchange.ConnectionBrokenError("cut off")
        return complete_answer(None, b"of nobody", 404)

    async def scenario(harness):
        harness.respond = respond
        return await outcome_of(harness.ask("/objects/1"))

    assert run_scenario(scenario)[0] == 502


def test_failure_of_the_request_itself_is_its_answer_though_a_retry_without_an_id_fails_otherwise():
    def respond(key, headers, body):
        found = headers.get("x-request-id")
        return complete_answer(found, b"own" if found else b"of nobody", 500 if found else 501)

    async def scenario(harness):
        harness.respond = respond
        return await outcome_of(harness.ask("/objects/1"))

    assert run_scenario(scenario) == (500, b"own")


@pytest.mark.parametrize(
    ("path", "method"), [("/objects/1", "GET"), ("/reads/1", "GET"), ("/writes/1", "POST")]
)
def test_client_that_sends_no_id_gets_the_failure_of_its_own_request(path, method):
    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(None, b"own", 404)
        request = direct.Request(method, path.encode(), "h", {}, b"")
        answer = await harness.direct_node.handle(request)
        return answer.status, answer.body

    assert run_scenario(scenario) == (404, b"own")


def test_304_to_a_request_that_was_not_conditional_is_no_answer():
    """Guards against MIXED: a 304 that nobody asked for, given to a client that has no copy."""

    def respond(key, headers, body):
        return complete_answer(headers.get("x-request-id"), b"", 304, etag='"1"')

    async def scenario(harness):
        harness.respond = respond
        return [(await outcome_of(harness.ask(path)))[0] for path in ("/objects/1", "/reads/1")]

    assert run_scenario(scenario) == [502, 502]


def test_304_with_another_entity_tag_does_not_confirm_a_copy():
    """Guards against STALE: a 304 about another version, taken as the confirmation of an old copy."""

    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(
            headers.get("x-request-id"), b"old", etag='"1"'
        )
        await harness.ask("/objects/1")
        harness.put(items.LEDGER, "purge/path/h/objects/1", {"purge": "path"})
        harness.respond = lambda key, headers, body: complete_answer(
            headers.get("x-request-id"), b"", 304, etag='"2"'
        )
        return await outcome_of(harness.ask("/objects/1"))

    assert run_scenario(scenario)[0] == 502


def test_304_for_the_tag_that_a_client_sent_goes_to_that_client():
    async def scenario(harness):
        harness.respond = lambda key, headers, body: complete_answer(
            headers.get("x-request-id"), b"", 304, etag='"1"'
        )
        return await outcome_of(harness.ask("/reads/1", if_none_match='"0", "1"'))

    assert run_scenario(scenario) == (304, b"")


def test_failure_that_a_holder_fetched_for_one_edge_goes_to_no_other():
    async def scenario(site):
        async def origin(headers):
            await asyncio.sleep(0.05)
            found = headers["x-request-id"]
            return complete_answer(found, found.encode(), 404)

        site.nodes["holder-1"].respond = lambda key, headers, body: origin(headers)
        edges = [site.nodes[name] for name in ("edge-1", "edge-2", "edge-1")]
        reads = [outcome_of(edge.ask("/objects/1", request_id=f"r{n}")) for n, edge in enumerate(edges)]
        return await asyncio.gather(*reads)

    outcomes = test_object_holders.run_scenario(scenario)
    assert outcomes == [(404, request_id.encode()) for request_id in REQUEST_IDS]


def set_cookies(origin):
    """Let a simulated origin set another cookie in each response."""
    unchanged = origin.answer

    def answer(*request):
        response = unchanged(*request)
        response.headers["set-cookie"] = f"session={len(origin.started)}-{origin.instance}"
        return response

    origin.answer = answer


@pytest.mark.parametrize("names", [("edge-1", "edge-1"), ("edge-1", "edge-2")])
def test_cookie_is_not_shared_on_the_way_through_shields(names):
    async def scenario(day):
        for origin in day.actors.origins:
            set_cookies(origin)
        reads = [day.actors.send_request(name, "GET", "/vacancies/1") for name in names]
        answers = await asyncio.gather(*reads)
        return {dict(answer.result.headers)["set-cookie"] for answer in answers}

    assert len(cluster.run_scenario(scenario)) == len(names)
