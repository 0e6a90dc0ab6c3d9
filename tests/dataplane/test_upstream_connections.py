"""A shield's connections to origins on real sockets: confirmed, never reopened, with complete responses."""

import asyncio

import aiohttp
import aiohttp.web
import pytest

from irisstand import counters, errors, resource_budget
from irisstand.dataplane.cache import objects
from irisstand.dataplane.upstream import connections


def test_connection_is_never_reopened_and_says_whether_a_byte_may_have_left():
    """Guards against aiohttp's own retry, which reopens a dead connection and sends the request again."""

    async def scenario():
        served = []

        async def answer(request):
            served.append(request.path)
            if request.path == "/die":
                request.transport.abort()
            return aiohttp.web.json_response({"service": "s", "instance": "i"})

        app = aiohttp.web.Application()
        app.router.add_route("*", "/{rest:.*}", answer)
        runner = aiohttp.web.AppRunner(app)
        await runner.setup()
        site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]

        async def opened():
            connection = await connections.open_http("127.0.0.1", port)
            await connections.confirm_identity(connection, "/health", "s", "i", 5)
            connection.may_have_sent = False
            return connection

        # The connection is lost during a GET, which aiohttp would repeat: the request is sent only once, and
        # `may_have_sent` says so.
        connection = await opened()
        with pytest.raises(Exception):  # noqa: B017
            await connection.send("GET", "/die", {}, b"", 5)
        assert served.count("/die") == 1
        assert connection.may_have_sent
        assert not connection.is_open
        await connection.close()
        # The connection is closed while idle: the next request is not sent, and no other connection is
        # opened.
        connection = await opened()
        for transport in [item.transport for item in runner.server.connections]:
            transport.close()
        while connection.session.connector._conns and any(
            held[0].is_connected() for held in next(iter(connection.session.connector._conns.values()))
        ):
            await asyncio.sleep(0)
        with pytest.raises(connections.ConnectionReopenedError):
            await connection.send("POST", "/write", {}, b"x", 5)
        assert "/write" not in served
        assert not connection.may_have_sent
        assert not connection.is_open
        await connection.close()
        # Another service that listens at the address only gets the health probe.
        connection = await connections.open_http("127.0.0.1", port)
        with pytest.raises(errors.WrongServiceError):
            await connections.confirm_identity(connection, "/health", "other", "i", 5)
        await connection.close()
        await runner.cleanup()

    asyncio.run(scenario())


def test_endless_body_is_cut_off():
    async def scenario():
        async def answer(request):
            response = aiohttp.web.StreamResponse()
            await response.prepare(request)
            try:
                while True:
                    await response.write(b"x" * 65536)
            except ConnectionError:
                return response

        app = aiohttp.web.Application()
        app.router.add_get("/", answer)
        runner = aiohttp.web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
        connection = await connections.open_http("127.0.0.1", runner.addresses[0][1])
        with pytest.raises(errors.ResponseIntegrityError):
            await connection.send("GET", "/", {}, b"", 30)
        await connection.close()
        await runner.cleanup()

    asyncio.run(scenario())


def test_seal_covers_length_digest_and_request_id():
    body = b"content"
    good = {
        "content-length": "7",
        "content-digest": objects.digest_header(body),
        "x-request-id": "mine",
    }
    objects.check_integrity(good, body, "mine")
    for broken in ({"content-length": "8"}, {"content-digest": "sha-256=:AA==:"}, {"x-request-id": "x"}):
        with pytest.raises(errors.ResponseIntegrityError):
            objects.check_integrity({**good, **broken}, body, "mine")
    for missing in good:
        with pytest.raises(errors.ResponseIntegrityError):
            objects.check_integrity(
                {key: value for key, value in good.items() if key != missing}, body, "mine"
            )


def test_response_that_the_budget_has_no_room_for_fails_and_counts_no_more():
    budget = resource_budget.ResourceBudget(1_000_000, 10, lambda: 0.0, counters.Counters())

    async def scenario():
        async def answer(request):
            return aiohttp.web.Response(body=b"x" * int(request.path[1:]))

        app = aiohttp.web.Application()
        app.router.add_route("*", "/{rest:.*}", answer)
        runner = aiohttp.web.AppRunner(app)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
        connection = await connections.open_http("127.0.0.1", runner.addresses[0][1], budget)
        whole = await connection.send("GET", "/900000", {}, b"", 5)
        with pytest.raises(errors.OriginFailedError):
            await connection.send("GET", "/2000000", {}, b"", 5)
        await connection.close()
        await runner.cleanup()
        return len(whole.body), budget.held

    assert asyncio.run(scenario()) == (900_000, 0)
