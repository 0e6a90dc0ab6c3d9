"""Matching of responses to requests, with origins that send wrong responses, on real sockets."""

import asyncio

import direct_edge
import pytest
from test_exchange import ID, answer, run_with_origin, send_get

from irisstand.dataplane.upstream import exchange

NO_ID = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"


def test_answer_without_an_id_on_a_used_connection_is_not_accepted():
    """Guards against a surplus "did not run" taken for the next response: a write would be sent twice."""

    async def origin(number, reader, writer):
        writer.write(answer("a") if number == 1 else NO_ID + answer("b"))

    async def scenario(connection):
        await send_get(connection, "a")
        with pytest.raises(exchange.ConnectionBrokenError):
            await send_get(connection, "b")
        return connection.may_have_sent, connection.is_usable()

    assert run_with_origin(origin, scenario) == (True, False)


def test_surplus_answer_on_an_idle_connection_is_not_accepted():
    async def origin(number, reader, writer):
        writer.write(answer("ab"[number - 1], b"n%d" % number))
        if number == 1:
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(NO_ID)

    async def scenario(connection):
        await send_get(connection, "a")
        await asyncio.sleep(0.03)
        # The surplus response arrives while the next request is in flight.
        try:
            return (await send_get(connection, "b")).status
        except exchange.ConnectionBrokenError:
            return None

    # The surplus response closes the idle connection or fails the second request; it never answers it.
    assert run_with_origin(origin, scenario) in (None, 200)


@pytest.mark.parametrize("found", ["other", None])
def test_answer_to_a_head_request_is_matched_by_its_id(found):
    async def origin(number, reader, writer):
        if number == 1:
            writer.write(answer("a"))
            return
        id_line = f"{ID}: {found}\r\n" if found else ""
        writer.write(f"HTTP/1.1 503 Busy\r\n{id_line}x-not-run: 1\r\ncontent-length: 9\r\n\r\n".encode())

    async def scenario(connection):
        await send_get(connection, "a")
        with pytest.raises(exchange.ConnectionBrokenError):
            await connection.send("HEAD", b"/x", [("host", "h")], b"", "b")

    run_with_origin(origin, scenario)


def test_connection_answered_before_the_request_was_written_is_not_reused():
    async def origin(number, reader, writer):
        writer.write(answer("a"))
        await writer.drain()
        # The origin never reads the rest of the request.
        await asyncio.sleep(1)

    async def scenario(connection):
        body = b"x" * 32 * 1024 * 1024
        found = await connection.send("POST", b"/x", [("host", "h")], body, "a")
        return found.status, connection.is_usable()

    assert run_with_origin(origin, scenario) == (200, False)


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
def test_body_behind_a_bodiless_answer_ends_the_connection(status):
    async def origin(number, reader, writer):
        writer.write(f"HTTP/1.1 {status}\r\n{ID}: a\r\n\r\nbytes of nobody".encode())

    async def scenario(connection):
        found = await send_get(connection, "a")
        await asyncio.sleep(0.05)
        return found.body, connection.is_usable()

    assert run_with_origin(origin, scenario) == (b"", False)


@pytest.mark.parametrize("status", ["100 Continue", "103 Early Hints", "101 Switching Protocols"])
def test_interim_answer_is_not_accepted(status):
    async def origin(number, reader, writer):
        writer.write(f"HTTP/1.1 {status}\r\n\r\n".encode() + answer("a"))

    async def scenario(connection):
        with pytest.raises(exchange.ConnectionBrokenError):
            await send_get(connection, "a")
        return connection.is_usable()

    assert run_with_origin(origin, scenario) is False


def test_retry_of_an_object_has_no_id_and_goes_on_a_fresh_connection():
    """Guards against a surplus response without an id that is cached as another object."""

    async def scenario(harness):
        async def working(headers):
            await asyncio.sleep(0.05)
            return direct_edge.complete_answer(headers["x-request-id"])

        # The requests run concurrently, so that each origin is left with idle connections that were used.
        harness.respond = lambda key, headers, body: working(headers)
        await asyncio.gather(*(harness.ask(f"/reads/{n}", request_id=f"r{n}") for n in range(8)))
        assert set(harness.connections) == {"a", "b"}
        before = sum(harness.connections.values())
        harness.sent.clear()
        harness.respond = lambda key, headers, body: direct_edge.complete_answer(
            headers.get("x-request-id"), status=500 if len(harness.sent) == 1 else 200
        )
        assert (await harness.ask("/objects/1", request_id="o1")).status == 200
        assert [sent[3].get("x-request-id") for sent in harness.sent] == ["o1", None]
        return sum(harness.connections.values()) - before

    assert direct_edge.run_scenario(scenario) == 1


def test_unsatisfiable_range_bears_no_seal_of_the_whole_object():
    async def scenario(harness):
        return await harness.ask("/objects/1", range="bytes=999-")

    found = direct_edge.run_scenario(scenario)
    assert found.status == 416
    assert "content-digest" not in found.headers


def test_request_without_an_id_goes_on_a_fresh_connection():
    async def scenario(harness):
        for number in range(3):
            await harness.ask(f"/reads/{number}", request_id=f"r{number}")
        before = sum(harness.connections.values())
        await harness.ask("/reads/9", request_id="")
        return sum(harness.connections.values()) - before

    assert direct_edge.run_scenario(scenario) == 1
