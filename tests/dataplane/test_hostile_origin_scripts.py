"""Origins that follow hostile scripts: in virtual time with many seeds, and on real sockets."""

import asyncio
import random

import pytest

from irisstand import errors
from irisstand.dataplane.upstream import connector
from irisstand.emulators import hostile_origin
from irisstand.simulator import origin_scripts


def test_hostile_origins_give_each_client_its_own_answer_and_run_no_write_twice():
    figures = origin_scripts.run_scripts(range(1, 301))
    assert not figures.violations, figures.violations[:5]
    # The scripts produce responses, and also requests that ran without a response.
    assert figures.answered > 1000
    assert figures.runs > figures.answered


@pytest.mark.parametrize("seed", range(6))
def test_hostile_origins_on_real_sockets_give_each_request_its_own_answer_or_none(seed):
    async def scenario():
        randomness, record = random.Random(seed), hostile_origin.RequestLog()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: hostile_origin.HostileOrigin(randomness, record), "127.0.0.1", 0
        )
        connect = connector.connector(hostile_origin.REQUEST_ID_HEADER)
        connection, answered = None, 0
        for number in range(25):
            request_id, target = f"r{number}", f"/reads/{number}"
            if connection is None or not connection.is_usable():
                connection = await connect(*server.sockets[0].getsockname())
            headers = [("host", "h"), (hostile_origin.REQUEST_ID_HEADER, request_id)]
            try:
                async with asyncio.timeout(0.35):
                    found = await connection.send("GET", target.encode(), headers, b"", request_id)
            except (errors.IrisError, TimeoutError):
                assert not connection.is_usable()
                continue
            answered += 1
            assert found.headers.get(hostile_origin.REQUEST_ID_HEADER) in (request_id, None)
            if found.status == 200:
                assert found.body == f"{target} answered".encode()
            elif hostile_origin.NOT_RUN_HEADER in found.headers:
                assert not record.runs[request_id]
        connection.close()
        server.close()
        return answered

    assert asyncio.run(scenario()) > 5
